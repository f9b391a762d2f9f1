//! What disks do to the files of a node that is not running: a page that was written by half, and an older copy.

use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A page is written by half, or whole.
const PAGE: u64 = 4096;
/// Files that are larger are left alone.
const MOST: u64 = 64 << 20;

/// The files of a folder at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copy {
    files: Vec<(PathBuf, Vec<u8>)>,
}

/// Regular files of a folder, by name.
fn files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let about = entry.metadata()?;
        if about.is_file() && about.len() <= MOST {
            files.push(entry.path());
        }
    }
    files.sort();
    Ok(files)
}

impl Copy {
    /// Takes a copy.
    ///
    /// # Errors
    ///
    /// A file cannot be read.
    pub fn take(folder: &Path) -> std::io::Result<Self> {
        let read = |path: PathBuf| fs::read(&path).map(|bytes| (path, bytes));
        Ok(Self { files: files(folder)?.into_iter().map(read).collect::<Result<_, _>>()? })
    }

    /// Puts it back: files that came later are gone again.
    ///
    /// # Errors
    ///
    /// A file cannot be written or removed.
    pub fn put(&self, folder: &Path) -> std::io::Result<()> {
        for path in files(folder)? {
            if !self.files.iter().any(|(of, _)| *of == path) {
                fs::remove_file(path)?;
            }
        }
        self.files.iter().try_for_each(|(path, bytes)| fs::write(path, bytes))
    }
}

/// Writes half of a page of zeros into each file, at a page that is drawn, and tells into how many.
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
            // Less than half a page is written at once or not at all.
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
    fn an_older_copy_is_as_it_was() {
        let folder = folder("older");
        fs::write(folder.join("state"), b"one").expect("written");
        let copy = Copy::take(&folder).expect("copied");
        fs::write(folder.join("state"), b"two, longer").expect("written");
        fs::write(folder.join("state.bad"), b"later").expect("written");
        copy.put(&folder).expect("put back");
        assert_eq!(Copy::take(&folder).expect("copied"), copy);
        assert_eq!(fs::read(folder.join("state")).expect("there"), b"one");
        fs::remove_dir_all(folder).expect("removed");
    }

    #[test]
    fn a_torn_page_is_half_of_one_page_and_no_more() {
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
        assert_eq!(tear(&folder, &mut fastrand::Rng::with_seed(1)).expect("left alone"), 0);
        assert_eq!(fs::read(&path).expect("there"), b"short");
        fs::remove_dir_all(folder).expect("removed");
    }
}
