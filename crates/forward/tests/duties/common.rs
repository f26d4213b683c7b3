//! A fleet of entries in one process, with a store and a platform API in memory.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use base::clock::{Clock, SystemClock};
use base::listen::Binder;
use base::stop::StopSignal;
use forward::duties::{Duties, election, messages, report, scale};
use forward::platform::{CallHeaders, Dialect, ResponseHeaders};
use forward::platform::{DutyApi, DutyOutcome, DutyRecord, DutyStore, SourceError};
use forward::settings::Settings;
use forward::state::State;
use http::HeaderMap;
use policy::balance::ServerRecord;
use policy::duty::WriteOutcome;
use policy::readers::Rank;
use policy::routes::{CallerLimits, Catalog, Service};
use policy::scaling::{self, ServerOrder};
use policy::usage::WorkspaceCounts;

/// Timeout of each step, so that a test that hangs fails.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a peer counts as present after a message.
const PEER_TTL: Duration = Duration::from_secs(1);

/// Number of loopback addresses that are reserved for each fleet.
const HOSTS_PER_FLEET: u8 = 8;

/// The gossip port of all entries; duties use the next one.
const PORT: u16 = 7440;

/// Number of the next fleet of this process; each fleet has its own addresses.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// The store's log with the duties' record.
#[derive(Default)]
pub(crate) struct Store {
    kept: RefCell<Option<DutyRecord>>,
    log_end: Cell<u64>,
    pub(crate) unavailable: Cell<bool>,
}

impl Store {
    pub(crate) fn kept(&self) -> DutyRecord {
        self.kept.borrow().clone().expect("a stored record")
    }

    /// Restores the store from a copy that holds `kept`. Its offsets keep growing.
    pub(crate) fn rewind(&self, kept: DutyRecord) {
        *self.kept.borrow_mut() = Some(kept);
        self.log_end.set(self.log_end.get() + (1 << 40));
    }
}

struct StoreRecords(Rc<Store>);

impl DutyStore for StoreRecords {
    async fn read(&self) -> Result<(Option<DutyRecord>, u64), SourceError> {
        match self.0.unavailable.get() {
            true => Err(SourceError::Unavailable {
                step: "read",
                peer: "store".to_owned(),
                cause: "unavailable".to_owned(),
            }),
            false => Ok((self.0.kept.borrow().clone(), self.0.log_end.get())),
        }
    }

    async fn write(&self, at: u64, kept: &DutyRecord) -> WriteOutcome {
        if self.0.unavailable.get() {
            return WriteOutcome::Refused;
        }
        if at != self.0.log_end.get() {
            return WriteOutcome::Conflict;
        }
        *self.0.kept.borrow_mut() = Some(kept.clone());
        self.0.log_end.set(at + 1);
        WriteOutcome::Stored(at)
    }
}

/// The calls that the platform has accepted.
#[derive(Default)]
pub(crate) struct Platform {
    windows: RefCell<BTreeMap<u64, WorkspaceCounts>>,
    tokens: RefCell<BTreeSet<u64>>,
    calls: Cell<usize>,
    lost_answers: Cell<u32>,
    orders: RefCell<Vec<AcceptedOrder>>,
}

/// An order that was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AcceptedOrder {
    pub(crate) token: u64,
    pub(crate) zone: String,
    pub(crate) count: u32,
    /// Whether the holder received the answer.
    pub(crate) answered: bool,
}

impl Platform {
    /// Loses the answers to the next `count` calls, which are carried out.
    pub(crate) fn lose_answers(&self, count: u32) {
        self.lost_answers.set(count);
    }

    /// Number of answers that are still to be lost.
    pub(crate) fn answers_to_lose(&self) -> u32 {
        self.lost_answers.get()
    }

    pub(crate) fn calls(&self) -> usize {
        self.calls.get()
    }

    /// Number of requests that were reported for a workspace.
    pub(crate) fn requests_of(&self, workspace: &str) -> u64 {
        let windows = self.windows.borrow();
        windows.values().filter_map(|c| c.get(workspace)).sum()
    }

    /// Number of fencing tokens that were seen in calls.
    pub(crate) fn holders(&self) -> usize {
        self.tokens.borrow().len()
    }

