//! The interface between this package and the platform that it runs on: the
//! store, the duty API and the names and meanings of headers.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use policy::balance::{ServerFeedback, ServerRecord};
use policy::duty::{Term, WriteOutcome};
use policy::moves::CopyOutcome;
use policy::origin_log::OriginBatch;
use policy::routes::Catalog;
use policy::scaling;
use policy::suspects::{CrashRecord, RecordKey};
use policy::usage::{UsageState, WorkspaceCounts};
use policy::versions::records::{VersionKey, VersionRecord};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The platform's services that an entry uses.
pub trait Platform {
    /// The operators' declarations.
    type Catalogs: Source<Item = Catalog> + 'static;
    /// The table of backend servers.
    type Servers: Source<Item = ServerRecord> + 'static;
    /// The directory of entries.
    type Directory: Directory + 'static;
    /// The table of servers that have crashed under calls.
    type Crashes: CrashTable + 'static;
    /// The table of the software versions that each service has.
    type Versions: VersionTable + 'static;
    /// The log of the software versions that began streams.
    type Origins: OriginLog + 'static;
    /// The store of the duty record.
    type DutyStore: DutyStore + 'static;
    /// The client of the duty API.
    type DutyApi: DutyApi + 'static;
    /// The client of the engines' calls that move running streams.
    type EngineControl: EngineControl + 'static;

    /// Reads the operators' declarations.
    fn catalogs(&self) -> Self::Catalogs;

    /// Opens the table of backend servers.
    fn servers(&self) -> Self::Servers;

    /// Opens the directory of entries.
    fn directory(&self) -> Self::Directory;

    /// Opens the table of servers that have crashed under calls.
    fn crashes(&self) -> Self::Crashes;

    /// Opens the table of the software versions that each service has.
    fn versions(&self) -> Self::Versions;
    /// Opens the log of the software versions that began streams.
    fn origins(&self) -> Self::Origins;

    /// Opens the store of the duty record.
    fn duty_store(&self) -> Self::DutyStore;

    /// Connects to the duty API at `addr`.
    fn duty_api(&self, addr: SocketAddr) -> Self::DutyApi;

    /// Creates the client of the engines' calls.
    fn engine_control(&self) -> Self::EngineControl;
}

/// The headers that callers and backend servers use.
pub trait Dialect {
    /// Parses a caller's headers.
    fn parse_call(&self, headers: &HeaderMap) -> CallHeaders;

    /// The headers to send to a backend server: the caller's, without those
    /// that are hop-by-hop or that callers must not set, plus those that carry
    /// `added`.
    fn forwarded_headers(&self, headers: &HeaderMap, added: &AddedHeaders<'_>) -> HeaderMap;

    /// Parses the headers of a backend server's response.
    fn parse_response(&self, status: u16, headers: &HeaderMap) -> ResponseHeaders;

    /// When the incarnation of a server started that answered a health check with `body`, in
    /// Unix milliseconds, if it says so.
    fn parse_start(&self, body: &[u8]) -> Option<u64>;
}

/// The fields of a caller's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHeaders {
    /// The caller's ID of this attempt.
    pub request_id: Option<String>,
    /// How long the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// Length of the prompt in tokens; 0 if not given.
    pub prompt_tokens: u32,
    /// Upper limit of the answer's length in tokens; 0 if not given.
    pub max_tokens: u32,
    /// The caller's estimate of the answer's length in tokens.
    pub length_hint: Option<u32>,
    /// The parts of the prompt in order. The last one belongs to the call
    /// itself or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// The number of the last event of a stream that the caller has received.
    pub last_event: Option<u64>,
    /// The ID of the attempt that brought the first event of the stream that the caller
    /// takes up, if it does.
    pub resumes: Option<String>,
}

/// A part of a prompt that other calls may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Equal for parts with equal content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a backend server is told in addition to the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct AddedHeaders<'a> {
    /// How long the caller keeps waiting.
    pub time_left: Duration,
    /// The ID of the intended server incarnation; any other one rejects the
    /// call.
    pub server: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// The priority rank at engines; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has received of a stream to resume.
    pub last_event: Option<u64>,
    /// Another server that has parts of the prompt cached, from which they may
    /// be copied instead of being computed again.
    pub fetch_from: Option<SocketAddr>,
    /// Another server to which the KV cache of the call is copied as it grows.
    pub backup: Option<SocketAddr>,
    /// The copy of the call's KV cache from which it continues.
    pub kv_copy: Option<KvCopy<'a>>,
}

