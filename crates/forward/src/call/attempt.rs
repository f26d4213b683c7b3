//! One attempt to send a call: choosing a server and sending it there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use policy::balance::{ServerFeedback, ServerRecord};
use spdlog::{info, warn};

use super::placement::Placement;
use super::{Call, StartPoint};
use crate::crashes;
use crate::exchange::{self, SendError, ServerResponse};
use crate::platform::{AddedHeaders, KvCopy};

/// Servers to which a connection is tried before an unsent call fails. After
/// the loss of some hosts a region still has others.
const MAX_CONNECTS: usize = 4;

/// Other engines that have, or get, parts of the call's KV cache.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CacheSources<'a> {
    /// An engine that has parts of the prompt cached.
    pub(super) fetch_from: Option<SocketAddr>,
    /// The engine to which the KV cache is copied as it grows.
    pub(super) backup: Option<SocketAddr>,
    /// The copy of the run's KV cache from which it continues.
    pub(super) kv_copy: Option<KvCopy<'a>>,
}

/// Interval at which a stopping entry checks whether a waiting call may still be sent.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Call {
    /// Sends the call to one server. A server that cannot be reached is skipped
    /// and does not count as an attempt.
    pub(super) async fn send(
        &self,
        tried: &mut Vec<Rc<str>>,
        start: StartPoint,
    ) -> Result<ServerResponse, SendError> {
        let mut error = SendError::NeverSent("no server".to_owned());
        let mut unreachable = Vec::new();
        for _ in 0..MAX_CONNECTS {
            let now = self.state.clock.now();
            if now >= self.deadline {
                return Err(SendError::TimedOut);
            }
            self.check_crashes()?;
            let excluded: Vec<Rc<str>> = tried.iter().chain(&unreachable).cloned().collect();
            // A call whose deadline passes during placement was never sent.
            let place = self.place(now, &excluded, start);
            let place = tokio::time::timeout_at(self.deadline.into(), place);
            // A call that waits when the entry is told to stop may wait for too long.
            let place = tokio::select! {
                biased;
                () = self.too_late_to_begin() => return Err(SendError::Draining),
                place = place => place,
            };
            metrics::histogram!("pimentocart_place_seconds")
                .record(self.state.clock.now().saturating_duration_since(now));
            let Some(place) = place.unwrap_or(Err(SendError::TimedOutUnsent))? else {
                let Some(wait) = self.next_turn(now) else {
                    break;
                };
                error = SendError::ServersBusy(wait);
                if !self.may_wait(now, wait) {
                    break;
                }
                tokio::time::sleep(wait).await;
                continue;
            };
            if !self.state.may_begin(&self.route, self.deadline) {
                return Err(SendError::Draining);
            }
            // Servers may have crashed under another attempt of this call, or under
            // calls like it, while this one waited.
            self.admit_despite_crashes()?;
            let Placement {
                server,
                waiting_calls,
                grant,
                fetch_from,
            } = place;
            let now = self.state.clock.now();
            if !self.take_turn(now, &server) {
                // Another call took the turn during placement, or the server
                // has asked for backoff, is leaving or was removed from the list.
                error = self.next_turn(now).map_or(error, SendError::ServersBusy);
                continue;
            }
            self.reserve_backup(&server);
            let sources = CacheSources {
                fetch_from,
                backup: self.backup_server().map(|s| s.addr),
                kv_copy: None,
            };
            let request = self.build_request(now, &server, start, sources);
            let id = self.parsed_headers.request_id.as_deref();
            self.record_sent();
            self.begin_attempt(now);
            let sent =
                exchange::send(&self.state, &server, request, id, self.deadline, grant).await;
            let sent = sent.map(|response| ServerResponse {
                sent_at: now,
                waiting_calls,
                ..response
            });
            if sent.as_ref().is_err_and(|e| *e == SendError::TimedOut) {
                self.record_timeout(now, waiting_calls);
            }
            match &sent {
                Ok(_) => self.record_answer_began(),
                Err(error) => self.record_failed(error),
            }
            match sent {
                Err(SendError::NeverSent(e)) => {
                    warn!("server unreachable", kv: {
                        id = self.request_id(), server = &*server.id, cause = e.as_str()
                    });
                    unreachable.push(Rc::clone(&server.id));
                    error = SendError::NeverSent(e);
                }
                Err(SendError::WrongServer) => {
                    self.mark_replaced(now, &server);
                    unreachable.push(Rc::clone(&server.id));
                    error = SendError::WrongServer;
                    // The call did reach a server, so it counts as a retry.
                    // When many servers are replaced at once, calls that move
                    // from one to the next would double the load on those that
                    // are left.
                    if !self.take_retry() {
                        break;
                    }
                }
                sent => {
                    self.record_outcome(&server, &sent);
                    tried.push(Rc::clone(&server.id));
                    return sent;
                }
            }
        }
        Err(error)
    }

    /// Takes the entry's turn at a server, right before the call is sent there; returns
    /// whether it may be sent. The server may have left since it was chosen.
    pub(super) fn take_turn(&self, now: Instant, server: &ServerRecord) -> bool {
        let mut balancer = self.state.balancer.borrow_mut();
        let version = self.version.get().map(|v| &**v);
        balancer.may_send(now, &server.id, version) && balancer.take_turn(now, &server.id)
    }

    /// Waits until the entry stops and may not be able to pass on the call's answer any more.
    async fn too_late_to_begin(&self) {
        self.state.stopping.wait().await;
        while self.state.may_begin(&self.route, self.deadline) {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Fails if servers crash while they run the call, unless it may be a trial.
    fn check_crashes(&self) -> Result<(), SendError> {
        match self.blocked_for() {
            Some(left) if !self.may_be_trial() => Err(SendError::CrashesServers(left)),
            _ => Ok(()),
        }
    }

    /// Like [`check_crashes`](Self::check_crashes), right before the call is sent: takes
    /// the trial.
    fn admit_despite_crashes(&self) -> Result<(), SendError> {
        match self.blocked_for() {
            Some(left) if !self.take_trial() => Err(SendError::CrashesServers(left)),
            _ => Ok(()),
        }
    }

    /// The time until a server accepts a call, if all known servers have asked
    /// for a lower rate.
    fn next_turn(&self, now: Instant) -> Option<Duration> {
        self.state.balancer.borrow().next_turn(now, &self.service)
    }

    /// Whether the call may wait this long for its turn. Callers retry only
    /// once or twice, so a short wait serves more of them than a refusal.
    fn may_wait(&self, now: Instant, wait: Duration) -> bool {
        let age = now.saturating_duration_since(self.received_at);
        let patience = self.time_to_first_event(self.received_at);
        let timing = self.call_timing(StartPoint::Beginning);
        age + wait <= timing.turn_limit(patience)
    }

    /// Marks `server` as missing because another server has its address now.
    /// The server list shows the old one for some seconds, during which every
    /// call to it would be refused.
    pub(super) fn mark_replaced(&self, now: Instant, server: &ServerRecord) {
        info!("server replaced", kv: {
            id = self.request_id(), server = &*server.id, addr = server.addr.to_string().as_str()
        });
        self.state
            .balancer
            .borrow_mut()
            .mark_missing(now, &server.id, now);
        crashes::server_gone(&self.state, &server.id);
    }

    /// Marks `server` as leaving, as its sidecar has reported.
    pub(super) fn mark_leaving(&self, server: &ServerRecord) {
        let feedback = ServerFeedback {
            leaving: true,
            ..ServerFeedback::default()
        };
        exchange::apply_feedback(&self.state, server, self.state.clock.now(), &feedback);
    }

    pub(super) fn build_request(
        &self,
        now: Instant,
        server: &ServerRecord,
        start: StartPoint,
        sources: CacheSources<'_>,
    ) -> Request<Full<Bytes>> {
        let added = AddedHeaders {
            time_left: self.deadline.saturating_duration_since(now),
            server: &server.id,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            priority: Some(self.rank()),
            last_event: match start {
                StartPoint::Beginning => None,
                StartPoint::After(last) => last,
            },
            fetch_from: sources.fetch_from,
            backup: sources.backup,
            kv_copy: sources.kv_copy,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.state.dialect.forwarded_headers(&self.headers, &added);
        request
    }

    /// Records in the balancer how the attempt ended.
    pub(super) fn record_outcome(
        &self,
        server: &ServerRecord,
        sent: &Result<ServerResponse, SendError>,
    ) {
        let now = self.state.clock.now();
        let mut balance = self.state.balancer.borrow_mut();
        match sent {
            Ok(response) if response.status < 500 => balance.call_succeeded(&server.id),
            Ok(_) => balance.call_failed(now, &server.id),
            Err(SendError::Unknown(_)) => balance.call_failed(now, &server.id),
            Err(SendError::NotRun(_)) => balance.call_rejected(now, &server.id),
            Err(_) => {}
        }
        drop(balance);
        if matches!(sent, Err(SendError::NotRun(_))) {
            self.record_rejection(now);
        }
        if matches!(sent, Err(SendError::Unknown(_))) {
            self.record_broken(server);
        }
    }
}
