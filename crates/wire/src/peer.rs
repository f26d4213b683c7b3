//! The client of a sidecar, which detects unresponsive connections.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;
use tokio::time::Instant;

use base::connect::connect;
use base::ids::RequestId;
use base::stop::StopSignal;

use crate::{
    CallHeader, CancelOutcome, PullOutcome, PullRequest, Reply, ReserveOutcome, ReserveRequest,
    SidecarClient, StartOutcome, StartRequest,
};

/// Maximum size of a frame of the internal protocols, in bytes.
const FRAME_LIMIT: usize = 32 << 20;

/// Maximum number of concurrent calls on one connection. Each open stream holds
/// a long poll. With tarpc's default of 1,000, call 1,001 would wait unsent
/// until it timed out, and a healthy connection would be dropped.
const IN_FLIGHT_LIMIT: usize = 1 << 17;

/// Number of calls that may wait for the connection's task to send them.
const PENDING_LIMIT: usize = 1024;

/// Backoff after the first failure to connect; doubles with each consecutive
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after failures to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Timeouts of the connection to a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time allowed for a response beyond the maximum wait of the call itself.
    pub margin: Duration,
    /// Time allowed to establish a connection.
    pub connect: Duration,
    /// A connection without a response for this time is replaced before its
    /// next use.
    pub idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            margin: Duration::from_millis(500),
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(15),
        }
    }
}

/// The client of one sidecar, used by an entry. Connects on first use and again
/// after a failure; concurrent calls share one connection.
#[derive(Debug)]
pub struct Peer {
    /// The address on which the sidecar listens.
    addr: SocketAddr,
    /// Timeouts of the connection.
    timeouts: Timeouts,
    /// The current connection, if any.
    connection: RefCell<Option<Rc<Connection>>>,
    /// Lets one call connect while the others wait for the result.
    connect_lock: tokio::sync::Mutex<()>,
    /// Number of consecutive failures to connect.
    failures: Cell<u32>,
    /// End of the backoff; no connection attempt before this time.
    retry_at: Cell<Option<Instant>>,
    /// Whether the backoff follows a timeout. The sidecar may then only be slow.
    timed_out: Cell<bool>,
}

/// An established connection.
struct Connection {
    /// The RPC client of the connection.
    client: SidecarClient,
    /// Time of the last response, or of the connection's establishment.
    last_response: Cell<Instant>,
    /// Whether any response arrived on the connection.
    responded: Cell<bool>,
    /// Aborts the calls in flight when the connection is discarded.
    discarded: StopSignal,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("last_response", &self.last_response)
            .field("responded", &self.responded)
            .finish_non_exhaustive()
    }
}

/// Why a call got no response. Unless the call was never sent, the caller does
/// not know whether it took effect; a repeated call with the same request id
/// resolves that.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be established, so the call was never sent.
    #[snafu(display("step={step} peer={peer}: no connection: {source}"))]
    Dial {
        /// The name of the call.
        step: &'static str,
        /// The sidecar.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed while the call was in flight.
    #[snafu(display("step={step} peer={peer}: connection failed: {source}"))]
    Call {
        /// The name of the call.
        step: &'static str,
        /// The sidecar.
        peer: SocketAddr,
        /// The error of the transport.
        source: RpcError,
    },
    /// No response arrived within the call's maximum wait plus the margin.
    #[snafu(display("step={step} peer={peer}: no response for {waited:?}"))]
    Silent {
        /// The name of the call.
        step: &'static str,
        /// The sidecar.
        peer: SocketAddr,
        /// How long the call waited for a response.
        waited: Duration,
    },
}

impl Error {
    /// Whether the call is known not to have reached the sidecar.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Dial { .. })
    }

    /// Whether the sidecar did not answer in time, or not in time the last time
    /// that it was asked. A host that refuses or resets connections did answer.
    #[must_use]
    pub fn timed_out(&self) -> bool {
        match self {
            Self::Dial { source, .. } => source.kind() == io::ErrorKind::TimedOut,
            Self::Call { .. } => false,
            Self::Silent { .. } => true,
        }
    }
}

