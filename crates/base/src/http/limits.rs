//! The connections of one listener: how many may be open, which one gives way to a new one,
//! and how many bytes each makes the process hold.
//!
//! Without a limit, callers can take all descriptors of the process, which then reaches no
//! other process and answers no health check. See docs/design/host-resources.md.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use spdlog::warn;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::connection::{LINGER_TIMEOUT, Socket};
use crate::clock::{Clock, SystemClock};
use crate::logging::limiter::LineLimiter;
use crate::memory::{Account, Held};
use crate::reason::{Executed, Refusal};
use crate::telemetry;

/// Bytes read before the HTTP library gets a turn to decode them, so that its buffer stays
/// small.
const READ_BURST: usize = 16 << 10;

/// Unread bytes of the caller's next requests that are buffered during a call. The rest waits
/// in the kernel.
const MAX_PIPELINED: usize = 32 << 10;

/// The longest head of a request that the HTTP library accepts, in bytes.
const MAX_HEAD: usize = 128 << 10;

/// Idle connections that are looked at for one that can close. Each look is a system call.
const MAX_IDLE_CHECKS: usize = 16;

/// Connections that are refused at the same time. More of them wait in the accept queue.
const MAX_REFUSALS: usize = 8;

/// How long a caller whose connection is refused may go on sending.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry-After of a refused connection, in seconds.
const REFUSAL_RETRY_S: u32 = 1;

/// Connections of operators, health checks and scrapers to one listener.
pub const OPERATOR_CONNECTIONS: usize = 8;

/// The open connections of one listener.
pub struct Connections {
    /// Most connections that may be open.
    max: usize,
    /// Bytes that each connection takes.
    cost: usize,
    account: Account,
    clock: Rc<dyn Clock>,
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    refusals: Cell<usize>,
    /// Signalled when a connection closes or a refusal ends.
    changed: Notify,
    full_log: LineLimiter,
}

impl std::fmt::Debug for Connections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connections")
            .field("max", &self.max)
            .field("open", &self.count())
            .finish_non_exhaustive()
    }
}

/// One connection, as its request handlers and the listener see it.
#[derive(Debug)]
pub struct Connection {
    /// Wakes its task when it has to close.
    close: Notify,
    active_at: Cell<Instant>,
    /// Calls whose answers are not written to the socket's buffer.
    calls: Cell<usize>,
    /// Since when the caller has not read its answer.
    blocked_at: Cell<Option<Instant>>,
    /// Bytes received that no handler has taken.
    unread: Cell<usize>,
    /// Whether the rest of a request is being discarded.
    discards: Cell<bool>,
    /// Whether an answer has announced that the connection closes.
    closing: Cell<bool>,
    /// Signalled when a call ends.
    call_ended: Notify,
    /// Wakes the reader when unread bytes are taken.
    reader: RefCell<Option<Waker>>,
    held: RefCell<Held>,
    /// Bytes that the connection takes at least.
    cost: usize,
    /// Its socket, while it is open.
    socket: Weak<Socket>,
}

/// Counts a call on its connection until it is dropped.
#[derive(Debug)]
pub struct CallGuard(Rc<Connection>);

