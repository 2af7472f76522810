//! File operations of the store, as a trait. Tests simulate a disk that loses unsynced data.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A folder of files.
pub trait Folder: Send + Sized + 'static {
    /// Returns another handle to the same folder, for use by another thread.
    fn fork(&self) -> Self;
    /// Returns the names of the files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, and creates the file if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing one of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder on disk.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl DiskFolder {
    /// Opens a folder, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created.
    pub fn try_new(path: impl Into<PathBuf>) -> io::Result<DiskFolder> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(DiskFolder { path, open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.into(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Folder for DiskFolder {
    fn fork(&self) -> DiskFolder {
        DiskFolder { path: self.path.clone(), open: None }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name()));
        names.map(|name| name.map(|n| n.to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
