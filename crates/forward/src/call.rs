//! One call, and getting it to run.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;
use base::reason::Refusal;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use policy::balance::{By, Listed, Part, Want};
use policy::pools::Work;
use policy::rendezvous;
use policy::routes::{Access, Catalog, Kind, Route, Workspace};
use policy::waits::{Claim, Verdict};
use rand::RngExt;
use spdlog::{info, warn};

use crate::edge::{self, Ask, Order};
use crate::exchange::{self, Answer, Body, Failure};
use crate::relay::{Relay, millis};
use crate::reply::{Own, Reply};
use crate::state::{Open, State};

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

/// Ranks of routes within one tier of workspaces: engines know ten ranks,
/// and three tiers of each fit.
const RANKS: u8 = 3;

/// Connections that are tried before a call is given up that could not be
/// sent anywhere: a region that lost some hosts has others.
const DIALS: usize = 4;

/// Largest answer that is held until it is whole. Larger ones of calls that
/// are no streams are a fault of the server: plain services answer with a
/// few kilobytes, and an entry has about a hundred megabytes in all.
const WHOLE_LIMIT: usize = 8 << 20;

/// When to come back if no server takes the call: servers that were replaced
/// are known about so long after.
const AFTER_NO_SERVER: Duration = Duration::from_millis(400);

/// When to come back if the server was full: a slot falls free about that
/// often on a busy server.
const AFTER_FULL: Duration = Duration::from_millis(100);

/// When to come back if the catalog is not known yet.
const AFTER_START: Duration = Duration::from_millis(500);

/// A caller's call.
#[derive(Debug)]
pub struct Call {
    /// What the entry knows.
    pub state: Rc<State>,
    /// Its route.
    pub route: Rc<Route>,
    /// The service that it goes to.
    pub service: Rc<str>,
    /// What its headers say.
    pub ask: Ask,
    /// Its workspace, if callers have keys.
    pub workspace: Option<Rc<Workspace>>,
    /// When it came.
    pub came: Instant,
    /// When the caller or the route gives it up.
    pub until: Instant,
    /// What its time goes into, if an engine serves it.
    work: Option<Work>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.work == Some(Work::Writing) {
            let now = self.state.clock.now();
            self.state.pools.borrow_mut().ended(now, &self.service);
        }
    }
}

/// A call as it came.
#[derive(Debug)]
pub struct Incoming {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When it came.
    pub came: Instant,
}

impl Call {
    /// Reads a call by the catalog in force.
    ///
    /// # Errors
    ///
    /// Returns the answer for a call that is not served.
    pub fn read(state: &Rc<State>, incoming: Incoming) -> Result<Self, Own> {
        let catalog = state.catalog.borrow().clone();
        let Some(catalog) = catalog else {
            return Err(Own::refused(Refusal::NoBundle, AFTER_START));
        };
        let ask = state.dialect.ask(&incoming.headers);
        let route = find(&catalog, &incoming)?;
        let workspace = match catalog.access(&route, ask.key.as_deref()) {
            Access::Open => None,
            Access::Workspace(workspace) => Some(workspace),
            Access::Denied => return Err(Own::denied(401, Refusal::BadToken)),
        };
        let Some(service) = route.service(rand::rng().random()).cloned() else {
            return Err(Own::refused(Refusal::NoServer, AFTER_NO_SERVER));
        };
        let engine = catalog.service(&service).and_then(|s| s.engine);
        let work = engine.map(|_| {
            let mut pools = state.pools.borrow_mut();
            pools.came(
                incoming.came,
                &service,
                &route.name,
                fresh(&ask),
                ask.output,
            )
        });
        let patience = ask.patience.unwrap_or(route.timeout);
        Ok(Self {
            state: Rc::clone(state),
            until: incoming.came + route.timeout.min(patience),
            work,
            route,
            service,
            ask,
            workspace,
            came: incoming.came,
            method: incoming.method,
            uri: incoming.uri,
            headers: incoming.headers,
            body: incoming.body,
        })
    }

    /// The caller's identity of the call, for logs.
    #[must_use]
    pub fn name(&self) -> &str {
        self.ask.id.as_deref().unwrap_or("-")
    }

