//! What an entry asks a neighbour that keeps level with the store's tables.
//!
//! One call, a bounded long poll like the store's own. Positions are the
//! store's, so that an entry goes on with whoever it asks next, neighbour or
//! store, where it stood.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tarpc::client::RpcError;
use tokio::net::{TcpListener, TcpStream};

use base::stop::StopSignal;

use crate::peer::codec;
use crate::serve;

/// How records are written. Entries of another one are not asked again before
/// they have been passed over for a while, and their neighbours read the store.
pub const FORMAT_VERSION: u8 = 3;

/// The calls that an entry answers its neighbours.
#[tarpc::service]
pub trait TableSync {
    /// Asks what changed in the tables; held for `wait_ms` at most.
    async fn fetch_changes(ask: ChangesRequest) -> TableChanges;
}

/// Up to where the asking entry is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// How it reads records.
    pub version: u8,
    /// Its position in the catalog's table; none for the whole.
    pub catalog: Option<u64>,
    /// Its position in the servers' table; none for the whole.
    pub servers: Option<u64>,
    /// Its position in the table of servers that have crashed under calls; none
    /// for the whole.
    pub crashes: Option<u64>,
    /// How long it waits for the first change, in milliseconds.
    pub wait_ms: u32,
}

/// What the neighbour holds beyond that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// Of the catalog's table; none when the neighbour has no copy.
    pub catalog: Option<TableDelta>,
    /// The same of the servers' table.
    pub servers: Option<TableDelta>,
    /// The same of the servers that have crashed under calls.
    pub crashes: Option<TableDelta>,
    /// For how much longer servers may be missing from the table though they
    /// live, as the store has just come back; in milliseconds.
    pub settling_ms: u32,
}

/// A part of one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Whether it is the whole table, and what it does not show is gone.
    #[serde(rename = "whole")]
    pub snapshot: bool,
    /// The position up to which the neighbour is complete.
    #[serde(rename = "next")]
    pub position: u64,
    /// For how long the neighbour has not known whether it still is, in
    /// milliseconds.
    #[serde(rename = "age_ms")]
    pub staleness_ms: u32,
    /// Keys with their values, written by [`write`].
    pub records: Bytes,
}

/// Why a neighbour told nothing.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be made in time.
    #[snafu(display("step=dial peer={peer}: {source}"))]
    Dial {
        /// The neighbour.
        peer: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// The connection failed, or nothing came in time.
    #[snafu(display("step=follow peer={peer}: {source}"))]
    Call {
        /// The neighbour.
        peer: SocketAddr,
        /// What the transport reported.
        source: RpcError,
    },
    /// Its records make no sense.
    #[snafu(display("step=read_records peer={peer}: {source}"))]
    Records {
        /// The neighbour.
        peer: SocketAddr,
        /// What is wrong with them.
        source: postcard::Error,
    },
}

/// A connection to one neighbour.
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
    /// Returns an error when there is no connection `within` that time.
    pub async fn dial(addr: SocketAddr, within: Duration) -> Result<Self, Error> {
        let dialled = tokio::time::timeout(within, TcpStream::connect(addr)).await;
        let stream = dialled.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.and_then(|s| s.set_nodelay(true).map(|()| s));
        let stream = stream.context(DialSnafu { peer: addr })?;
        let new = TableSyncClient::new(tarpc::client::Config::default(), codec(stream));
        actix_rt::spawn(async move {
            // The call in flight reports the failure; there is nothing to add.
            let _ = new.dispatch.await;
        });
        Ok(Self {
            addr,
            client: new.client,
        })
    }

    /// Where the neighbour listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Asks what changed.
    ///
    /// A connection that its path has lost track of stays open while nothing
    /// passes. The neighbour answers after `wait_ms` at the latest, so one from
    /// which nothing came for `margin` longer is of no more use.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn fetch_changes(
        &self,
        ask: ChangesRequest,
        margin: Duration,
    ) -> Result<TableChanges, Error> {
        let peer = self.addr;
        let within = Duration::from_millis(u64::from(ask.wait_ms)) + margin;
        let mut ctx = tarpc::context::current();
        ctx.deadline = std::time::Instant::now() + within;
        let asked = tokio::time::timeout(within, self.client.fetch_changes(ctx, ask)).await;
        let answer = asked.unwrap_or(Err(RpcError::DeadlineExceeded));
        answer.context(CallSnafu { peer })
    }
}

/// Answers neighbours on `listener` until `stop` is asked.
pub async fn serve_tables<S>(listener: TcpListener, service: S, stop: StopSignal)
where
    S: TableSync + Clone + 'static,
{
    serve::accept(listener, service.serve(), stop).await;
}

/// Writes keys with their values.
#[must_use]
pub fn encode_records<R: Serialize>(records: &R) -> Bytes {
    postcard::to_allocvec(records).unwrap_or_default().into()
}

/// Reads what [`write`] has written at the neighbour `peer`.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode_records<'a, R: Deserialize<'a>>(
    peer: SocketAddr,
    bytes: &'a [u8],
) -> Result<R, Error> {
    postcard::from_bytes(bytes).context(RecordsSnafu { peer })
}
