//! A connection to a sidecar that finds out when it has gone silent.

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

use base::ids::RequestId;
use base::stop::StopSignal;

use crate::{
    CallHeader, CancelOutcome, PullOutcome, PullRequest, Reply, ReserveOutcome, ReserveRequest,
    SidecarClient, StartOutcome, StartRequest,
};

/// Largest frame of the inner protocol, in bytes.
const FRAME_LIMIT: usize = 32 << 20;

/// Calls that one connection carries at once. Each open stream holds a long
/// poll; with the library's 1,000, call 1,001 would wait unsent behind them
/// until it looked like silence, and a good connection would be dropped.
const IN_FLIGHT_LIMIT: usize = 1 << 17;

/// Calls that may wait for the connection's task to write them.
const PENDING_LIMIT: usize = 1024;

/// How long a peer is left alone after one failure to connect; doubles with
/// each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// The longest time for which a peer is left alone.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// How long to wait for whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time allowed for an answer beyond what the call itself may be held.
    pub margin: Duration,
    /// Time allowed for dialling.
    pub connect: Duration,
    /// A connection on which nothing came for so long is replaced before it
    /// is used again.
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

/// One sidecar as an entry reaches it. Dials when first needed and again
/// after a failure; calls in flight share one connection.
#[derive(Debug)]
pub struct Peer {
    /// Where the sidecar listens.
    addr: SocketAddr,
    /// How long to wait for it.
    timing: Timeouts,
    /// The connection in use, if any.
    link: RefCell<Option<Rc<Link>>>,
    /// Lets one caller dial while the others wait for what it gets.
    dialling: tokio::sync::Mutex<()>,
    /// Failures to connect in a row.
    failures: Cell<u32>,
    /// No dialling before this time.
    rest: Cell<Option<Instant>>,
}

/// One connection.
struct Link {
    /// The calls' way into the connection.
    client: SidecarClient,
    /// When the last answer came, or the connection was made.
    heard: Cell<Instant>,
    /// Whether any answer ever came.
    proven: Cell<bool>,
    /// Tells the calls in flight that the connection is given up.
    dead: StopSignal,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link")
            .field("heard", &self.heard)
            .field("proven", &self.proven)
            .finish_non_exhaustive()
    }
}

/// Why a call got no answer. In no case does the caller know whether the
/// call took effect; the ticket settles that.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be made, so the call was never sent.
    #[snafu(display("step={step} peer={peer}: no connection: {source}"))]
    Dial {
        /// The call that was wanted.
        step: &'static str,
        /// The sidecar.
        peer: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// The connection failed while the call was out.
    #[snafu(display("step={step} peer={peer}: connection failed: {source}"))]
    Call {
        /// The call that was out.
        step: &'static str,
        /// The sidecar.
        peer: SocketAddr,
        /// What the transport reported.
        source: RpcError,
    },
    /// No answer came within the call's bound and the margin.
    #[snafu(display("step={step} peer={peer}: silent for {waited:?}"))]
    Silent {
        /// The call that was out.
        step: &'static str,
        /// The sidecar.
        peer: SocketAddr,
        /// How long the caller waited.
        waited: Duration,
    },
}

impl Error {
    /// Whether the call certainly never reached the sidecar.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Dial { .. })
    }
}

impl Peer {
    /// Makes a peer that is not connected yet.
    #[must_use]
    pub fn new(addr: SocketAddr, timing: Timeouts) -> Self {
        Self {
            addr,
            timing,
            link: RefCell::default(),
            dialling: tokio::sync::Mutex::default(),
            failures: Cell::new(0),
            rest: Cell::new(None),
        }
    }