    /// Number of windows that were reported.
    pub(crate) fn windows(&self) -> usize {
        self.windows.borrow().len()
    }

    /// All orders that were carried out, in the order of their calls.
    pub(crate) fn orders(&self) -> Vec<AcceptedOrder> {
        self.orders.borrow().clone()
    }

    /// Checks the fencing token of a call. Returns the token and the outcome that the
    /// caller sees, or the reason why the call is rejected.
    fn call(&self, token: impl FnOnce() -> Option<u64>) -> Result<(u64, DutyOutcome), DutyOutcome> {
        let token = token().ok_or(DutyOutcome::NotHeld)?;
        self.calls.set(self.calls.get() + 1);
        let highest = self.tokens.borrow().last().copied();
        if highest.is_some_and(|highest| token < highest) {
            return Err(DutyOutcome::Fenced(token));
        }
        self.tokens.borrow_mut().insert(token);
        let lost_answers = self.lost_answers.get();
        self.lost_answers.set(lost_answers.saturating_sub(1));
        let outcome = match lost_answers {
            0 => DutyOutcome::Accepted,
            _ => DutyOutcome::Unanswered("no answer".to_owned()),
        };
        Ok((token, outcome))
    }
}

/// An availability zone that the platform does not know; it comes first by name.
pub(crate) const UNKNOWN_ZONE: &str = "0";

struct PlatformApi(Rc<Platform>);

impl DutyApi for PlatformApi {
    async fn report(
        &self,
        _holder: &str,
        window: u64,
        counts: &WorkspaceCounts,
        token: impl FnOnce() -> Option<u64>,
    ) -> DutyOutcome {
        let outcome = match self.0.call(token) {
            Ok((_, outcome)) => outcome,
            Err(outcome) => return outcome,
        };
        let mut windows = self.0.windows.borrow_mut();
        let first_counts = windows.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(
            first_counts, counts,
            "two different reports of window {window}"
        );
        outcome
    }

    async fn order(
        &self,
        _holder: &str,
        _service: &str,
        order: &ServerOrder,
        token: impl FnOnce() -> Option<u64>,
    ) -> DutyOutcome {
        let (token, outcome) = match self.0.call(token) {
            Ok(accepted) => accepted,
            Err(outcome) => return outcome,
        };
        if &*order.zone == UNKNOWN_ZONE {
            return DutyOutcome::Refused(404);
        }
        self.0.orders.borrow_mut().push(AcceptedOrder {
            token,
            zone: order.zone.to_string(),
            count: order.count,
            answered: outcome == DutyOutcome::Accepted,
        });
        outcome
    }
}

/// Entries in one process.
pub(crate) struct Fleet {
    pub(crate) fleet_number: u8,
    pub(crate) store: Rc<Store>,
    pub(crate) platform: Rc<Platform>,
    entries: Vec<Entry>,
}

