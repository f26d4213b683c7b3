//! Choosing a server for a call and sending it there.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use policy::balance::{By, Listed, Part, Want};
use policy::pools::Work;
use policy::rendezvous;
use policy::waits::{Claim, Verdict};
use rand::RngExt;
use spdlog::{info, warn};

use super::{Begin, Call};
use crate::edge::{self, Order};
use crate::exchange::{self, Answer, Failure};
use crate::relay::millis;

/// A server that sends nothing for so many times the route's target is taken
/// to be dark; other calls find it well again as soon as anything comes.
const SILENCE: u32 = 3;

/// The least of that time: a plain service's slowest answers take as long.
const SILENCE_LEAST: Duration = Duration::from_millis(300);

/// The most of it: an engine with a full queue still sends something.
const SILENCE_MOST: Duration = Duration::from_millis(1200);

/// Part of the route's timeout below which a caller's time shows that it has
/// spent some elsewhere, as those do who were turned away.
const RETURNED: f64 = 0.97;

/// Connections that are tried before a call is given up that could not be
/// sent anywhere: a region that lost some hosts has others.
const DIALS: usize = 4;
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
            let Some(server) = self.choose(now, tried, &unreachable) else {
                break;
            };
            let ahead = self.admit(&server, begin)?;
            let request = self.request(now, &server, begin);
            let id = self.ask.id.as_deref();
            let decided = self.state.clock.now().saturating_duration_since(now);
            metrics::histogram!("pimentocart_decision_seconds").record(decided);
            let sent = exchange::send(&self.state, &server, request, id, self.until).await;
            let sent = sent.map(|answer| Answer {
                sent: now,
                ahead,
                ..answer
            });
            if sent.as_ref().is_err_and(|e| *e == Failure::Late) {
                self.note_late(now, ahead);
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

    /// Notes that another server has the address of `server` by now. The list
    /// shows the old one for seconds, in which every call to it would be
    /// refused; it counts as missing from here on.
    fn gone(&self, now: Instant, server: &Listed) {
        info!("server replaced", kv: {
            id = self.name(), server = &*server.id, addr = server.addr.to_string().as_str()
        });
        self.state.balance.borrow_mut().miss(now, &server.id, now);
    }

    fn choose(&self, now: Instant, tried: &[Rc<str>], out: &[Rc<str>]) -> Option<Listed> {
        let avoid: Vec<Rc<str>> = tried.iter().chain(out).cloned().collect();
        let part = self.part(now);
        let prefix = prefix(&self.ask.parts);
        let want = Want {
            service: &self.service,
            by: match (self.work, part) {
                (None, _) => By::Own,
                // What little these calls share is read faster than a crowded
                // server writes.
                (Some(Work::Writing), _) => By::Open,
                (Some(Work::Reading), _) if prefix.is_none() => By::Open,
                (Some(Work::Reading), _) => By::Prefix,
            },
            prefix,
            tried: &avoid,
            part,
            silence: (self.route.target * SILENCE).clamp(SILENCE_LEAST, SILENCE_MOST),
        };
        self.state.balance.borrow_mut().choose(now, &want)
    }

    /// Whether the caller has spent a part of its time elsewhere before.
    fn returned(&self) -> bool {
        let usual = self.route.timeout.mul_f64(RETURNED);
        self.ask.patience.is_some_and(|p| p < usual)
    }

    /// Whether the call may go to a server, or would come too late there.
    fn admit(&self, server: &Listed, begin: Begin) -> Result<u32, Failure> {
        let ahead = self.state.balance.borrow().waiting(&server.id);
        // A caller that has a part of its stream is not turned away.
        if self.work != Some(Work::Reading) || begin != Begin::Fresh {
            return Ok(ahead);
        }
        let waits = self.state.waits.borrow();
        let target = self.route.target;
        let now = self.state.clock.now();
        let claim = Claim {
            tier: self.route.tier.0,
            rank: self.rank(),
            target,
            left: self.until.saturating_duration_since(now),
            returned: self.returned(),
        };
        match waits.judge(&self.service, claim, ahead, rand::rng().random()) {
            Verdict::Send => Ok(ahead),
            Verdict::Refuse { after, expected } => {
                info!("call refused", kv: {
                    id = self.name(),
                    route = self.route.name.as_str(),
                    server = &*server.id,
                    ahead,
                    expected_ms = millis(expected),
                    target_ms = millis(target),
                    after_ms = millis(after)
                });
                Err(Failure::TooLate(after))
            }
        }
    }

    /// The part of the engines that the call should go to.
    fn part(&self, now: Instant) -> Part {
        let Some(work) = self.work else {
            return Part::All;
        };
        let (engines, slots) = self.state.balance.borrow().size(&self.service);
        let mut pools = self.state.pools.borrow_mut();
        let writers = pools.writers(now, &self.service, engines, slots);
        match (writers, work) {
            (0, _) => Part::All,
            (count, Work::Writing) => Part::First(count),
            (count, Work::Reading) => Part::Rest(count),
        }
    }

    fn request(&self, now: Instant, server: &Listed, begin: Begin) -> Request<Full<Bytes>> {
        let order = Order {
            left: self.until.saturating_duration_since(now),
            server: &server.id,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            rank: Some(self.rank()),
            last_event: match begin {
                Begin::Fresh => None,
                Begin::After(last) => last,
            },
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.state.dialect.outgoing(&self.headers, &order);
        request
    }

    /// Notes what a send tells about the server.
    fn note(&self, server: &Listed, sent: &Result<Answer, Failure>) {
        let now = self.state.clock.now();
        let mut balance = self.state.balance.borrow_mut();
        match sent {
            Ok(answer) if answer.status < 500 => balance.good(&server.id),
            Ok(_) => balance.failed(now, &server.id),
            Err(Failure::Unknown(_)) => balance.failed(now, &server.id),
            Err(_) => {}
        }
    }
}

/// The shared parts of a prompt as one number: all but the last one, which
/// belongs to the call itself.
fn prefix(parts: &[edge::Part]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last().or(parts.last())?;
    Some(rendezvous::weight(last.id, u64::from(last.tokens)))
}
