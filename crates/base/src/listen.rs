//! Binding a TCP listener to an address from the settings.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

/// Listens on `addr`, which the settings give under `key`.
///
/// # Errors
///
/// Returns an error that names the key, the address and a hint.
pub async fn listen(key: &str, addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| {
        let hint = match e.kind() {
            io::ErrorKind::AddrInUse => "another process listens there; choose a free port",
            io::ErrorKind::AddrNotAvailable => "this host does not have the address",
            io::ErrorKind::PermissionDenied => "ports below 1024 need a privilege",
            _ => "check the address",
        };
        let text = format!("step=listen key={key}: found {addr}: {e} (hint: {hint})");
        io::Error::new(e.kind(), text)
    })
}