struct Entry {
    state: Rc<State>,
    duties: Rc<Duties>,
    /// Ends all tasks of the entry without a message to the others.
    end: StopSignal,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Fleet {
    /// Starts `count` entries that know each other and perform all duties.
    pub(crate) async fn start(count: u8) -> Self {
        Self::start_with(count, &["usage_report", "autoscale"]).await
    }

    /// Starts `count` entries that know each other and perform duties of these kinds.
    pub(crate) async fn start_with(count: u8, kinds: &[&str]) -> Self {
        let fleet_number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let (store, platform) = (Rc::<Store>::default(), Rc::<Platform>::default());
        let mut entries = Vec::new();
        for number in 0..count {
            entries.push(entry(settings(fleet_number, number, kinds), &store, &platform).await);
        }
        let fleet = Self {
            fleet_number,
            store,
            platform,
            entries,
        };
        for observer in 0..fleet.entries.len() {
            for peer in (0..fleet.entries.len()).filter(|peer| *peer != observer) {
                fleet.announce(peer, observer);
            }
        }
        fleet
    }

    /// Makes an entry known to another one until either of them ends.
    fn announce(&self, peer: usize, observer: usize) {
        let (peer, observer) = (&self.entries[peer], &self.entries[observer]);
        let settings = peer.state.settings.clone();
        let rank = Rank::new(1, settings.gossip, u32::from(entry_number(&settings)));
        let duties = Rc::clone(&observer.duties);
        let ends = [peer.end.clone(), observer.end.clone()];
        actix_rt::spawn(async move {
            while !ends.iter().any(StopSignal::is_triggered) {
                let wall_ms = SystemClock.wall_ms();
                duties.observe_peer(settings.gossip, rank, PEER_TTL, wall_ms);
                tokio::time::sleep(PEER_TTL / 5).await;
            }
        });
    }

    /// Starts a killed entry again on its host, as a new incarnation.
    pub(crate) async fn restart(&mut self, number: usize) {
        let killed = &self.entries[number];
        assert!(killed.end.is_triggered(), "the entry runs");
        let settings = killed.state.settings.clone();
        let port_free = || std::net::UdpSocket::bind(settings.duty_addr()).is_ok();
        // Ends with the last task that holds the socket of the killed entry.
        let killed = self.entries.remove(number);
        drop(killed);
        until("the duty port is free", port_free).await;
        let started = entry(settings, &self.store, &self.platform).await;
        self.entries.insert(number, started);
        for other in (0..self.entries.len()).filter(|other| *other != number) {
            if !self.entries[other].end.is_triggered() {
                self.announce(number, other);
                self.announce(other, number);
            }
        }
    }

    /// The entry that holds the duties, with its fencing token.
    pub(crate) fn holder(&self) -> Option<(usize, u64)> {
        let entries = self.entries.iter().enumerate();
        let live = entries.filter(|(_, e)| !e.end.is_triggered());
        let mut held = live.filter_map(|(n, e)| Some((n, e.duties.token()?)));
        held.next()
    }

    /// Counts requests at an entry.
    pub(crate) fn count_requests(&self, entry: usize, workspace: &str, count: u32) {
        for _ in 0..count {
            self.entries[entry].duties.count_request(workspace);
        }
    }

    /// Adds a server of the service in an availability zone to what an entry knows.
    pub(crate) fn add_server(&self, entry: usize, zone: &str) {
        let state = &self.entries[entry].state;
        let mut balance = state.balancer.borrow_mut();
        balance.upsert(state.clock.now(), server(zone));
    }

    /// Adds a service to what an entry knows: a server of four slots with `calls` open
    /// calls in each of two availability zones. Up to eight servers may be ordered.
    pub(crate) fn add_service(&self, entry: usize, calls: u32) {
        let state = &self.entries[entry].state;
        *state.catalog.borrow_mut() = Some(Rc::new(catalog()));
        let now = state.clock.now();
        let mut balance = state.balancer.borrow_mut();
        for zone in ["a", "b"] {
            balance.upsert(now, server(zone));
            for _ in 0..calls {
                balance.call_sent(now, zone);
            }
        }
    }

    /// Number of all reported requests.
    pub(crate) fn reported_requests(&self) -> u64 {
        let windows = self.platform.windows.borrow();
        windows.values().flat_map(|c| c.values()).sum()
    }

    /// Number of other entries that have received counts of an entry.
    pub(crate) fn informed_peers(&self, entry: usize) -> usize {
        let others = self.entries.iter().enumerate().filter(|(n, _)| *n != entry);
        let incarnation = self.entries[entry].duties.incarnation();
        others
            .filter(|(_, e)| e.duties.requests_of(incarnation) > 0)
            .count()
    }

    /// Number of requests that an entry has counted itself and still keeps.
    pub(crate) fn counted_requests(&self, entry: usize) -> u64 {
        let duties = &self.entries[entry].duties;
        duties.requests_of(duties.incarnation())
    }

    /// Ends an entry without a message to the others.
    pub(crate) fn kill(&self, entry: usize) {
        let entry = &self.entries[entry];
        entry.end.trigger();
        for task in &entry.tasks {
            task.abort();
        }
    }

    /// Requests an entry to stop.
    pub(crate) fn stop(&self, entry: usize) {
        self.entries[entry].state.stopping.trigger();
    }
}

/// The number of an entry in its fleet, from 1.
fn entry_number(settings: &Settings) -> u8 {
    match settings.gossip.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3] % HOSTS_PER_FLEET,
        std::net::IpAddr::V6(_) => unreachable!("all hosts have IPv4 addresses"),
    }
}

