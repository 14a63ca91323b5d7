//! What was sent, answered and run, with the seconds since the start.

use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: String,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record { start: Instant::now(), lines: Arc::default(), path: path.to_owned() }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.3} {text}"));
    }

    pub fn write(&self) {
        let lines = self.lines.lock().unwrap();
        let _ = fs::write(&self.path, lines.join("\n") + "\n");
    }
}