/// A copy of a call's KV cache at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvCopy<'a> {
    /// The address of the server that holds it.
    pub addr: SocketAddr,
    /// Its name there.
    pub handle: &'a str,
}

/// The fields of the headers of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHeaders {
    /// The ID of the request that the response belongs to.
    pub request_id: Option<String>,
    /// The ID of the server incarnation that sent the response, if it states it.
    pub server: Option<String>,
    /// Whether the response carries the server's seal, which shows that the
    /// server made it and not an intermediary.
    pub sealed: bool,
    /// Whether the server reports that it did not run the call.
    pub not_run: bool,
    /// Whether the server reports that the call was meant for another one.
    pub wrong_server: bool,
    /// Whether an intermediary has encoded the body, which no caller asked for.
    pub encoded: bool,
    /// How long the server keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// The server's feedback about its own state.
    pub feedback: ServerFeedback,
}

/// A table in the platform's store: a snapshot of its records, and the changes
/// since.
pub trait Source {
    /// The decoded value of a record.
    type Item;

    /// Reads the newest record of each key.
    fn snapshot(&self) -> impl Future<Output = Result<Changes<Self::Item>, SourceError>>;

    /// Reads the changes from position `from` on. Waits up to `wait` for the
    /// first one.
    fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Self::Item>, SourceError>>;
}

/// The directory in which entries publish their addresses.
pub trait Directory {
    /// Publishes an entry's address under its name.
    fn announce(
        &self,
        name: &str,
        addr: SocketAddr,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// The published addresses, including those of entries that have stopped.
    fn entries(&self) -> impl Future<Output = Result<Vec<SocketAddr>, SourceError>>;
}

/// The store's table of servers that have crashed under calls, and of parts of
/// prompts that are known to be sound.
pub trait CrashTable: Source<Item = CrashRecord> {
    /// Writes some records, all or none; a record without a value is deleted.
    fn write(
        &self,
        records: &[(RecordKey, Option<CrashRecord>)],
    ) -> impl Future<Output = Result<(), SourceError>>;
}

/// The store's table of the software versions that each service has or recently had.
pub trait VersionTable: Source<Item = VersionRecord> {
    /// Writes some records, all or none.
    fn write(
        &self,
        records: &[(VersionKey, VersionRecord)],
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Writes a record if the table still ends at position `at`; a record without a value
    /// is deleted.
    fn replace(
        &self,
        at: u64,
        key: VersionKey,
        record: Option<&VersionRecord>,
    ) -> impl Future<Output = WriteOutcome>;
}

/// The store's log of the software versions that began streams. Positions only grow, even
/// when the store is restored from an old copy.
pub trait OriginLog {
    /// Appends a batch to a partition; returns the position after it.
    fn append(
        &self,
        partition: u32,
        batch: &OriginBatch,
    ) -> impl Future<Output = Result<u64, SourceError>>;

    /// Reads a page of a partition, from the position `from` or from the first batch that the
    /// store has.
    fn read(
        &self,
        partition: u32,
        from: Option<u64>,
    ) -> impl Future<Output = Result<OriginPage, SourceError>>;

    /// Deletes the batches of a partition before a position.
    fn trim(&self, partition: u32, before: u64) -> impl Future<Output = Result<(), SourceError>>;
}

/// A page of the log of stream origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginPage {
    /// The valid batches, in the order in which they were written.
    pub batches: Vec<OriginBatch>,
    /// The position from which to continue.
    pub next: u64,
    /// The end of the partition when it was read.
    pub end: u64,
}

/// The stored state of the duties, which one daemon holds at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The current holder and its term.
    pub term: Term,
    /// The usage that is still to be reported.
    pub usage: UsageState,
}