impl Connections {
    /// At most `max` connections, each of which takes `cost` bytes of the account.
    #[must_use]
    pub fn new(max: usize, cost: usize, account: Account, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            max,
            cost,
            account,
            clock,
            open: RefCell::default(),
            next: Cell::new(0),
            refusals: Cell::new(0),
            changed: Notify::new(),
            full_log: LineLimiter::default(),
        })
    }

    /// Any number of connections.
    #[must_use]
    pub fn unlimited() -> Rc<Self> {
        Self::new(
            usize::MAX,
            0,
            Account::new(usize::MAX),
            Rc::new(SystemClock),
        )
    }

    /// Few connections, for a listener that only operators and health checks use.
    #[must_use]
    pub fn operators() -> Rc<Self> {
        let account = Account::new(usize::MAX);
        Self::new(OPERATOR_CONNECTIONS, 0, account, Rc::new(SystemClock))
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether as many connections are open as may be.
    pub(super) fn is_full(&self) -> bool {
        self.count() >= self.max
    }

    /// Whether connections are limited.
    pub(super) fn limited(&self) -> bool {
        self.max < usize::MAX
    }

    /// Admits a new connection, if need be in place of the one that has been idle longest.
    /// Returns `None` if all of them have calls in progress or requests that were not read.
    fn admit(self: &Rc<Self>, socket: &Rc<Socket>) -> Option<OpenConnection> {
        if self.is_full() && !self.close_idle() {
            return None;
        }
        let mut held = self.account.hold();
        held.set(self.cost);
        let number = self.next.get();
        self.next.set(number + 1);
        let connection = Rc::new(Connection {
            close: Notify::new(),
            active_at: Cell::new(self.clock.now()),
            calls: Cell::new(0),
            blocked_at: Cell::new(None),
            unread: Cell::new(0),
            discards: Cell::new(false),
            closing: Cell::new(false),
            call_ended: Notify::new(),
            reader: RefCell::default(),
            held: RefCell::new(held),
            cost: self.cost,
            socket: Rc::downgrade(socket),
        });
        let opened = Rc::clone(&connection);
        self.open.borrow_mut().insert(number, opened);
        Some(OpenConnection {
            table: Rc::clone(self),
            number,
            connection,
        })
    }

    /// Closes the connection that has been idle longest, unless a request has arrived on it;
    /// returns whether there was one.
    fn close_idle(&self) -> bool {
        let now = self.clock.now();
        let open = self.open.borrow();
        let idle = open
            .iter()
            .filter(|(_, connection)| connection.is_idle(now));
        let mut idle: Vec<_> = idle
            .map(|(number, connection)| (connection.active_at.get(), *number))
            .collect();
        idle.sort_unstable();
        let mut checked = idle.into_iter().take(MAX_IDLE_CHECKS);
        let oldest = checked.find(|(_, number)| !open[number].has_unread());
        let oldest = oldest.map(|(_, number)| number);
        drop(open);
        metrics::counter!("pimentocart_idle_connections_closed_total")
            .increment(u64::from(oldest.is_some()));
        oldest.is_some_and(|number| self.close(number))
    }

    /// Closes the connection whose caller has not read its answer for the longest time, if
    /// it is at least `least`; returns whether there was one.
    pub fn close_blocked(&self, least: Duration) -> bool {
        let now = self.clock.now();
        let open = self.open.borrow();
        let blocked = open.iter().filter_map(|(number, connection)| {
            let since = connection.blocked_at.get()?;
            let long = now.saturating_duration_since(since) >= least;
            long.then_some((since, *number))
        });
        let oldest = blocked.min();
        drop(open);
        oldest.is_some_and(|(_, number)| self.close(number))
    }

    fn close(&self, number: u64) -> bool {
        let connection = self.open.borrow_mut().remove(&number);
        connection.is_some_and(|connection| {
            connection.close.notify_one();
            true
        })
    }

    /// Admits a new connection, or refuses it if there is no room. While many are being
    /// refused, it waits for room or until it can be refused.
    pub(super) async fn admit_or_refuse(
        self: &Rc<Self>,
        stream: TcpStream,
    ) -> Option<(Rc<Socket>, OpenConnection)> {
        let socket = Socket::new(stream);
        loop {
            let changed = self.changed.notified();
            if let Some(open) = self.admit(&socket) {
                return Some((socket, open));
            }
            // One that has unread bytes may be idle once they are read.
            tokio::task::yield_now().await;
            if let Some(open) = self.admit(&socket) {
                return Some((socket, open));
            }
            if self.refusals.get() < MAX_REFUSALS {
                break;
            }
            changed.await;
        }
        self.refuse(socket.into_stream()?);
        None
    }

    /// Refuses a connection for which there is no room.
    fn refuse(self: &Rc<Self>, stream: TcpStream) {
        if let Some(unlogged) = self.full_log.record(self.clock.now()) {
            warn!("connection refused: all connections have calls", kv: {
                limit = self.max, unlogged
            });
        }
        telemetry::count_refusal(Refusal::Overloaded, Executed::No);
        self.refusals.set(self.refusals.get() + 1);
        let table = Rc::clone(self);
        actix_rt::spawn(async move {
            let _ = tokio::time::timeout(REFUSAL_TIMEOUT, answer_refusal(stream)).await;
            table.refusals.set(table.refusals.get() - 1);
            table.changed.notify_waiters();
        });
    }
}

/// Answers the request on a connection with a refusal and discards it. The connection stays
/// open until the caller has read the answer: closing it with unread bytes would reset it.
async fn answer_refusal(mut stream: TcpStream) -> io::Result<()> {
    let mut buffer = [0; 4 << 10];
    if stream.read(&mut buffer).await? == 0 {
        return Ok(());
    }
    let reason = Refusal::Overloaded.as_str();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: {}\r\n\
         retry-after: {REFUSAL_RETRY_S}\r\nconnection: close\r\n\r\n{reason}",
        reason.len()
    );
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// An admitted connection; dropping it makes room for another one.
pub(super) struct OpenConnection {
    table: Rc<Connections>,
    number: u64,
    connection: Rc<Connection>,
}