async fn entry(settings: Settings, store: &Rc<Store>, platform: &Rc<Platform>) -> Entry {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let end = StopSignal::new();
    let duties = Duties::new(&settings, Rc::clone(&clock)).expect("has duties");
    let binder = Binder::new(Rc::clone(&clock), end.clone());
    assert!(duties.bind(&binder).await.expect("binds the port"));
    let state = State::new(settings, Rc::new(NullDialect), clock);
    let (records, duty_api) = (
        StoreRecords(Rc::clone(store)),
        PlatformApi(Rc::clone(platform)),
    );
    let tasks = vec![
        actix_rt::spawn(messages::receive(Rc::clone(&duties))),
        actix_rt::spawn(messages::send_counts(Rc::clone(&duties), end.clone())),
        actix_rt::spawn(report::run(Rc::clone(&duties), duty_api, end.clone())),
        actix_rt::spawn(scale::run(
            Rc::clone(&state),
            Rc::clone(&duties),
            PlatformApi(Rc::clone(platform)),
            end.clone(),
        )),
        actix_rt::spawn(election::run(
            Rc::clone(&state),
            Rc::clone(&duties),
            records,
            end.clone(),
        )),
    ];
    Entry {
        state,
        duties,
        end,
        tasks,
    }
}

/// The IP address of entry `number` of a fleet. Each process uses its own part of the
/// loopback range, so that several processes can run these tests in parallel.
pub(crate) fn ip(fleet: u8, number: u8) -> String {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    format!(
        "127.{}.{b}.{}",
        a.max(1),
        fleet * HOSTS_PER_FLEET + number + 1
    )
}

/// Settings of entry `number` of a fleet.
pub(crate) fn settings(fleet: u8, number: u8, kinds: &[&str]) -> Settings {
    let host = number + 1;
    let unused = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": format!("entry-{host}"), "zone": "a", "listen": unused, "ready": unused,
        "ready_path": "/ready", "gossip": format!("{}:{PORT}", ip(fleet, number)),
        "store": unused, "grace_s": 8.0, "repeat_ratio": 0.2, "repeat_window_s": 10.0,
        "link_mbps": f64::from(host),
        "duties": {"platform": unused, "kinds": kinds, "rate": 50.0,
            "window_s": 1.0, "due_s": 10.0, "lease_ms": 1000},
    });
    serde_json::from_value(text).expect("valid settings")
}

/// A catalog with one service that has scaling limits.
fn catalog() -> Catalog {
    let service = Service {
        name: Rc::from("app"),
        max_connections: 10,
        health_path: None,
        engine: None,
        scaling: Some(scaling::ScalingLimits {
            min_servers: 1,
            max_servers: 8,
            boot_time: Duration::from_secs(2),
        }),
    };
    Catalog::new(1, Vec::new(), vec![service], None, CallerLimits::default())
}

/// The server in an availability zone; its id is the zone's name.
fn server(zone: &str) -> ServerRecord {
    let host = match zone {
        "a" => 1,
        "b" => 2,
        _ => 3,
    };
    ServerRecord {
        id: Rc::from(zone),
        service: Rc::from("app"),
        addr: format!("127.42.0.{host}:{PORT}")
            .parse()
            .expect("valid address"),
        zone: Rc::from(zone),
        slots: 4,
        leaving: false,
        started_ms: None,
        version: Rc::default(),
    }
}

struct NullDialect;

impl Dialect for NullDialect {
    fn parse_call(&self, _headers: &HeaderMap) -> CallHeaders {
        CallHeaders::default()
    }

    fn forwarded_headers(
        &self,
        _headers: &HeaderMap,
        _order: &forward::platform::AddedHeaders<'_>,
    ) -> HeaderMap {
        HeaderMap::new()
    }

    fn parse_start(&self, _body: &[u8]) -> Option<u64> {
        None
    }

    fn parse_response(&self, _status: u16, _headers: &HeaderMap) -> ResponseHeaders {
        ResponseHeaders::default()
    }
}

/// Waits until `condition` holds; fails after a timeout.
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out: {what}");
}
