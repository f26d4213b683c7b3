//! What a platform has to translate for this package. Everything here speaks
//! of what the words on the wire mean, not of how they are spelled.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use policy::balance::{ServerFeedback, ServerRecord};
use policy::duty::{Term, WriteOutcome};
use policy::routes::Catalog;
use policy::scaling;
use policy::suspects::Crash;
use policy::usage::{UsageState, WorkspaceCounts};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Everything outside that an entry reads from and writes to.
pub trait Platform {
    /// What the operators declare.
    type Catalogs: Source<Item = Catalog> + 'static;
    /// The backend servers.
    type Servers: Source<Item = ServerRecord> + 'static;
    /// Where entries find each other.
    type Directory: Directory + 'static;
    /// Servers that have crashed under calls.
    type Crashes: CrashTable + 'static;
    /// Where the duties' record is kept.
    type DutyStore: DutyStore + 'static;
    /// Where duties go to.
    type DutyApi: DutyApi + 'static;

    /// The operators' declarations.
    fn catalogs(&self) -> Self::Catalogs;

    /// The table of backend servers.
    fn servers(&self) -> Self::Servers;

    /// The directory of entries.
    fn directory(&self) -> Self::Directory;

    /// The table of servers that have crashed under calls.
    fn crashes(&self) -> Self::Crashes;

    /// The duties' record.
    fn duty_store(&self) -> Self::DutyStore;

    /// The interface for duties at `addr`.
    fn duty_api(&self, addr: SocketAddr) -> Self::DutyApi;
}

/// How callers and backend servers are spoken to.
pub trait Dialect {
    /// What a caller's headers say.
    fn parse_call(&self, headers: &HeaderMap) -> CallHeaders;

    /// The headers for a backend server: the caller's, without those that
    /// concern one connection only or that callers must not set, and with
    /// what `order` says.
    fn forwarded_headers(&self, headers: &HeaderMap, order: &AddedHeaders<'_>) -> HeaderMap;

    /// What a backend server's headers say.
    fn parse_response(&self, status: u16, headers: &HeaderMap) -> ResponseHeaders;
}

/// What a caller's headers say about its call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHeaders {
    /// The caller's identity of this try.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// Size of the prompt, in tokens; 0 when it was not said.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have; 0 when it was not said.
    pub max_tokens: u32,
    /// The caller's guess of the answer's tokens.
    pub length_hint: Option<u32>,
    /// The parts of the prompt in order; the last one belongs to the call
    /// itself or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// The number of the last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

/// A part of a prompt that other calls may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Equal for equal parts.
    pub id: u64,
    /// Its size.
    pub tokens: u32,
}

/// What a backend server is told beside the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct AddedHeaders<'a> {
    /// How long the caller goes on waiting.
    pub time_left: Duration,
    /// The life of the server that is meant; another one refuses.
    pub server: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// The call's rank for engines; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has of a stream that goes on.
    pub last_event: Option<u64>,
    /// Another server that holds parts of the prompt, from which they may be
    /// copied instead of being read again.
    pub fetch_from: Option<SocketAddr>,
}

/// What a backend server's headers say about its answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHeaders {
    /// The call that the answer belongs to.
    pub request_id: Option<String>,
    /// Whether the server has made this answer itself, and vouches for it.
    pub sealed: bool,
    /// Whether the server says that it did not run the call.
    pub not_run: bool,
    /// Whether the server says that the call was meant for another one.
    pub wrong_server: bool,
    /// Whether the body was encoded on the way, which no caller asked for.
    pub encoded: bool,
    /// How long the server keeps an idle connection.
    pub idle_timeout: Option<Duration>,
    /// Whether the server closes the connection after this answer.
    pub close: bool,
    /// What it says of the server itself.
    pub feedback: ServerFeedback,
}

/// A table in the platform's store: the newest record of each key, and what
/// changed since.
pub trait Source {
    /// What a record says.
    type Item;

