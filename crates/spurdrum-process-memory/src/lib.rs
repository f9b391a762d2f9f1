//! How much memory the process holds, and the return of freed memory to the system.
//!
//! The allocator keeps what is freed for later allocations; only [`release`] gives it back. That function is
//! unsafe in libc, and the libraries that the other packages use have no safe interface to it.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// The size of a page in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Returns freed memory to the system.
pub fn release() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the function takes the allocator's own locks and changes no memory that is in use.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Reads how much memory the process holds.
#[derive(Debug)]
pub struct ResidentMemory(File);

impl ResidentMemory {
    /// Opens the figures of this process, which takes one file descriptor.
    ///
    /// # Errors
    ///
    /// The system does not show them.
    pub fn open() -> io::Result<Self> {
        File::open("/proc/self/statm").map(Self)
    }

    /// Returns the bytes that the process holds, without pages of files.
    ///
    /// # Errors
    ///
    /// The figures cannot be read or parsed.
    pub fn read(&self) -> io::Result<u64> {
        let mut buffer = [0; 256];
        let length = self.0.read_at(&mut buffer, 0)?;
        let text = std::str::from_utf8(&buffer[..length]).unwrap_or_default();
        // The fields are pages: the whole size, the resident part, and of that the pages of files.
        let mut pages = text.split_whitespace().skip(1).map_while(|field| field.parse::<u64>().ok());
        match (pages.next(), pages.next()) {
            (Some(resident), Some(of_files)) => Ok(resident.saturating_sub(of_files) * PAGE_BYTES),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}
