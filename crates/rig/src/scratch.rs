//! A directory for the files of one fleet.

use std::path::{Path, PathBuf};

/// A directory that is removed when dropped, unless the thread is failing: then its logs stay.
pub struct ScratchDir {
    path: PathBuf,
}

impl ScratchDir {
    /// Makes an empty directory.
    pub fn new() -> eyre::Result<ScratchDir> {
        let name =
            format!("jasminepass-{}-{:016x}", std::process::id(), model::request::random_u64());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(ScratchDir { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of a file in it.
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
        // What can't be removed lies in the system's directory for such files.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
