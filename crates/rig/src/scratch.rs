//! Temporary directory for the logs and files of one fleet.

use std::path::{Path, PathBuf};

/// A temporary directory, removed when dropped. It stays if the thread panics, so that a failed
/// test leaves its logs.
pub struct ScratchDir {
    path: PathBuf,
}

impl ScratchDir {
    /// Creates an empty directory in the system's temporary directory.
    pub fn new() -> eyre::Result<ScratchDir> {
        let name =
            format!("jasminepass-{}-{:016x}", std::process::id(), model::request::random_u64());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(ScratchDir { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of a file in the directory; doesn't create it.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the fleet: {}", self.path.display());
            return;
        }
        // A failure leaves files in the system's temporary directory only.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
