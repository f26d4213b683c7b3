//! Choosing a server for a call and sending it there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use policy::balance::{ServerFeedback, ServerRecord};
use spdlog::{info, warn};

use super::place::Placement;
use super::{Call, StartPoint};
use crate::exchange::{self, SendError, ServerResponse};
use crate::platform::AddedHeaders;

/// Connections that are tried before a call is given up that could not be
/// sent anywhere: a region that lost some hosts has others.
const MAX_CONNECTS: usize = 4;

/// The part of its target that a call may wait for servers that have asked for
/// fewer calls.
const TURN_SHARE: f64 = 0.5;

impl Call {
    /// Sends the call to one server. Servers that cannot be reached count as
    /// no send.
    pub(super) async fn send(
        &self,
        tried: &mut Vec<Rc<str>>,
        begin: StartPoint,
    ) -> Result<ServerResponse, SendError> {
        let mut failure = SendError::NeverSent("no server".to_owned());
        let mut unreachable = Vec::new();
        for _ in 0..MAX_CONNECTS {
            let now = self.state.clock.now();
            if now >= self.deadline {
                return Err(SendError::TimedOut);
            }
            self.check_crashes()?;
            let avoid: Vec<Rc<str>> = tried.iter().chain(&unreachable).cloned().collect();
            // A call that waits for its turn past its time was never sent.
            let place = self.place(now, &avoid, begin);
            let place = tokio::time::timeout_at(self.deadline.into(), place).await;
            metrics::histogram!("pimentocart_place_seconds")
                .record(self.state.clock.now().saturating_duration_since(now));
            let Some(place) = place.unwrap_or(Err(SendError::TimedOutUnsent))? else {
                let Some(wait) = self.next_turn(now) else {
                    break;
                };
                failure = SendError::ServersBusy(wait);
                if !self.may_wait(now, wait) {
                    break;
                }
                tokio::time::sleep(wait).await;
                continue;
            };
            // Servers may have crashed under another try while this one waited.
            self.check_crashes()?;
            let Placement {
                server,
                waiting_calls,
                grant,
                fetch_from,
            } = place;
            let now = self.state.clock.now();
            if !self.state.balancer.borrow_mut().take_turn(now, &server.id) {
                // Another call took the turn while this one was placed, or the
                // server has asked for rest or begun to leave.
                failure = self.next_turn(now).map_or(failure, SendError::ServersBusy);
                continue;
            }
            let request = self.build_request(now, &server, begin, fetch_from);
            let id = self.parsed_headers.request_id.as_deref();
            self.record_sent();
            let sent =
                exchange::send(&self.state, &server, request, id, self.deadline, grant).await;
            let sent = sent.map(|answer| ServerResponse {
                sent_at: now,
                waiting_calls,
                ..answer
            });
            if sent.as_ref().is_err_and(|e| *e == SendError::TimedOut) {
                self.record_timeout(now, waiting_calls);
            }
            if let Err(failure) = &sent {
                self.record_failed(failure);
            }
            match sent {
                Err(SendError::NeverSent(e)) => {
                    warn!("server unreachable", kv: {
                        id = self.request_id(), server = &*server.id, cause = e.as_str()
                    });
                    unreachable.push(Rc::clone(&server.id));
                    failure = SendError::NeverSent(e);
                }
                Err(SendError::WrongServer) => {
                    self.mark_replaced(now, &server);
                    unreachable.push(Rc::clone(&server.id));
                    failure = SendError::WrongServer;
                    // It reached a server all the same. When many servers are
                    // replaced at once, calls that go from one to the next
                    // would double the load of those that are left.
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
        Err(failure)
    }

    /// Fails if servers crash under the call.
    fn check_crashes(&self) -> Result<(), SendError> {
        self.blocked_for()
            .map_or(Ok(()), |left| Err(SendError::CrashesServers(left)))
    }

    /// How long it is until a server takes a call, if all that are there have
    /// asked for fewer.
    fn next_turn(&self, now: Instant) -> Option<Duration> {
        self.state.balancer.borrow().next_turn(now, &self.service)
    }

    /// Whether the call may wait that long for a turn. Callers come back once or
    /// twice, so a short wait serves more of them than a refusal.
    fn may_wait(&self, now: Instant, wait: Duration) -> bool {
        let age = now.saturating_duration_since(self.received_at);
        age + wait <= self.route.latency_target.mul_f64(TURN_SHARE)
    }

    /// Notes that another server has the address of `server` by now. The list
    /// shows the old one for seconds, in which every call to it would be
    /// refused; it counts as missing from here on.
    pub(super) fn mark_replaced(&self, now: Instant, server: &ServerRecord) {
        info!("server replaced", kv: {
            id = self.request_id(), server = &*server.id, addr = server.addr.to_string().as_str()
        });
        self.state
            .balancer
            .borrow_mut()
            .mark_missing(now, &server.id, now);
    }

    /// Notes that the sidecar beside `server` says that it leaves.
    pub(super) fn mark_leaving(&self, server: &ServerRecord) {
        let word = ServerFeedback {
            leaving: true,
            ..ServerFeedback::default()
        };
        exchange::apply_feedback(&self.state, server, self.state.clock.now(), &word);
    }

    fn build_request(
        &self,
        now: Instant,
        server: &ServerRecord,
        begin: StartPoint,
        fetch_from: Option<SocketAddr>,
    ) -> Request<Full<Bytes>> {
        let order = AddedHeaders {
            time_left: self.deadline.saturating_duration_since(now),
            server: &server.id,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            priority: Some(self.rank()),
            last_event: match begin {
                StartPoint::Beginning => None,
                StartPoint::After(last) => last,
            },
            fetch_from,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.state.dialect.forwarded_headers(&self.headers, &order);
        request
    }

    /// Notes what a send tells about the server.
    fn record_outcome(&self, server: &ServerRecord, sent: &Result<ServerResponse, SendError>) {
        let now = self.state.clock.now();
        let mut balance = self.state.balancer.borrow_mut();
        match sent {
            Ok(answer) if answer.status < 500 => balance.call_succeeded(&server.id),
            Ok(_) => balance.call_failed(now, &server.id),
            Err(SendError::Unknown(_)) => balance.call_failed(now, &server.id),
            Err(SendError::NotRun(_)) => balance.call_rejected(now, &server.id),
            Err(_) => {}
        }
        drop(balance);
        if matches!(sent, Err(SendError::Unknown(_))) {
            self.record_broken(server);
        }
    }
}
