//! Outgoing TCP connections.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Host};
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to `addr` from a local port that the kernel selects.
///
/// The kernel may select a port on which a process of this host is about to listen. The
/// socket allows that process to bind it, also while the connection is open.
///
/// # Errors
///
/// Returns the error of the attempt. If nobody listens on a local `addr`, the kernel can
/// select its port for the connection, which is then connected to itself; this counts as
/// refused.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    let stream = socket.connect(addr).await?;
    if stream.local_addr()? == stream.peer_addr()? {
        // Closes without TIME_WAIT, which would hold the port.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(stream)
}

/// Connects the HTTP clients by [`connect`]. Their URLs name hosts by IP address.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpConnector;

impl<R: Host + Clone + 'static> Service<ConnectInfo<R>> for HttpConnector {
    type Response = Connection<R, TcpStream>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<R>) -> Self::Future {
        let addr = format!("{}:{}", info.hostname(), info.port());
        Box::pin(async move {
            let addr = addr.parse().map_err(|_| ConnectError::Unresolved)?;
            let stream = connect(addr).await.map_err(ConnectError::Io)?;
            Ok(Connection::new(info.request().clone(), stream))
        })
    }
}
