//! Whether the incarnation of a backend server that sent an answer is still alive.
//!
//! The end of an answer without a length or chunks is the end of its connection, and the
//! kernel ends the connections of a killed process in the same way. Such an answer counts as
//! whole only if its server states afterwards, on a new connection, that it is the same
//! incarnation. An open port proves nothing: another incarnation may listen there by then. Nor
//! does the ID alone, under which a server may start again: the start has to be the same where
//! it is known.
//! See docs/design/ends-of-answers.md.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use policy::balance::ServerRecord;
use spdlog::info;

use crate::exchange;
use crate::pool::ConnectionPool;
use crate::state::State;

/// Longest wait for the proof. The caller waits for the end of the answer, or for another
/// server to continue it.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that a server is asked. One at its limit of connections resets
/// further ones.
const MAX_ATTEMPTS: usize = 3;

/// Time before a server is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a server answered when it was asked for its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// It is the expected incarnation.
    Same,
    /// It is another incarnation.
    Other,
    /// No process listens at the address.
    Refused,
    /// Its host cannot be reached.
    Unreachable,
    /// The answer does not name an incarnation.
    Unnamed,
    /// There was no answer.
    NoAnswer,
    /// There was no answer in time.
    TimedOut,
    /// The service declares no path for the question.
    NoPath,
}

impl Evidence {
    /// What a connection that could not be made shows.
    fn of_failure(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => Self::Unreachable,
            _ => Self::NoAnswer,
        }
    }

    /// Whether asking again cannot change it.
    fn is_final(self) -> bool {
        !matches!(self, Self::Unnamed | Self::NoAnswer | Self::Unreachable)
    }

    /// A short name for logs and metric labels.
    fn label(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unnamed => "unnamed",
            Self::NoAnswer => "no_answer",
            Self::TimedOut => "timed_out",
            Self::NoPath => "no_path",
        }
    }
}

/// Asks `server` whether it is still the same incarnation. An answer that it has ended
/// before this call was then not cut off by its crash.
pub(crate) async fn is_alive(state: &State, server: &ServerRecord) -> bool {
    let asked = tokio::time::timeout(PROOF_TIMEOUT, ask(state, server)).await;
    let evidence = asked.unwrap_or(Evidence::TimedOut);
    let outcome = evidence.label();
    metrics::counter!("pimentocart_unframed_ends_total", "server" => outcome).increment(1);
    info!("answer without length ended", kv: { server = &*server.id, outcome });
    evidence == Evidence::Same
}

/// Whether the process of `server` has ended or its host cannot be reached. Without either, it
/// may still work on a call whose connection has broken.
pub(crate) async fn has_ended(state: &State, server: &ServerRecord) -> bool {
    let asked = tokio::time::timeout(PROOF_TIMEOUT, ask(state, server)).await;
    let evidence = asked.unwrap_or(Evidence::TimedOut);
    info!("broken call's server asked", kv: {
        server = &*server.id, outcome = evidence.label()
    });
    matches!(
        evidence,
        Evidence::Other | Evidence::Refused | Evidence::Unreachable
    )
}

/// Whether a process accepts connections at the address of `server`.
pub(crate) async fn is_reachable(state: &State, server: &ServerRecord) -> bool {
    let connected = ConnectionPool::connect(state.clock.now(), server.addr).await;
    metrics::counter!("pimentocart_dials_total").increment(1);
    let evidence = connected.as_ref().err().map(Evidence::of_failure);
    !matches!(evidence, Some(Evidence::Refused | Evidence::Unreachable))
}

async fn ask(state: &State, server: &ServerRecord) -> Evidence {
    let catalog = state.catalog.borrow().clone();
    let service = catalog.as_ref().and_then(|c| c.service(&server.service));
    let Some(path) = service.and_then(|s| s.health_path.as_deref()) else {
        return Evidence::NoPath;
    };
    let mut evidence = ask_once(state, server, path).await;
    for _ in 1..MAX_ATTEMPTS {
        if evidence.is_final() {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        evidence = ask_once(state, server, path).await;
    }
    evidence
}

/// Asks once, on a new connection. On one from before the end, an answer could be a late one
/// from before it too.
async fn ask_once(state: &State, server: &ServerRecord, path: &str) -> Evidence {
    let request = Request::get(path)
        .header(header::HOST, server.addr.to_string())
        .body(Full::<Bytes>::default());
    let Ok(request) = request else {
        return Evidence::NoPath;
    };
    let mut conn = match ConnectionPool::connect(state.clock.now(), server.addr).await {
        Ok(conn) => conn,
        Err(e) => return Evidence::of_failure(&e),
    };
    metrics::counter!("pimentocart_dials_total").increment(1);
    let Ok(response) = conn.sender.send_request(request).await else {
        return Evidence::NoAnswer;
    };
    let status = response.status().as_u16();
    let parsed = state.dialect.parse_response(status, response.headers());
    match parsed.server {
        Some(id) if *id == *server.id => {
            let Some(body) = exchange::read_short_body(response).await else {
                return Evidence::NoAnswer;
            };
            if has_restarted(state, server, state.dialect.parse_start(&body)) {
                return Evidence::Other;
            }
            if !parsed.close && !parsed.feedback.leaving {
                let now = state.clock.now();
                state.connection_pool.put(now, &server.id, conn);
            }
            Evidence::Same
        }
        Some(_) => Evidence::Other,
        None if parsed.wrong_server => Evidence::Other,
        None => Evidence::Unnamed,
    }
}

/// Whether another incarnation serves under the ID of `server`, by its own word or by the list.
fn has_restarted(state: &State, server: &ServerRecord, stated: Option<u64>) -> bool {
    let Some(expected) = server.started_ms else {
        return false;
    };
    let listed = state.balancer.borrow().started_ms(&server.id);
    [stated, listed]
        .into_iter()
        .flatten()
        .any(|s| s != expected)
}
