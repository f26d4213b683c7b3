//! Connections to backend servers.
//!
//! The pool knows of each connection which life of a server it leads to and
//! how long the server keeps it, and hands one out only while nothing unread
//! lies on it.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long an idle connection is kept when the server does not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the time that the server keeps a connection after which it is not
/// used any more: a call sent as the server closes would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// A new connection is one round trip; within a region anything longer means
/// that the host does not answer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes that are sent and not acknowledged for so long mean that the path
/// has lost track of the connection. Without this a call on such a connection
/// would wait for its whole timeout.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections are probed this often, so that one that went silent is
/// found before a call is sent on it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Header bytes and lines that a server's answer may have.
const READ_BUFFER: usize = 64 << 10;

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<Rc<str>, VecDeque<Connection>>>,
}

/// One connection to a backend server. Dropping it closes it, which also
/// tells the server to stop working on the call in progress.
#[derive(Debug)]
pub struct Connection {
    /// The way in.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Reads and writes the socket.
    task: JoinHandle<()>,
    /// When it becomes useless if it is not used.
    expires_at: Instant,
    /// How long the server keeps it idle, as far as it said.
    idle_timeout: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Notes how long the server keeps the connection idle.
    pub fn set_idle_timeout(&mut self, keep: Duration) {
        self.idle_timeout = keep.mul_f64(IDLE_TIMEOUT_SHARE);
    }
}

impl ConnectionPool {
    /// An idle connection to a server, if there is a sound one. The one that
    /// was idle longest goes first: a late second answer to its last call has
    /// come by then, and shows as unread bytes.
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

    /// Gives a connection back whose answer was read to its end.
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

    /// Closes idle connections whose time has passed.
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
    /// Returns the error when no connection could be made in time; nothing
    /// was sent then.
    pub async fn connect(now: Instant, addr: SocketAddr) -> io::Result<Connection> {
        let dialled = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = dialled.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&probes.with_retries(2))?;
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;

        let shaken = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, conn) = shaken.map_err(io::Error::other)?;
        let task = actix_rt::spawn(async move {
            // The call in progress reports the failure; an idle connection
            // that ends is found closed when it would be used.
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
