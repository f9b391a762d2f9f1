//! The Unix socket on which a running process accepts takeover requests.

use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;

/// Returns the path of the Unix socket of the process that listens on `listen`; `None` if `$TMPDIR` is not
/// set.
#[must_use]
pub fn path(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    let name = format!("spurdrum-{}.sock", listen.to_string().replace([':', '[', ']'], "-"));
    Some(Path::new(&directory).join(name))
}

/// Listens at `path`, replacing any socket that is there. The socket is bound under a temporary name and
/// renamed, so that `path` always names a socket that accepts.
pub fn bind(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    // An earlier process with the same process id may have left its temporary file behind.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    let renamed = std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&temporary, path));
    if let Err(error) = renamed {
        let _ = std::fs::remove_file(&temporary);
        return Err(error);
    }
    Ok(listener)
}
