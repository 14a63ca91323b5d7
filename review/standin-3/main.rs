//! Stand-ins of the platform's store, of workers and of clients, and the cases played with them.
//!
//! `standin-3 CASE FOLDER` plays a case and writes FOLDER/record.txt. Exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod client;
mod gateway;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::process::exit;

use crate::record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

/// A temporary folder, removed at the end.
struct Temporary(PathBuf);

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER");
        exit(2);
    };
    let record = Record::create(Path::new(folder));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let temporary = Temporary(temporary);
    record.note(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let Some(play) = cases::find(case) else {
        eprintln!("there is no case {case}");
        exit(2);
    };
    let verdict = play(&temporary.0, &record, has_trouble);
    if std::env::var_os("KEEP_LOGS").is_some() {
        eprintln!("logs are in {}", temporary.0.display());
        std::mem::forget(temporary);
    } else {
        drop(temporary);
    }
    exit(match verdict {
        Verdict::Held => {
            record.note("the rule held");
            0
        }
        Verdict::Broken => {
            record.note("the rule was broken");
            1
        }
        Verdict::CannotRun => {
            record.note("the case couldn't run");
            2
        }
    });
}
