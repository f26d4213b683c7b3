//! Fetching changes of the store's tables from a neighbour that replicates them.
//!
//! The protocol is one bounded long poll, like that of the store. Positions are
//! those of the store, so that an entry can continue from its position with
//! another neighbour or with the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tarpc::client::RpcError;
use tokio::net::TcpListener;

use base::connect::connect;
use base::stop::StopSignal;

use crate::peer::codec;
use crate::serve;

/// Version of the record encoding. A neighbour with another version is skipped
/// for a while, during which the asking entry reads the store instead.
pub const FORMAT_VERSION: u8 = 6;

/// The calls that an entry serves to its neighbours.
#[tarpc::service]
pub trait TableSync {
    /// Returns what changed in the tables; blocks for at most `wait_ms`.
    async fn fetch_changes(request: ChangesRequest) -> TableChanges;
}

/// The positions up to which the asking entry has replicated the tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Version of the record encoding that the entry reads.
    pub version: u8,
    /// Position in the catalog table; `None` requests a snapshot.
    pub catalog: Option<u64>,
    /// Position in the server table; `None` requests a snapshot.
    pub servers: Option<u64>,
    /// Position in the table of servers that crashed while running a call;
    /// `None` requests a snapshot.
    pub crashes: Option<u64>,
    /// Position in the table of recorded software versions; `None` requests a
    /// snapshot.
    pub versions: Option<u64>,
    /// Maximum wait for the first change, in milliseconds.
    pub wait_ms: u32,
}

/// The changes after the positions of a [`ChangesRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// Changes of the catalog table; `None` when the neighbour has no replica.
    pub catalog: Option<TableDelta>,
    /// Changes of the server table; `None` as above.
    pub servers: Option<TableDelta>,
    /// Changes of the table of crashed servers; `None` as above.
    pub crashes: Option<TableDelta>,
    /// Changes of the table of recorded software versions; `None` as above.
    pub versions: Option<TableDelta>,
    /// Time for which live servers may still be missing from the table because
    /// the store has just recovered, in milliseconds.
    pub settling_ms: u32,
}

/// Changes of one table, or a snapshot of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Whether the records are a snapshot of the table; keys that are not in it
    /// are deleted.
    #[serde(rename = "whole")]
    pub snapshot: bool,
    /// Position up to which the neighbour's replica is complete.
    #[serde(rename = "next")]
    pub position: u64,
    /// Time since the neighbour last knew its replica to be up to date, in
    /// milliseconds.
    #[serde(rename = "age_ms")]
    pub staleness_ms: u32,
    /// Key-value pairs, encoded by [`encode_records`].
    pub records: Bytes,
}

/// Why fetching changes from a neighbour failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be established in time.
    #[snafu(display("step=dial peer={peer}: {source}"))]
    Dial {
        /// The neighbour.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed or the response timed out.
    #[snafu(display("step=follow peer={peer}: {source}"))]
    Call {
        /// The neighbour.
        peer: SocketAddr,
        /// The error of the transport.
        source: RpcError,
    },
    /// The records of the neighbour are malformed.
    #[snafu(display("step=read_records peer={peer}: {source}"))]
    Records {
        /// The neighbour.
        peer: SocketAddr,
        /// The decoding error.
        source: postcard::Error,
    },
}

/// A connection to one neighbour, with which to fetch changes.
#[derive(Debug)]
pub struct NeighbourClient {
    addr: SocketAddr,
    client: TableSyncClient,
}

impl NeighbourClient {
    /// Connects to the neighbour at `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection is established within `timeout`.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let connected = tokio::time::timeout(timeout, connect(addr)).await;
        let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.and_then(|s| s.set_nodelay(true).map(|()| s));
        let stream = stream.context(DialSnafu { peer: addr })?;
        let new = TableSyncClient::new(tarpc::client::Config::default(), codec(stream));
        actix_rt::spawn(async move {
            // The call in flight already reports a failure of the connection.
            let _ = new.dispatch.await;
        });
        Ok(Self {
            addr,
            client: new.client,
        })
    }

    /// The address on which the neighbour listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Fetches the changes after the positions in `request`.
    ///
    /// When a middlebox on the path drops the state of a connection, it stays
    /// open for TCP as long as nothing is sent. The neighbour responds after
    /// `wait_ms` at the latest, so a connection without a response for `margin`
    /// longer is unusable.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no response.
    pub async fn fetch_changes(
        &self,
        request: ChangesRequest,
        margin: Duration,
    ) -> Result<TableChanges, Error> {
        let peer = self.addr;
        let timeout = Duration::from_millis(u64::from(request.wait_ms)) + margin;
        let mut ctx = tarpc::context::current();
        ctx.deadline = std::time::Instant::now() + timeout;
        let response = tokio::time::timeout(timeout, self.client.fetch_changes(ctx, request)).await;
        let result = response.unwrap_or(Err(RpcError::DeadlineExceeded));
        result.context(CallSnafu { peer })
    }
}

/// Serves neighbours on `listener` until `stop` is triggered.
pub async fn serve_tables<S>(listener: TcpListener, service: S, stop: StopSignal)
where
    S: TableSync + Clone + 'static,
{
    serve::accept(listener, service.serve(), stop).await;
}

/// Encodes key-value pairs.
#[must_use]
pub fn encode_records<R: Serialize>(records: &R) -> Bytes {
    postcard::to_allocvec(records).unwrap_or_default().into()
}

/// Decodes records that [`encode_records`] encoded at the neighbour `peer`.
///
/// # Errors
///
/// Returns an error when the bytes are malformed.
pub fn decode_records<'a, R: Deserialize<'a>>(
    peer: SocketAddr,
    bytes: &'a [u8],
) -> Result<R, Error> {
    postcard::from_bytes(bytes).context(RecordsSnafu { peer })
}
