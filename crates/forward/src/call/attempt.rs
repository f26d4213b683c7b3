//! Choosing a server for a call and sending it there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use policy::balance::{ServerFeedback, ServerRecord};
use spdlog::{info, warn};

use super::place::Place;
use super::{Begin, Call};
use crate::edge::Order;
use crate::exchange::{self, Answer, Failure};

/// Connections that are tried before a call is given up that could not be
/// sent anywhere: a region that lost some hosts has others.
const DIALS: usize = 4;

/// The part of its target that a call may wait for servers that have asked for
/// fewer calls.
const TURN_SHARE: f64 = 0.5;

impl Call {
    /// Sends the call to one server. Servers that cannot be reached count as
    /// no send.
    pub(super) async fn send(
        &self,
        tried: &mut Vec<Rc<str>>,
        begin: Begin,
    ) -> Result<Answer, Failure> {
        let mut failure = Failure::NeverSent("no server".to_owned());
        let mut unreachable = Vec::new();
        for _ in 0..DIALS {
            let now = self.state.clock.now();
            if now >= self.until {
                return Err(Failure::Late);
            }
            self.check_crashes()?;
            let avoid: Vec<Rc<str>> = tried.iter().chain(&unreachable).cloned().collect();
            // A call that waits for its turn past its time was never sent.
            let place = self.place(now, &avoid, begin);
            let place = tokio::time::timeout_at(self.until.into(), place).await;
            metrics::histogram!("pimentocart_place_seconds")
                .record(self.state.clock.now().saturating_duration_since(now));
            let Some(place) = place.unwrap_or(Err(Failure::Waited))? else {
                let Some(wait) = self.next_turn(now) else {
                    break;
                };
                failure = Failure::Busy(wait);
                if !self.waits(now, wait) {
                    break;
                }
                tokio::time::sleep(wait).await;
                continue;
            };
            // Servers may have crashed under another try while this one waited.
            self.check_crashes()?;
            let Place {
                server,
                ahead,
                grant,
                fetch,
            } = place;
            let now = self.state.clock.now();
            if !self.state.balancer.borrow_mut().take_turn(now, &server.id) {
                // Another call took the turn while this one was placed, or the
                // server has asked for rest or begun to leave.
                failure = self.next_turn(now).map_or(failure, Failure::Busy);
                continue;
            }
            let request = self.request(now, &server, begin, fetch);
            let id = self.ask.id.as_deref();
            self.note_sent();
            let sent = exchange::send(&self.state, &server, request, id, self.until, grant).await;
            let sent = sent.map(|answer| Answer {
                sent: now,
                ahead,
                ..answer
            });
            if sent.as_ref().is_err_and(|e| *e == Failure::Late) {
                self.note_late(now, ahead);
            }
            if let Err(failure) = &sent {
                self.note_failed(failure);
            }
            match sent {
                Err(Failure::NeverSent(e)) => {
                    warn!("server unreachable", kv: {
                        id = self.name(), server = &*server.id, cause = e.as_str()
                    });
                    unreachable.push(Rc::clone(&server.id));
                    failure = Failure::NeverSent(e);
                }
                Err(Failure::Elsewhere) => {
                    self.gone(now, &server);
                    unreachable.push(Rc::clone(&server.id));
                    failure = Failure::Elsewhere;
                    // It reached a server all the same. When many servers are
                    // replaced at once, calls that go from one to the next
                    // would double the load of those that are left.
                    if !self.repeat() {
                        break;
                    }
                }
                sent => {
                    self.note(&server, &sent);
                    tried.push(Rc::clone(&server.id));
                    return sent;
                }
            }
        }
        Err(failure)
    }

    /// Fails if servers crash under the call.
    fn check_crashes(&self) -> Result<(), Failure> {
        self.crashes_servers()
            .map_or(Ok(()), |left| Err(Failure::CrashesServers(left)))
    }

    /// How long it is until a server takes a call, if all that are there have
    /// asked for fewer.
    fn next_turn(&self, now: Instant) -> Option<Duration> {
        self.state.balancer.borrow().next_turn(now, &self.service)
    }

    /// Whether the call may wait that long for a turn. Callers come back once or
    /// twice, so a short wait serves more of them than a refusal.
    fn waits(&self, now: Instant, wait: Duration) -> bool {
        let age = now.saturating_duration_since(self.came);
        age + wait <= self.route.latency_target.mul_f64(TURN_SHARE)
    }

    /// Notes that another server has the address of `server` by now. The list
    /// shows the old one for seconds, in which every call to it would be
    /// refused; it counts as missing from here on.
    pub(super) fn gone(&self, now: Instant, server: &ServerRecord) {
        info!("server replaced", kv: {
            id = self.name(), server = &*server.id, addr = server.addr.to_string().as_str()
        });
        self.state
            .balancer
            .borrow_mut()
            .mark_missing(now, &server.id, now);
    }

    /// Notes that the sidecar beside `server` says that it leaves.
    pub(super) fn leaves(&self, server: &ServerRecord) {
        let word = ServerFeedback {
            leaving: true,
            ..ServerFeedback::default()
        };
        exchange::note_word(&self.state, server, self.state.clock.now(), &word);
    }

    fn request(
        &self,
        now: Instant,
        server: &ServerRecord,
        begin: Begin,
        fetch: Option<SocketAddr>,
    ) -> Request<Full<Bytes>> {
        let order = Order {
            left: self.until.saturating_duration_since(now),
            server: &server.id,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            rank: Some(self.rank()),
            last_event: match begin {
                Begin::Fresh => None,
                Begin::After(last) => last,
            },
            fetch,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.state.dialect.outgoing(&self.headers, &order);
        request
    }

    /// Notes what a send tells about the server.
    fn note(&self, server: &ServerRecord, sent: &Result<Answer, Failure>) {
        let now = self.state.clock.now();
        let mut balance = self.state.balancer.borrow_mut();
        match sent {
            Ok(answer) if answer.status < 500 => balance.call_succeeded(&server.id),
            Ok(_) => balance.call_failed(now, &server.id),
            Err(Failure::Unknown(_)) => balance.call_failed(now, &server.id),
            Err(Failure::NotRun(_)) => balance.call_rejected(now, &server.id),
            Err(_) => {}
        }
        drop(balance);
        if matches!(sent, Err(Failure::Unknown(_))) {
            self.broke(server);
        }
    }
}
