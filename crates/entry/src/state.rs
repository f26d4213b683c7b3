//! State of an entry: the bundle in force, the known sidecars and the requests
//! in progress.

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

/// The shared state of an entry.
pub struct State {
    /// The settings of the entry.
    pub settings: Settings,
    /// The time source.
    pub clock: Rc<dyn Clock>,
    /// The bundle in force and its exchange with the sidecars.
    pub bundle_sync: BundleSync,
    /// Claims idempotency keys; `None` without a log.
    pub claims: Option<Rc<Claims>>,
    /// Calls with an idempotency key that later calls may join.
    pub keyed_calls: KeyedCalls,
    /// The known sidecars by index. An index is never reused, so that a late
    /// reply is not attributed to another sidecar.
    servers: RefCell<Vec<Option<Rc<Server>>>>,
    /// Chooses the sidecars at which to reserve a slot.
    pub placement: RefCell<Placement>,
    /// The retry budget of each class.
    pub retry_budget: RefCell<RetryBudget>,
    /// Statistics on the answer length of each class.
    pub answer_lengths: RefCell<AnswerLengths>,
    /// Whether the entry drains and reports itself as not ready.
    pub draining: Cell<bool>,
    /// Triggered once the sidecars are known from the host list.
    pub list_applied: StopSignal,
    /// Whether new requests are refused.
    pub refusing: Cell<bool>,
    /// Triggered when requests still in progress must be aborted.
    pub cutoff: StopSignal,
    /// Number of requests in progress.
    open_requests: Cell<usize>,
}

/// A sidecar and the connection to it.
pub struct Server {
    /// Index among the known sidecars.
    pub index: ServerIndex,
    /// Its name, address, zone and target, from the settings or the host list.
    pub info: SidecarInfo,
    /// The connection to the sidecar.
    pub peer: Peer,
    /// Time of its last reply, and the incarnation that sent it.
    pub last_reply: Cell<Option<(Instant, Incarnation)>>,
}

impl State {
    /// Creates the state of an entry that just started.
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
        for info in &state.settings.sidecars {
            state.add_server(info);
        }
        state
    }

    /// The header that this entry sends with every call.
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

    /// Adds a sidecar.
    pub fn add_server(&self, info: &SidecarInfo) {
        let routing = &self.settings.routing;
        let timeouts = Timeouts {
            margin: routing.reply_margin.0,
            connect: routing.connect_timeout.0,
            idle: routing.idle_limit.0,
        };
        let mut servers = self.servers.borrow_mut();
        let index = servers.len();
        servers.push(Some(Rc::new(Server {
            index,
            info: info.clone(),
            peer: Peer::new(info.addr, timeouts),
            last_reply: Cell::new(None),
        })));
        let mut placement = self.placement.borrow_mut();
        placement.add_server(index, &info.name, &info.zone, &info.serves);
    }

    /// Removes a sidecar. It gets no new requests; answers in progress there
    /// continue.
    pub fn remove_server(&self, index: ServerIndex) {
        self.placement.borrow_mut().remove_server(index);
        if let Some(slot) = self.servers.borrow_mut().get_mut(index) {
            slot.take();
        }
    }

    /// Replaces the set of known sidecars. Those in both sets keep their index,
    /// connection and statistics.
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

    /// The known sidecars.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().iter().flatten().cloned().collect()
    }

    /// The sidecar at an index.
    pub fn server(&self, index: ServerIndex) -> Option<Rc<Server>> {
        self.servers.borrow().get(index)?.clone()
    }

    /// Records the result of any call to a sidecar: the load report in a reply,
    /// or a fault if the call failed.
    ///
    /// # Errors
    ///
    /// Returns the error of the call unchanged.
    pub fn record_result<T>(
        &self,
        server: &Server,
        result: Result<Reply<T>, Error>,
    ) -> Result<Reply<T>, Error> {
        let now = self.clock.now();
        let share = self.shares().max_ejected;
        let mut placement = self.placement.borrow_mut();
        if let Ok(reply) = &result {
            server.last_reply.set(Some((now, reply.incarnation)));
        }
        let ejected = match &result {
            Ok(reply) => placement.record_load(now, server.index, policy_load(&reply.load), share),
            Err(_) => placement.record_fault(now, server.index, Fault::Unreachable, share),
        };
        drop(placement);
        if ejected {
            counters::count_ejection(server);
        }
        if let (Ok(reply), Some(server)) = (&result, self.server(server.index)) {
            self.bundle_sync
                .compare_sequence(now, &server, reply.sequence);
        }
        result
    }

    /// Records whether a run at a sidecar's backend server completed.
    pub fn record_run(&self, server: &Server, completed: bool) {
        let now = self.clock.now();
        let share = self.shares().max_ejected;
        let mut placement = self.placement.borrow_mut();
        if completed {
            return placement.record_good(now, server.index, Success::RunCompleted);
        }
        if placement.record_fault(now, server.index, Fault::RunFailed, share) {
            counters::count_ejection(server);
        }
    }

    /// Registers a request as in progress until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest {
            state: Rc::clone(self),
        }
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.open_requests.get()
    }
}

/// Starts claiming idempotency keys in the log, if there is one.
fn start_claims(settings: &Settings, clock: &Rc<dyn Clock>) -> Option<Rc<Claims>> {
    let follow = settings.follow.as_ref()?;
    let settings = claims::Settings {
        log: follow.log,
        entry_name: settings.name.clone(),
        claim_window: settings.keys.window,
        append_interval: settings.keys.append_interval,
    };
    Some(Claims::start(settings, Rc::clone(clock)))
}

/// Guard that counts one request as in progress.
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

/// Converts a load report to the type of the policy.
fn policy_load(report: &wire::ServerLoad) -> Load {
    let us = |us: u32| Duration::from_micros(u64::from(us));
    Load {
        running: report.running,
        slots: report.slots,
        waiting: report.waiting,
        wait: us(report.wait_us),
        latency: TokenLatency {
            first_token: us(report.ttft_us),
            per_token: us(report.token_us),
        },
        draining: report.draining,
    }
}