    /// Milliseconds since it came.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let age = self.state.clock.now().saturating_duration_since(self.came);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// The call's tier: the workspace's, or else the route's.
    #[must_use]
    pub fn tier(&self) -> Tier {
        let own = self.workspace.as_ref().and_then(|w| w.tier);
        own.unwrap_or(self.route.tier)
    }

    /// The call's rank for engines. The workspace's tier goes first; within
    /// it the route's decides, or an engine that runs out of memory could
    /// preempt a live stream for the bulk work of an equal workspace.
    fn rank(&self) -> u8 {
        let route = self.route.tier.0.min(RANKS - 1);
        match self.workspace.as_ref().and_then(|w| w.tier) {
            Some(tier) => tier.0.saturating_mul(RANKS).saturating_add(route),
            None => route,
        }
    }

    /// Gets the call to run and says what to answer.
    pub async fn run(self: Rc<Self>) -> Reply {
        let _open = Open::new(&self.state);
        let mut tried = Vec::new();
        self.state
            .budget
            .borrow_mut()
            .sent(self.came, &self.service);
        let mut last = None;
        // A failure that a server vouches for, for the case that no other
        // server does better.
        let mut answered = None;
        for attempt in 1..=self.route.attempts.max(1) {
            if attempt > 1 && !self.repeat() {
                break;
            }
            let answer = self.send(&mut tried, None).await;
            let failure = match answer {
                Ok(answer) => match self.accept(answer).await {
                    Ok(reply) if self.better(&reply, &tried) => {
                        answered = Some(reply);
                        continue;
                    }
                    Ok(reply) => return reply,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            metrics::counter!("pimentocart_sends_failed_total", "cause" => failure.word())
                .increment(1);
            info!("send failed", kv: {
                id = self.name(),
                route = self.route.name.as_str(),
                attempt,
                server = tried.last().map_or("-", |s| &**s),
                cause = failure.word(),
                detail = format!("{failure:?}").as_str(),
                ms = self.age_ms()
            });
            let again = failure.not_run() || self.route.kind.repeatable();
            // Where it could not be sent at all, other servers were tried.
            let over = !matches!(failure, Failure::NotRun(_) | Failure::Unknown(_));
            last = Some(failure);
            if !again || over {
                break;
            }
        }
        answered.unwrap_or_else(|| Reply::Own(self.given_up(last.as_ref())))
    }

    /// Whether another server may well serve what this one failed.
    fn better(&self, reply: &Reply, tried: &[Rc<str>]) -> bool {
        let failed = matches!(reply, Reply::Whole { status, .. } if *status >= 500);
        let spare = tried.len() < self.route.attempts as usize;
        failed && spare && self.route.kind == Kind::Idempotent
    }

    /// Goes on with a stream after event `last` at another server.
    pub async fn resume(
        self: Rc<Self>,
        last: Option<u64>,
        tried: &mut Vec<Rc<str>>,
    ) -> Option<Body> {
        while tried.len() < self.route.attempts as usize {
            if !self.repeat() {
                return None;
            }
            match self.send(tried, last).await {
                Ok(answer) if good(&answer) => return Some(answer.body),
                Ok(_) => {}
                Err(Failure::Late) => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Takes one repeat from the budget.
    fn repeat(&self) -> bool {
        let now = self.state.clock.now();
        let left = self.state.budget.borrow_mut().repeat(now, &self.service);
        let outcome = if left { "taken" } else { "none_left" };
        metrics::counter!("pimentocart_repeats_total", "outcome" => outcome).increment(1);
        if !left {
            info!("no repeat left", kv: { id = self.name(), service = &*self.service });
        }
        left
    }

    /// Sends the call to one server. Servers that cannot be reached count as
    /// no send.
    async fn send(&self, tried: &mut Vec<Rc<str>>, last: Option<u64>) -> Result<Answer, Failure> {
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
            let ahead = self.admit(&server)?;
            let request = self.request(now, &server, last);
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
    fn admit(&self, server: &Listed) -> Result<u32, Failure> {
        let ahead = self.state.balance.borrow().waiting(&server.id);
        if self.work != Some(Work::Reading) {
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

    fn request(&self, now: Instant, server: &Listed, last: Option<u64>) -> Request<Full<Bytes>> {
        let order = Order {
            left: self.until.saturating_duration_since(now),
            server: &server.id,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            rank: Some(self.rank()),
            last_event: last,
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

    /// Takes an answer whose head has come.
    async fn accept(self: &Rc<Self>, mut answer: Answer) -> Result<Reply, Failure> {
        let success = (200..300).contains(&answer.status);
        if success && !good(&answer) {
            return Err(Failure::Unknown(
                "an answer that nobody vouches for".to_owned(),
            ));
        }
        if success && self.route.kind.streams() {
            let first = self.within(answer.body.next()).await;
            let first = first.inspect_err(|_| self.note_late(answer.sent, answer.ahead))?;
            let first = first.map_err(Failure::Unknown)?.unwrap_or_default();
            self.note_first(&answer);
            let relay = Relay::new(Rc::clone(self), answer.body, first, Open::new(&self.state));
            return Ok(Reply::Stream {
                headers: answer.headers,
                relay: Box::new(relay),
            });
        }
        let body = self.whole(&mut answer.body).await?;
        Ok(Reply::Whole {
            status: answer.status,
            headers: answer.headers,
            body,
        })
    }

    /// Notes how long the first event took.
    fn note_first(&self, answer: &Answer) {
        if self.work == Some(Work::Reading) {
            let now = self.state.clock.now();
            let took = now.saturating_duration_since(answer.sent);
            let mut pools = self.state.pools.borrow_mut();
            pools.first(now, &self.service, fresh(&self.ask), took);
            let mut waits = self.state.waits.borrow_mut();
            waits.saw(&self.service, self.rank(), answer.ahead, took);
        }
    }

    /// Notes that no first event came in all the time that the call had. Left
    /// out, only those that were served would say how long calls wait.
    fn note_late(&self, sent: Instant, ahead: u32) {
        if self.work == Some(Work::Reading) {
            let took = self.state.clock.now().saturating_duration_since(sent);
            let mut waits = self.state.waits.borrow_mut();
            waits.saw(&self.service, self.rank(), ahead, took);
        }
    }

    /// Reads an answer to its end, so that a broken one can be told from a
    /// whole one before the caller sees anything of it.
    async fn whole(&self, body: &mut Body) -> Result<Bytes, Failure> {
        let mut all = Vec::new();
        while let Some(bytes) = self.within(body.next()).await?.map_err(Failure::Unknown)? {
            if all.len() + bytes.len() > WHOLE_LIMIT {
                return Err(Failure::Unknown("an answer beyond all bounds".to_owned()));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.into())
    }

    async fn within<T>(&self, step: impl Future<Output = T>) -> Result<T, Failure> {
        let done = tokio::time::timeout_at(self.until.into(), step).await;
        done.map_err(|_| Failure::Late)
    }

    /// The answer when no server has served the call.
    fn given_up(&self, last: Option<&Failure>) -> Own {
        match last {
            Some(Failure::Late) => Own::failed(504, Refusal::Expired),
            Some(Failure::Unknown(_)) => Own::failed(502, Refusal::OutcomeUnknown),
            Some(Failure::TooLate(after)) => Own::refused(Refusal::TargetUnreachable, *after),
            Some(Failure::NotRun(_)) => Own::refused(Refusal::Shed, AFTER_FULL),
            Some(Failure::NeverSent(_) | Failure::Elsewhere) | None => {
                Own::refused(Refusal::NoServer, AFTER_NO_SERVER)
            }
        }
    }
}

/// Whether a success may be passed on.
fn good(answer: &Answer) -> bool {
    let signs = &answer.signs;
    (200..300).contains(&answer.status) && signs.sealed && signs.id.is_some() && !signs.encoded
}

fn find(catalog: &Catalog, incoming: &Incoming) -> Result<Rc<Route>, Own> {
    let host = incoming.headers.get(http::header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
    let route = catalog.route(host, incoming.uri.path()).cloned();
    route.ok_or(Own::denied(404, Refusal::UnknownTarget))
}

/// Tokens of a prompt that no earlier call can have left in a cache.
fn fresh(ask: &Ask) -> u32 {
    ask.parts.last().map_or(ask.prompt, |own| own.tokens)
}

/// The shared parts of a prompt as one number: all but the last one, which
/// belongs to the call itself.
fn prefix(parts: &[edge::Part]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last().or(parts.last())?;
    Some(rendezvous::weight(last.id, u64::from(last.tokens)))
}
