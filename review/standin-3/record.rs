//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        let _ = self.file.lock().expect("no panic").write_all(line.as_bytes());
    }
}
