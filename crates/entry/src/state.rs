//! What an entry knows: the bundle in force and the sidecars.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::Incarnation;
use base::stop::StopSignal;
use bundle::Shares;
use claims::Claims;
use policy::Placement;
use policy::lengths::AnswerLengths;
use policy::load::{Load, TokenLatency};
use policy::outlier::{Fault, Success};
use policy::placement::{PlacementOptions, ServerIndex};
use policy::retry::RetryBudget;
use wire::peer::{Error, Timeouts};
use wire::{CallHeader, Peer, Reply};

use crate::bundle_sync::BundleSync;
use crate::counters;
use crate::idempotency::KeyedCalls;
use crate::settings::{Settings, SidecarInfo};

/// Everything that an entry knows.
pub struct State {
    /// What the operators set.
    pub settings: Settings,
    /// Where the time comes from.
    pub clock: Rc<dyn Clock>,
    /// The bundle in force.
    pub bundle_sync: BundleSync,
    /// Claims idempotency keys; none without a log.
    pub claims: Option<Rc<Claims>>,
    /// Calls with a key that further calls may join.
    pub keyed_calls: KeyedCalls,
    /// The known sidecars by their index. An index is not used again, so that
    /// a late answer is never booked to another sidecar.
    servers: RefCell<Vec<Option<Rc<Server>>>>,
    /// Where to ask for a slot.
    pub placement: RefCell<Placement>,
    /// The retries that are left to each class.
    pub retry_budget: RefCell<RetryBudget>,
    /// How long answers are.
    pub answer_lengths: RefCell<AnswerLengths>,
    /// Whether readiness is off: the balancer should send nothing more.
    pub draining: Cell<bool>,
    /// Asked once the sidecars are known from the host list.
    pub list_applied: StopSignal,
    /// Whether new requests are refused.
    pub refusing: Cell<bool>,
    /// Asked when requests in progress must end now, whole or not.
    pub cutoff: StopSignal,
    /// Requests in progress.
    open_requests: Cell<usize>,
}

/// A sidecar and the connection to it.
pub struct Server {
    /// Its place among the known sidecars.
    pub index: ServerIndex,
    /// What is known of it from outside.
    pub info: SidecarInfo,
    /// The connection.
    pub peer: Peer,
    /// When it answered last, and in which life.
    pub last_reply: Cell<Option<(Instant, Incarnation)>>,
}

impl State {
    /// Makes the state of an entry that just started.
    #[must_use]
    pub fn new(settings: Settings, bundle_sync: BundleSync, clock: Rc<dyn Clock>) -> Rc<Self> {
        let options = PlacementOptions {
            mode: settings.routing.mode,
            report_lag: settings.routing.report_lag.0,
            zone: settings.zone.clone(),
            seed: settings.seed.unwrap_or_else(rand::random),
        };
        let state = Rc::new(Self {
            servers: RefCell::default(),
            claims: start_claims(&settings, &clock),
            clock,
            keyed_calls: KeyedCalls::default(),
            bundle_sync,
            placement: RefCell::new(Placement::new(options)),
            retry_budget: RefCell::new(RetryBudget::new(!settings.routing.retry_budget)),
            answer_lengths: RefCell::default(),
            draining: Cell::new(false),
            list_applied: StopSignal::new(),
            refusing: Cell::new(false),
            cutoff: StopSignal::new(),
            open_requests: Cell::new(0),
            settings,
        });
        for known in &state.settings.sidecars {
            state.add_server(known);
        }
        state
    }

    /// What every call tells about this entry.
    pub fn call_header(&self) -> CallHeader {
        CallHeader {
            sequence: self.bundle_sync.held.sequence(),
        }
    }

    /// The shares and limits of the bundle in force.
    pub fn shares(&self) -> Shares {
        self.bundle_sync
            .held
            .bundle()
            .map_or_else(Shares::default, |b| b.shares)
    }

