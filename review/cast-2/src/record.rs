//! The record of what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).unwrap()),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