impl Peer {
    /// Creates a client that connects on first use.
    #[must_use]
    pub fn new(addr: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            addr,
            timeouts,
            connection: RefCell::default(),
            connect_lock: tokio::sync::Mutex::default(),
            failures: Cell::new(0),
            retry_at: Cell::new(None),
            timed_out: Cell::new(false),
        }
    }

    /// The address on which the sidecar listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Time until the next connection attempt; zero unless the peer backs off
    /// after a failure.
    #[must_use]
    pub fn backoff_left(&self) -> Duration {
        self.retry_at.get().map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Reserves a slot; see [`crate::Sidecar::reserve`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no response.
    pub async fn reserve(
        &self,
        header: CallHeader,
        request: ReserveRequest,
    ) -> Result<Reply<ReserveOutcome>, Error> {
        let max_wait = Duration::from_millis(u64::from(request.wait_ms));
        self.call("reserve", max_wait, async |client, ctx| {
            client.reserve(ctx, header, request).await
        })
        .await
    }

    /// Starts a request; see [`crate::Sidecar::start`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no response.
    pub async fn start(
        &self,
        header: CallHeader,
        request: StartRequest,
    ) -> Result<Reply<StartOutcome>, Error> {
        self.call("start", Duration::ZERO, async |client, ctx| {
            client.start(ctx, header, request).await
        })
        .await
    }

    /// Fetches chunks of a response; see [`crate::Sidecar::pull`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no response.
    pub async fn pull(
        &self,
        header: CallHeader,
        request: PullRequest,
    ) -> Result<Reply<PullOutcome>, Error> {
        let max_wait = Duration::from_millis(u64::from(request.wait_ms));
        self.call("pull", max_wait, async |client, ctx| {
            client.pull(ctx, header, request).await
        })
        .await
    }

    /// Cancels a request; see [`crate::Sidecar::cancel`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no response.
    pub async fn cancel(
        &self,
        header: CallHeader,
        id: RequestId,
    ) -> Result<Reply<CancelOutcome>, Error> {
        self.call("cancel", Duration::ZERO, async |client, ctx| {
            client.cancel(ctx, header, id).await
        })
        .await
    }

    /// Fetches the newest bundle; see [`crate::Sidecar::fetch_bundle`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no response.
    pub async fn fetch_bundle(
        &self,
        header: CallHeader,
    ) -> Result<Reply<Option<bytes::Bytes>>, Error> {
        self.call("fetch_bundle", Duration::ZERO, async |client, ctx| {
            client.fetch_bundle(ctx, header).await
        })
        .await
    }

    /// Sends a newer bundle; see [`crate::Sidecar::offer_bundle`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no response.
    pub async fn offer_bundle(
        &self,
        header: CallHeader,
        transfer: bytes::Bytes,
    ) -> Result<Reply<bool>, Error> {
        self.call("offer_bundle", Duration::ZERO, async |client, ctx| {
            client.offer_bundle(ctx, header, transfer).await
        })
        .await
    }

    /// Makes one call, and discards the connection if it failed or does not
    /// respond.
    ///
    /// When a middlebox on the path drops the state of a connection, it stays
    /// open for TCP as long as nothing is sent, and the caller would wait
    /// forever. Each call has a maximum wait at the sidecar. If there is no
    /// response to any call within that time plus the margin, the connection is
    /// unusable. Connecting again is safe because every call is idempotent by
    /// request id. A response to another call in the meantime shows that only
    /// this call was lost, so the connection is kept.
    async fn call<T, F, Fut>(
        &self,
        step: &'static str,
        max_wait: Duration,
        send: F,
    ) -> Result<T, Error>
    where
        F: FnOnce(SidecarClient, tarpc::context::Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let peer = self.addr;
        let connection = self.connection().await.context(DialSnafu { step, peer })?;
        let sent = Instant::now();
        let waited = max_wait + self.timeouts.margin;

        let mut ctx = tarpc::context::current();
        ctx.deadline = std::time::Instant::now() + waited;
        let result = tokio::select! {
            result = tokio::time::timeout(waited, send(connection.client.clone(), ctx)) => result,
            () = connection.discarded.wait() => return SilentSnafu { step, peer, waited: sent.elapsed() }.fail(),
        };

        match result {
            Ok(Ok(reply)) => {
                connection.last_response.set(Instant::now());
                connection.responded.set(true);
                self.failures.set(0);
                Ok(reply)
            }
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => {
                if connection.last_response.get() <= sent {
                    self.discard(&connection, true);
                }
                SilentSnafu { step, peer, waited }.fail()
            }
            Ok(Err(source)) => {
                self.discard(&connection, false);
                Err(source).context(CallSnafu { step, peer })
            }
        }
    }

    /// Returns the current connection, or connects if there is none.
    async fn connection(&self) -> io::Result<Rc<Connection>> {
        if let Some(connection) = self.live_connection() {
            return Ok(connection);
        }

        // Without the lock, a burst of requests to a sidecar that just
        // recovered would open one connection for each request.
        let _guard = self.connect_lock.lock().await;
        if let Some(connection) = self.live_connection() {
            return Ok(connection);
        }
        // Calls that waited for a failed attempt do not retry it one after the
        // other, since each would wait for the full connection timeout.
        if !self.backoff_left().is_zero() {
            let kind = match self.timed_out.get() {
                true => io::ErrorKind::TimedOut,
                false => io::ErrorKind::HostUnreachable,
            };
            return Err(kind.into());
        }

        let connection = self.connect().await;
        let connection =
            connection.inspect_err(|e| self.back_off(e.kind() == io::ErrorKind::TimedOut))?;
        let connection = Rc::new(connection);
        *self.connection.borrow_mut() = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// The current connection, unless it was idle for so long that a middlebox
    /// may have dropped its state. A request would detect that only by waiting
    /// for the margin, whereas a new connection costs one round trip.
    fn live_connection(&self) -> Option<Rc<Connection>> {
        let connection = self.connection.borrow().clone()?;
        if connection.last_response.get().elapsed() < self.timeouts.idle {
            return Some(connection);
        }
        // Calls in flight keep the old connection alive until they end.
        self.connection.borrow_mut().take();
        None
    }

    async fn connect(&self) -> io::Result<Connection> {
        let connected = tokio::time::timeout(self.timeouts.connect, connect(self.addr)).await;
        let stream = connected.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;

        let mut config = tarpc::client::Config::default();
        config.max_in_flight_requests = IN_FLIGHT_LIMIT;
        config.pending_request_buffer = PENDING_LIMIT;
        let new = SidecarClient::new(config, codec(stream));
        actix_rt::spawn(async move {
            // The calls in flight already report a failure of the connection.
            let _ = new.dispatch.await;
        });
        Ok(Connection {
            client: new.client,
            last_response: Cell::new(Instant::now()),
            responded: Cell::new(false),
            discarded: StopSignal::new(),
        })
    }

    /// Discards a connection and aborts all calls in flight on it, each of which
    /// would otherwise wait for its own timeout. `timed_out` says that it did not
    /// respond, rather than that it failed.
    fn discard(&self, connection: &Rc<Connection>, timed_out: bool) {
        connection.discarded.trigger();
        let mut current = self.connection.borrow_mut();
        if !current.as_ref().is_some_and(|c| Rc::ptr_eq(c, connection)) {
            return;
        }
        current.take();

        // Without backoff, a sidecar that accepts and immediately resets
        // connections would be connected to in a loop. A connection that had
        // worked is replaced without delay.
        if !connection.responded.get() {
            self.back_off(timed_out);
        }
    }

    /// Starts a backoff that doubles with each consecutive failure.
    fn back_off(&self, timed_out: bool) {
        self.timed_out.set(timed_out);
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let backoff = INITIAL_BACKOFF * 2u32.pow(failures.min(10));
        self.retry_at
            .set(Some(Instant::now() + backoff.min(MAX_BACKOFF)));
    }
}

/// Wraps a stream in the framing and encoding of the internal protocols.
pub(crate) fn codec<Item, Out>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<TcpStream, Item, Out, Bincode<Item, Out>>
where
    Item: DeserializeOwned,
    Out: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}