    /// Takes a sidecar as known from now on.
    pub fn add_server(&self, known: &SidecarInfo) {
        let routing = &self.settings.routing;
        let timing = Timeouts {
            margin: routing.reply_margin.0,
            connect: routing.connect_timeout.0,
            idle: routing.idle_limit.0,
        };
        let mut servers = self.servers.borrow_mut();
        let index = servers.len();
        servers.push(Some(Rc::new(Server {
            index,
            info: known.clone(),
            peer: Peer::new(known.addr, timing),
            last_reply: Cell::new(None),
        })));
        let mut placement = self.placement.borrow_mut();
        placement.add_server(index, &known.name, &known.zone, &known.serves);
    }

    /// Sends nothing new to a sidecar from now on. Answers in progress there
    /// go on.
    pub fn remove_server(&self, index: ServerIndex) {
        self.placement.borrow_mut().remove_server(index);
        if let Some(place) = self.servers.borrow_mut().get_mut(index) {
            place.take();
        }
    }

    /// Makes the known sidecars exactly these. Those that stay keep their
    /// index, their connection and what was learned of them.
    pub fn set_servers(&self, known: &[SidecarInfo]) {
        let mut new: HashSet<&SidecarInfo> = known.iter().collect();
        for server in self.servers() {
            if !new.remove(&server.info) {
                self.remove_server(server.index);
            }
        }
        for known in known.iter().filter(|k| new.contains(k)) {
            self.add_server(known);
        }
    }

    /// The sidecars known now.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().iter().flatten().cloned().collect()
    }

    /// The sidecar at an index.
    pub fn server(&self, index: ServerIndex) -> Option<Rc<Server>> {
        self.servers.borrow().get(index)?.clone()
    }

    /// Takes in what a call of a sidecar tells about it, whatever the call
    /// was for: the load on an answer, or the fault when there was none.
    ///
    /// # Errors
    ///
    /// Passes the call's error on.
    pub fn record_reply<T>(
        &self,
        server: &Server,
        answer: Result<Reply<T>, Error>,
    ) -> Result<Reply<T>, Error> {
        let now = self.clock.now();
        let share = self.shares().ejected;
        let mut placement = self.placement.borrow_mut();
        if let Ok(reply) = &answer {
            server.last_reply.set(Some((now, reply.incarnation)));
        }
        let ejected = match &answer {
            Ok(reply) => placement.record_load(now, server.index, policy_load(&reply.load), share),
            Err(_) => placement.record_fault(now, server.index, Fault::Unreachable, share),
        };
        drop(placement);
        if ejected {
            counters::count_ejection(server);
        }
        if let (Ok(reply), Some(server)) = (&answer, self.server(server.index)) {
            self.bundle_sync
                .compare_sequence(now, &server, reply.sequence);
        }
        answer
    }

    /// Notes how a run ended at a sidecar's backend server.
    pub fn record_run(&self, server: &Server, whole: bool) {
        let now = self.clock.now();
        let share = self.shares().ejected;
        let mut placement = self.placement.borrow_mut();
        if whole {
            return placement.record_good(now, server.index, Success::RunCompleted);
        }
        if placement.record_fault(now, server.index, Fault::RunFailed, share) {
            counters::count_ejection(server);
        }
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest {
            state: Rc::clone(self),
        }
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.open_requests.get()
    }
}

/// Starts to claim idempotency keys in the log, if there is one.
fn start_claims(settings: &Settings, clock: &Rc<dyn Clock>) -> Option<Rc<Claims>> {
    let follow = settings.follow.as_ref()?;
    let settings = claims::Settings {
        log: follow.log,
        entry: settings.name.clone(),
        window: settings.keys.window,
        gap: settings.keys.append_interval,
    };
    Some(Claims::start(settings, Rc::clone(clock)))
}

/// Counts one request as in progress for as long as it lives.
pub struct OpenRequest {
    state: Rc<State>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state
            .open_requests
            .set(self.state.open_requests.get() - 1);
    }
}

/// The load as the policy sees it.
fn policy_load(told: &wire::ServerLoad) -> Load {
    let us = |us: u32| Duration::from_micros(u64::from(us));
    Load {
        running: told.running,
        slots: told.slots,
        waiting: told.waiting,
        wait: us(told.wait_us),
        latency: TokenLatency {
            first_token: us(told.ttft_us),
            per_token: us(told.token_us),
        },
        draining: told.draining,
    }
}
