//! Simulates disk faults on the files of a node that is not running: a torn (half-written) page, and an older copy.

use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Size of a page, in bytes.
const PAGE: u64 = 4096;
/// Larger files are left unchanged, in bytes.
const MAX_FILE_SIZE: u64 = 64 << 20;

/// A snapshot of the files of a folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copy {
    files: Vec<(PathBuf, Vec<u8>)>,
}

/// Returns the regular files of a folder up to the maximum size, sorted by name.
fn files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        if metadata.is_file() && metadata.len() <= MAX_FILE_SIZE {
            files.push(entry.path());
        }
    }
    files.sort();
    Ok(files)
}

impl Copy {
    /// Reads all files of a folder.
    ///
    /// # Errors
    ///
    /// A file cannot be read.
    pub fn take(folder: &Path) -> std::io::Result<Self> {
        let read = |path: PathBuf| fs::read(&path).map(|bytes| (path, bytes));
        Ok(Self { files: files(folder)?.into_iter().map(read).collect::<Result<_, _>>()? })
    }

    /// Restores the files, and removes those that were created after the snapshot.
    ///
    /// # Errors
    ///
    /// A file cannot be written or removed.
    pub fn restore(&self, folder: &Path) -> std::io::Result<()> {
        for path in files(folder)? {
            if !self.files.iter().any(|(saved, _)| *saved == path) {
                fs::remove_file(path)?;
            }
        }
        self.files.iter().try_for_each(|(path, bytes)| fs::write(path, bytes))
    }
}

/// Overwrites the second half of a randomly chosen page of each file with zeros, and returns the number of files changed.
///
/// # Errors
///
/// A file cannot be written.
pub fn tear(folder: &Path, rng: &mut fastrand::Rng) -> std::io::Result<usize> {
    let mut torn = 0;
    for path in files(folder)? {
        let length = fs::metadata(&path)?.len();
        let page = rng.u64(..length.div_ceil(PAGE).max(1)) * PAGE;
        let from = page + PAGE / 2;
        if from >= length {
            // The page holds at most half a page of data, which is written completely or not at all.
            continue;
        }
        let mut file = OpenOptions::new().write(true).open(&path)?;
        file.seek(SeekFrom::Start(from))?;
        file.write_all(&vec![0; (length - from).min(PAGE / 2) as usize])?;
        torn += 1;
    }
    Ok(torn)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("fleet-disks-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    #[test]
    fn restoring_a_snapshot_undoes_all_later_changes() {
        let folder = folder("older");
        fs::write(folder.join("state"), b"one").expect("written");
        let copy = Copy::take(&folder).expect("copied");
        fs::write(folder.join("state"), b"two, longer").expect("written");
        fs::write(folder.join("state.bad"), b"later").expect("written");
        copy.restore(&folder).expect("restored");
        assert_eq!(Copy::take(&folder).expect("copied"), copy);
        assert_eq!(fs::read(folder.join("state")).expect("there"), b"one");
        fs::remove_dir_all(folder).expect("removed");
    }

    #[test]
    fn a_torn_page_changes_exactly_half_of_one_page() {
        let folder = folder("torn");
        let path = folder.join("state");
        for seed in 0..20 {
            fs::write(&path, vec![7; 5 * 4096]).expect("written");
            assert_eq!(tear(&folder, &mut fastrand::Rng::with_seed(seed)).expect("torn"), 1);
            let bytes = fs::read(&path).expect("there");
            let zeros: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] == 0).collect();
            assert_eq!((bytes.len(), zeros.len(), zeros[0] % 4096), (5 * 4096, 2048, 2048));
        }
        fs::write(&path, b"short").expect("written");
        assert_eq!(tear(&folder, &mut fastrand::Rng::with_seed(1)).expect("left unchanged"), 0);
        assert_eq!(fs::read(&path).expect("there"), b"short");
        fs::remove_dir_all(folder).expect("removed");
    }
}