/// The store of the duty record, which is kept as a log.
pub trait DutyStore {
    /// Reads the newest record and the end of its log.
    fn read(&self) -> impl Future<Output = Result<(Option<DutyRecord>, u64), SourceError>>;

    /// Appends the record if its log still ends at `at`.
    fn write(&self, at: u64, record: &DutyRecord) -> impl Future<Output = WriteOutcome>;
}

/// The platform's API that the duties call.
pub trait DutyApi {
    /// Reports each workspace's usage in a window. `token` is called for the
    /// fencing token right before the request is sent.
    fn report(
        &self,
        holder: &str,
        window: u64,
        counts: &WorkspaceCounts,
        token: impl FnOnce() -> Option<u64>,
    ) -> impl Future<Output = DutyOutcome>;

    /// Orders the number of servers that `service` should have in an
    /// availability zone; `token` as in [`DutyApi::report`].
    fn order(
        &self,
        holder: &str,
        service: &str,
        order: &scaling::ServerOrder,
        token: impl FnOnce() -> Option<u64>,
    ) -> impl Future<Output = DutyOutcome>;
}

/// A call that copies a running request's KV cache to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyRequest<'a> {
    /// The request's ID.
    pub id: &'a str,
    /// The address of the engine that gets the copy.
    pub to: SocketAddr,
    /// Whether the run stops first. Otherwise it continues during the copy.
    pub last: bool,
}

/// The calls to engines that move running streams.
pub trait EngineControl {
    /// Copies a run of the engine at `engine` to another engine and waits until the copy is
    /// complete. A repeated call copies only what is new.
    fn copy_run(
        &self,
        engine: SocketAddr,
        request: &CopyRequest<'_>,
    ) -> impl Future<Output = CopyOutcome>;

    /// Frees a copy at the engine at `engine`, which made it, and at the one that got it.
    fn drop_copy(
        &self,
        engine: SocketAddr,
        handle: &str,
    ) -> impl Future<Output = Result<(), EngineError>>;
}

/// A call to an engine failed. A copy that is not freed expires.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("step={step} peer={peer}: {cause}"))]
pub struct EngineError {
    /// The operation.
    pub step: &'static str,
    /// The engine's address.
    pub peer: String,
    /// The error or the unexpected response.
    pub cause: String,
}

/// The outcome of a duty's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyOutcome {
    /// It was carried out, now or by an earlier request.
    Accepted,
    /// The API has seen this higher fencing token; the request was not carried
    /// out.
    Fenced(u64),
    /// It was refused with this status and not carried out.
    Refused(u16),
    /// There was no response; it may be carried out at any time.
    Unanswered(String),
    /// The duty was no longer held, and nothing was sent.
    NotHeld,
}

impl DutyOutcome {
    /// A short name for logs and metric labels.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced(_) => "fenced",
            Self::Refused(_) => "refused",
            Self::Unanswered(_) => "lost",
            Self::NotHeld => "not_held",
        }
    }

    /// Whether the API has accepted or fenced the request, or nothing was sent.
    /// Otherwise the API may be unreachable from this entry.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        !matches!(self, Self::Unanswered(_) | Self::Refused(_))
    }
}

/// Records read from a table.
#[derive(Debug, Clone)]
pub struct Changes<T> {
    /// Keys with their current values; `None` for a deleted key.
    pub records: Vec<(String, Option<T>)>,
    /// The position from which to continue. Positions only grow, even when the
    /// store is restored from an old copy.
    pub next: u64,
}

/// Why the store returned no records.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The store has deleted the requested records.
    #[snafu(display("step={step} peer={peer}: the store has deleted these records"))]
    Expired {
        /// The operation.
        step: &'static str,
        /// The store's address.
        peer: String,
    },
    /// The store was restored from an old copy: its latest writes are gone, and
    /// positions from before are invalid.
    #[snafu(display("step={step} peer={peer}: the store was restored from an old copy"))]
    Rewound {
        /// The operation.
        step: &'static str,
        /// The store's address.
        peer: String,
    },
    /// The store could not be reached, refused, or sent an invalid response.
    #[snafu(display("step={step} peer={peer}: {cause}"))]
    Unavailable {
        /// The operation.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The error or the unexpected response.
        cause: String,
    },
}
