//! A connection to a sidecar that finds out when it has gone silent.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use base::ids::Ticket;

use crate::{
    Cancelled, Pull, Pulled, Reply, Reserve, Reserved, SidecarClient, Stamp, Start, Started,
};

/// Largest frame of the inner protocol, in bytes.
const FRAME_LIMIT: usize = 32 << 20;

/// Time allowed for an answer beyond what the call itself may be held.
pub const MARGIN: Duration = Duration::from_millis(1000);

/// Time allowed for dialling.
pub const DIAL: Duration = Duration::from_millis(1000);

/// One sidecar as an entry reaches it. Dials when first needed and again
/// after a failure; calls in flight share one connection.
#[derive(Debug)]
pub struct Peer {
    /// Where the sidecar listens.
    addr: SocketAddr,
    /// The connection in use, if any.
    client: RefCell<Option<SidecarClient>>,
    /// Counts connections, so that a late failure of an old connection does
    /// not drop the new one.
    epoch: Cell<u64>,
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
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            client: RefCell::default(),
            epoch: Cell::new(0),
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
    pub async fn reserve(&self, stamp: Stamp, ask: Reserve) -> Result<Reply<Reserved>, Error> {
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
    pub async fn start(&self, stamp: Stamp, order: Start) -> Result<Reply<Started>, Error> {
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
    pub async fn pull(&self, stamp: Stamp, ask: Pull) -> Result<Reply<Pulled>, Error> {
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
    pub async fn cancel(&self, stamp: Stamp, ticket: Ticket) -> Result<Reply<Cancelled>, Error> {
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
    pub async fn fetch_bundle(&self, stamp: Stamp) -> Result<Reply<Option<bytes::Bytes>>, Error> {
        self.call("fetch_bundle", Duration::ZERO, async |client, ctx| {
            client.fetch_bundle(ctx, stamp).await
        })
        .await
    }

    /// Makes one call and drops the connection if it failed or went silent.
    ///
    /// A connection whose path has lost track of it stays open for TCP while
    /// nothing passes. The caller would wait for ever. Each call has a bound
    /// at the sidecar, so no answer within bound and margin proves the
    /// connection useless, and dialling anew is enough because every call is
    /// idempotent by its ticket.
    async fn call<T, F, Fut>(&self, step: &'static str, hold: Duration, make: F) -> Result<T, Error>
    where
        F: FnOnce(SidecarClient, tarpc::context::Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client().await.context(DialSnafu {
            step,
            peer: self.addr,
        })?;
        let epoch = self.epoch.get();
        let waited = hold + MARGIN;

        let mut ctx = tarpc::context::current();
        ctx.deadline = Instant::now() + waited;
        let answer = tokio::time::timeout(waited, make(client, ctx)).await;

        match answer {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => {
                self.drop_client(epoch);
                SilentSnafu {
                    step,
                    peer: self.addr,
                    waited,
                }
                .fail()
            }
            Ok(Err(source)) => {
                self.drop_client(epoch);
                Err(source).context(CallSnafu {
                    step,
                    peer: self.addr,
                })
            }
        }
    }

    /// The connection in use, dialled now if there is none.
    async fn client(&self) -> io::Result<SidecarClient> {
        if let Some(client) = self.client.borrow().as_ref() {
            return Ok(client.clone());
        }

        let dialled = tokio::time::timeout(DIAL, TcpStream::connect(self.addr)).await;
        let stream = dialled.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;

        // Someone else may have dialled meanwhile; one connection is enough.
        if let Some(client) = self.client.borrow().as_ref() {
            return Ok(client.clone());
        }
        let new = SidecarClient::new(tarpc::client::Config::default(), codec(stream));
        actix_rt::spawn(async move {
            // The calls in flight report the failure; there is nothing to add.
            let _ = new.dispatch.await;
        });
        *self.client.borrow_mut() = Some(new.client.clone());
        self.epoch.set(self.epoch.get() + 1);
        Ok(new.client)
    }

    fn drop_client(&self, epoch: u64) {
        if self.epoch.get() == epoch {
            self.client.borrow_mut().take();
        }
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