impl OpenConnection {
    /// Completes when the connection has to close.
    pub(super) async fn closed(&self) {
        self.connection.close.notified().await;
    }

    /// Passes the connection's bytes on and counts them.
    pub(super) fn count_bytes<T>(&self, stream: T) -> CountedStream<T> {
        CountedStream {
            stream,
            clock: Rc::clone(&self.table.clock),
            connection: Rc::clone(&self.connection),
            burst: 0,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.number);
        self.table.changed.notify_waiters();
    }
}

impl Connection {
    /// Counts a call whose head was read, until the returned guard is dropped.
    #[must_use]
    pub fn begin_call(self: &Rc<Self>) -> CallGuard {
        self.calls.set(self.calls.get() + 1);
        self.discards.set(false);
        self.take_unread();
        CallGuard(Rc::clone(self))
    }

    /// Records that a handler has taken a part of what was received. The received bytes are not
    /// counted against the part's length, since the framing of chunks is never taken. The HTTP
    /// library bounds the parts that wait for the handler.
    pub fn take_unread(&self) {
        self.unread.set(0);
        self.held.borrow_mut().set(self.cost);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Records that the rest of the current request is discarded.
    pub fn discard(&self) {
        self.discards.set(true);
        self.take_unread();
    }

    /// Records that an answer announces the close of the connection. Its caller reads no
    /// answer behind that one, so later requests must not be executed.
    pub fn announce_close(&self) {
        self.closing.set(true);
    }

    /// Whether an answer has announced that the connection closes.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until no call is in progress. The HTTP library begins the next request that it
    /// has read as soon as the answer to the one before is written.
    pub(super) async fn wait_without_calls(&self) {
        loop {
            let ended = self.call_ended.notified();
            if self.calls.get() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Whether bytes have arrived that were not read.
    fn has_unread(&self) -> bool {
        self.socket
            .upgrade()
            .is_some_and(|socket| socket.has_unread())
    }

    /// Whether it can be closed without loss of a call or an answer, if no bytes are unread.
    fn is_idle(&self, now: Instant) -> bool {
        // A caller that still sends what is discarded has not read its answer.
        let discards = self.discards.get()
            && now.saturating_duration_since(self.active_at.get()) < LINGER_TIMEOUT;
        self.calls.get() == 0 && self.blocked_at.get().is_none() && !discards
    }

    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for the head of a request.
    fn received(&self, now: Instant, bytes: usize) -> io::Result<()> {
        self.active_at.set(now);
        if self.discards.get() {
            return Ok(());
        }
        self.unread.set(self.unread.get() + bytes);
        // The HTTP library rejects longer heads. The connection's own cost covers one burst.
        let more = self.unread.get().min(MAX_HEAD).saturating_sub(READ_BURST);
        if self.calls.get() > 0 || self.held.borrow_mut().try_set(self.cost + more, 0) {
            return Ok(());
        }
        Err(io::Error::other("step=read_head: no memory for the head"))
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get().saturating_sub(1));
        self.0.call_ended.notify_waiters();
        if let Some(reader) = self.0.reader.take() {
            reader.wake();
        }
    }
}

/// A connection's socket, which counts the bytes that the caller makes the process hold.
pub(super) struct CountedStream<T> {
    stream: T,
    clock: Rc<dyn Clock>,
    connection: Rc<Connection>,
    /// Bytes read since the HTTP library last had a turn.
    burst: usize,
}

impl<T> CountedStream<T> {
    /// The connection, for request handlers.
    pub(super) fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &self.connection;
        let pipelined = connection.calls.get() > 0 && !connection.discards.get();
        if pipelined && connection.unread.get() >= MAX_PIPELINED {
            *connection.reader.borrow_mut() = Some(cx.waker().clone());
            self.burst = 0;
            return Poll::Pending;
        }
        if self.burst >= READ_BURST {
            self.burst = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.burst = 0;
        }
        ready!(read)?;
        let bytes = buf.filled().len() - before;
        self.burst += bytes;
        Poll::Ready(self.connection.received(self.clock.now(), bytes))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        let now = self.clock.now();
        let connection = &self.connection;
        if written.is_pending() {
            let since = connection.blocked_at.get().unwrap_or(now);
            connection.blocked_at.set(Some(since));
        } else {
            connection.blocked_at.set(None);
            connection.active_at.set(now);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