    /// Where the sidecar listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Asks for a slot; see [`crate::Sidecar::reserve`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn reserve(
        &self,
        stamp: CallHeader,
        ask: ReserveRequest,
    ) -> Result<Reply<ReserveOutcome>, Error> {
        let hold = Duration::from_millis(u64::from(ask.wait_ms));
        self.call("reserve", hold, async |client, ctx| {
            client.reserve(ctx, stamp, ask).await
        })
        .await
    }

    /// Starts a ticket; see [`crate::Sidecar::start`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn start(
        &self,
        stamp: CallHeader,
        order: StartRequest,
    ) -> Result<Reply<StartOutcome>, Error> {
        self.call("start", Duration::ZERO, async |client, ctx| {
            client.start(ctx, stamp, order).await
        })
        .await
    }

    /// Asks for pieces; see [`crate::Sidecar::pull`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn pull(
        &self,
        stamp: CallHeader,
        ask: PullRequest,
    ) -> Result<Reply<PullOutcome>, Error> {
        let hold = Duration::from_millis(u64::from(ask.wait_ms));
        self.call("pull", hold, async |client, ctx| {
            client.pull(ctx, stamp, ask).await
        })
        .await
    }

    /// Ends a ticket; see [`crate::Sidecar::cancel`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn cancel(
        &self,
        stamp: CallHeader,
        ticket: RequestId,
    ) -> Result<Reply<CancelOutcome>, Error> {
        self.call("cancel", Duration::ZERO, async |client, ctx| {
            client.cancel(ctx, stamp, ticket).await
        })
        .await
    }

    /// Fetches the newest bundle; see [`crate::Sidecar::fetch_bundle`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn fetch_bundle(
        &self,
        stamp: CallHeader,
    ) -> Result<Reply<Option<bytes::Bytes>>, Error> {
        self.call("fetch_bundle", Duration::ZERO, async |client, ctx| {
            client.fetch_bundle(ctx, stamp).await
        })
        .await
    }

    /// Hands over a bundle; see [`crate::Sidecar::offer_bundle`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn offer_bundle(
        &self,
        stamp: CallHeader,
        transfer: bytes::Bytes,
    ) -> Result<Reply<bool>, Error> {
        self.call("offer_bundle", Duration::ZERO, async |client, ctx| {
            client.offer_bundle(ctx, stamp, transfer).await
        })
        .await
    }

    /// Makes one call and gives the connection up if it failed or is silent.
    ///
    /// A connection whose path has lost track of it stays open for TCP while
    /// nothing passes. The caller would wait for ever. Each call has a bound
    /// at the sidecar, so no answer to anything within bound and margin proves
    /// the connection useless, and dialling anew is enough because every call
    /// is idempotent by its ticket. An answer to another call meanwhile shows
    /// that only this one was lost; the connection stays.
    async fn call<T, F, Fut>(&self, step: &'static str, hold: Duration, make: F) -> Result<T, Error>
    where
        F: FnOnce(SidecarClient, tarpc::context::Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let peer = self.addr;
        let link = self.link().await.context(DialSnafu { step, peer })?;
        let sent = Instant::now();
        let waited = hold + self.timing.margin;

        let mut ctx = tarpc::context::current();
        ctx.deadline = std::time::Instant::now() + waited;
        let answer = tokio::select! {
            answer = tokio::time::timeout(waited, make(link.client.clone(), ctx)) => answer,
            () = link.dead.wait() => return SilentSnafu { step, peer, waited: sent.elapsed() }.fail(),
        };

        match answer {
            Ok(Ok(reply)) => {
                link.heard.set(Instant::now());
                link.proven.set(true);
                self.failures.set(0);
                Ok(reply)
            }
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => {
                if link.heard.get() <= sent {
                    self.give_up(&link);
                }
                SilentSnafu { step, peer, waited }.fail()
            }
            Ok(Err(source)) => {
                self.give_up(&link);
                Err(source).context(CallSnafu { step, peer })
            }
        }
    }

    /// The connection in use, dialled now if there is none.
    async fn link(&self) -> io::Result<Rc<Link>> {
        if let Some(link) = self.usable() {
            return Ok(link);
        }

        // A burst towards a sidecar that just came back would dial once for
        // each request; one dials, and the others take what it gets.
        let _turn = self.dialling.lock().await;
        if let Some(link) = self.usable() {
            return Ok(link);
        }
        // Those who waited for a dial that failed do not dial in turn: each
        // would pay the whole time again.
        if self.rest.get().is_some_and(|until| Instant::now() < until) {
            return Err(io::ErrorKind::HostUnreachable.into());
        }

        let link = self.dial().await.inspect_err(|_| self.back_off())?;
        let link = Rc::new(link);
        *self.link.borrow_mut() = Some(Rc::clone(&link));
        Ok(link)
    }

    /// The connection in use, unless it was idle for so long that the path may
    /// have lost track of it. A request would find that out only by waiting
    /// for the margin; a new connection costs one round trip.
    fn usable(&self) -> Option<Rc<Link>> {
        let link = self.link.borrow().clone()?;
        if link.heard.get().elapsed() < self.timing.idle {
            return Some(link);
        }
        // Calls still in flight keep the old connection until they end.
        self.link.borrow_mut().take();
        None
    }

    async fn dial(&self) -> io::Result<Link> {
        let dialled =
            tokio::time::timeout(self.timing.connect, TcpStream::connect(self.addr)).await;
        let stream = dialled.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;

        let mut config = tarpc::client::Config::default();
        config.max_in_flight_requests = IN_FLIGHT_LIMIT;
        config.pending_request_buffer = PENDING_LIMIT;
        let new = SidecarClient::new(config, codec(stream));
        actix_rt::spawn(async move {
            // The calls in flight report the failure; there is nothing to add.
            let _ = new.dispatch.await;
        });
        Ok(Link {
            client: new.client,
            heard: Cell::new(Instant::now()),
            proven: Cell::new(false),
            dead: StopSignal::new(),
        })
    }

    /// Stops using a connection and ends all calls in flight on it, which
    /// would each find out by their own bound otherwise.
    fn give_up(&self, link: &Rc<Link>) {
        link.dead.trigger();
        let mut current = self.link.borrow_mut();
        if !current.as_ref().is_some_and(|c| Rc::ptr_eq(c, link)) {
            return;
        }
        current.take();

        // A peer that accepts and resets at once would be dialled in a loop.
        // A connection that had worked is replaced without delay.
        if !link.proven.get() {
            self.back_off();
        }
    }

    /// Leaves the peer alone for a while that grows with each failure.
    fn back_off(&self) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let rest = BACKOFF_FIRST * 2u32.pow(failures.min(10));
        self.rest
            .set(Some(Instant::now() + rest.min(BACKOFF_LIMIT)));
    }
}

/// Frames a stream for the inner protocol.
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
