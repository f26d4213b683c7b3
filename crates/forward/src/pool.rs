//! Connections to backend servers.
//!
//! For each connection the pool keeps the server incarnation at its other end
//! and the server's idle timeout. It hands out only connections without unread
//! bytes.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use base::connect::connect;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};

/// Idle timeout of a connection when the server does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The share of the server's idle timeout after which a connection is not used
/// any more. A call sent while the server closes the connection would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Timeout for a new connection. It takes one round trip, so within a region
/// anything longer means that the host does not respond.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes that stay unacknowledged for this long mean that the network path has
/// lost the connection. Without this limit a call on such a connection would
/// wait for its whole timeout.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval of TCP keepalive probes. They detect a dead idle connection
/// before a call is sent on it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Buffer size for a response's header, in bytes; a longer header is an error.
const READ_BUFFER: usize = 64 << 10;

/// Longest idle timeout of a server that is used. A longer one cannot always be added to
/// the time.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Idle connections, by the ID of the server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<Rc<str>, VecDeque<Connection>>>,
}

/// A connection to a backend server. Dropping it closes it, which also tells
/// the server to stop working on the call in progress.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes the socket.
    task: JoinHandle<()>,
    /// When the connection must not be used any more, if it stays idle.
    expires_at: Instant,
    /// How long it may stay idle.
    idle_timeout: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sets the idle timeout from the one that the server has stated.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        let idle_timeout = idle_timeout.min(MAX_IDLE_TIMEOUT);
        self.idle_timeout = idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE);
    }
}

impl ConnectionPool {
    /// Takes a usable idle connection to a server, if there is one. The one
    /// that was idle longest goes first: a late second response to its last
    /// call has arrived by then and shows as unread bytes.
    pub fn take(&self, now: Instant, id: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(id)?;
        while let Some(conn) = conns.pop_front() {
            if now < conn.expires_at && conn.sender.is_ready() && !conn.sender.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a connection whose last response was read to its end.
    pub fn put(&self, now: Instant, id: &Rc<str>, mut conn: Connection) {
        if conn.sender.is_closed() {
            return;
        }
        conn.expires_at = now + conn.idle_timeout;
        let mut idle = self.idle.borrow_mut();
        idle.entry(Rc::clone(id)).or_default().push_back(conn);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes idle connections that have expired.
    pub fn remove_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, conns| {
            conns.retain(|c| now < c.expires_at && !c.sender.is_closed());
            !conns.is_empty()
        });
    }

    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns the error when no connection could be made in time. Nothing was
    /// sent in that case.
    pub async fn connect(now: Instant, addr: SocketAddr) -> io::Result<Connection> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(addr)).await;
        let stream = connected.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&probes.with_retries(2))?;
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;

        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, conn) = handshake.map_err(io::Error::other)?;
        let task = actix_rt::spawn(async move {
            // The call in progress reports the error. An idle connection that
            // ends is found closed before its next use.
            let _ = conn.await;
        });
        Ok(Connection {
            sender,
            task,
            expires_at: now + DEFAULT_IDLE_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }
}