    /// Everything that the table holds.
    fn snapshot(&self) -> impl Future<Output = Result<Changes<Self::Item>, SourceError>>;

    /// What changed from position `from` on; waits up to `wait` for the first
    /// change.
    fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Self::Item>, SourceError>>;
}

/// Where entries find each other.
pub trait Directory {
    /// Writes an entry's address under its name.
    fn announce(
        &self,
        name: &str,
        addr: SocketAddr,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// The addresses that were written, also those of entries that are gone.
    fn entries(&self) -> impl Future<Output = Result<Vec<SocketAddr>, SourceError>>;
}

/// The store's table of servers that have crashed under calls, each with the Unix
/// millisecond at which it was seen.
pub trait CrashTable: Source<Item = u64> {
    /// Writes some of them, all or none; those without a time are dropped.
    fn write(
        &self,
        crashes: &[(Crash, Option<u64>)],
    ) -> impl Future<Output = Result<(), SourceError>>;
}

/// What the store keeps of the duties of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Who holds them.
    pub term: Term,
    /// What was used, and is to be reported.
    pub usage: UsageState,
}

/// Where the duties' record is kept.
pub trait DutyStore {
    /// The record, and where its log ends.
    fn read(&self) -> impl Future<Output = Result<(Option<DutyRecord>, u64), SourceError>>;

    /// Writes the record if its log still ends at `at`.
    fn write(&self, at: u64, kept: &DutyRecord) -> impl Future<Output = WriteOutcome>;
}

/// The platform's interface that duties go to.
pub trait DutyApi {
    /// Reports what each workspace has used in a window. `token` is asked for
    /// the fencing token right before the call is sent.
    fn report(
        &self,
        holder: &str,
        window: u64,
        counts: &WorkspaceCounts,
        token: impl FnOnce() -> Option<u64>,
    ) -> impl Future<Output = DutyOutcome>;

    /// Orders how many servers `service` should have in an availability zone;
    /// `token` as in [`DutyApi::report`].
    fn order(
        &self,
        holder: &str,
        service: &str,
        order: &scaling::ServerOrder,
        token: impl FnOnce() -> Option<u64>,
    ) -> impl Future<Output = DutyOutcome>;
}

/// What became of a call of a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyOutcome {
    /// It was carried out, or had been before.
    Accepted,
    /// A higher token than this one was seen; it was not carried out.
    Fenced(u64),
    /// It was refused with this status, and not carried out.
    Refused(u16),
    /// It was not answered; it may be carried out at any time.
    Unanswered(String),
    /// The duty was not held any more, and nothing was sent.
    NotHeld,
}

impl DutyOutcome {
    /// It in one word, for logs and metrics.
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

    /// Whether the interface was heard, or need not have been.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        !matches!(self, Self::Unanswered(_) | Self::Refused(_))
    }
}

/// Records of a table.
#[derive(Debug, Clone)]
pub struct Changes<T> {
    /// Keys with what they say now; none for a key that was dropped.
    pub records: Vec<(String, Option<T>)>,
    /// The position from which to go on. Positions only grow, also when the
    /// store comes back from an old copy.
    pub next: u64,
}

/// Why the store gave no records.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The store has dropped the records that were asked for.
    #[snafu(display("step={step} peer={peer}: the store has dropped these records"))]
    Expired {
        /// The call.
        step: &'static str,
        /// The store.
        peer: String,
    },
    /// The store has come back from an old copy: what it took last is gone, and
    /// positions of before lead nowhere.
    #[snafu(display("step={step} peer={peer}: the store came back from an old copy"))]
    Rewound {
        /// The call.
        step: &'static str,
        /// The store.
        peer: String,
    },
    /// The store could not be reached, refused or answered nonsense.
    #[snafu(display("step={step} peer={peer}: {cause}"))]
    Unavailable {
        /// The call.
        step: &'static str,
        /// The store.
        peer: String,
        /// What came instead of an answer.
        cause: String,
    },
}
