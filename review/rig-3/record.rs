//! The file of what was sent, answered and run, with the time since the start of the scenario.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the seconds since the start of the scenario.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        // An error is ignored: the verdict does not depend on the record.
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}
