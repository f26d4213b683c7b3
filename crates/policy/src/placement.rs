//! Selection of the sidecars that an entry asks for a slot. See
//! docs/DECISIONS/0201-placement.md.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::load::{Load, LoadReports, TokenLatency};
use crate::outlier::{self, Fault, ServerHealth, Success};
use crate::rendezvous::{hash_name, score};

/// Index of a backend server in the entry's list.
pub type ServerIndex = usize;

/// Random samples taken before all candidates are searched in order.
const SAMPLE_ATTEMPTS: usize = 4;

/// How long a server's report that it drains is believed. Without this limit
/// nobody would ask the server again, and a new process at the same address
/// would stay unused.
const DRAIN_MAX_AGE: Duration = Duration::from_secs(5);

/// How often the median pace of a pool is recomputed.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum number of servers with a known pace for a meaningful median.
const MEDIAN_MIN_SERVERS: usize = 4;

/// A pace above this multiple of the median counts as a fault.
const SLOW_FACTOR: u32 = 8;

/// How servers are chosen. All modes but the first are baselines for
/// comparison: they choose one server, and the request waits there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// Ask several servers for a slot; the earliest expected finish wins.
    #[default]
    LateBinding,
    /// A random server.
    Random,
    /// The server with the lowest reported load.
    LeastLoaded,
    /// The one of two random servers with the lower reported load.
    TwoChoices,
}

/// Settings of placement.
#[derive(Debug, Clone)]
pub struct PlacementOptions {
    /// How servers are chosen.
    pub mode: PlacementMode,
    /// Age of the load reports that the baselines use.
    pub report_lag: Duration,
    /// The entry's own availability zone.
    pub zone: String,
    /// Seed of the random number generator, for reproducible runs.
    pub seed: u64,
}

/// A request for servers to ask.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The requested model or plain service.
    pub target: &'a str,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
    /// Servers that must not be asked, or not again.
    pub excluded: &'a [ServerIndex],
    /// Number of servers to ask concurrently with late binding; the baselines
    /// ask one.
    pub fan_out: usize,
}

/// Chooses the sidecars to ask for a slot.
#[derive(Debug)]
pub struct Placement {
    options: PlacementOptions,
    rng: Pcg64Mcg,
    /// State by server index; none for servers that were removed.
    servers: Vec<Option<Server>>,
    /// Servers grouped by what they serve.
    pools: Vec<Pool>,
    /// Index of the pool of each model or plain service.
    targets: HashMap<String, usize>,
}

#[derive(Debug)]
struct Server {
    /// Hash of the server's name, the same at every entry.
    key: u64,
    /// Index of its pool.
    pool: usize,
    reports: LoadReports,
    health: ServerHealth,
    /// Whether the host list excludes it from new requests.
    closed: bool,
}

/// The servers of one model or plain service.
#[derive(Debug, Default)]
struct Pool {
    /// Servers in the entry's own availability zone.
    local: Vec<ServerIndex>,
    /// Servers in other zones.
    remote: Vec<ServerIndex>,
    /// The median pace and when it was computed.
    median_pace: Option<(Instant, TokenLatency)>,
}

impl Pool {
    fn all(&self) -> impl Iterator<Item = ServerIndex> {
        self.local.iter().chain(&self.remote).copied()
    }

    fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }
}

impl Placement {
    /// Creates a placement without servers.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            rng: Pcg64Mcg::new(u128::from(options.seed) | 1),
            options,
            servers: Vec::new(),
            pools: Vec::new(),
            targets: HashMap::new(),
        }
    }

    /// Adds the server at `index`, replacing any previous one there.
    pub fn add_server(&mut self, index: ServerIndex, name: &str, zone: &str, target: &str) {
        self.remove_server(index);
        if self.servers.len() <= index {
            self.servers.resize_with(index + 1, || None);
        }
        let local = zone == self.options.zone;
        let pool = self.pool_index(target);
        self.servers[index] = Some(Server {
            key: hash_name(name),
            pool,
            reports: LoadReports::default(),
            health: ServerHealth::default(),
            closed: false,
        });

        let pool = &mut self.pools[pool];
        let members = if local {
            &mut pool.local
        } else {
            &mut pool.remote
        };
        members.push(index);
    }

    /// Index of the pool of `target`, which is created if missing.
    fn pool_index(&mut self, target: &str) -> usize {
        if let Some(pool_index) = self.targets.get(target) {
            return *pool_index;
        }
        self.pools.push(Pool::default());
        let pool_index = self.pools.len() - 1;
        self.targets.insert(target.to_owned(), pool_index);
        pool_index
    }

    /// Removes the server at `index`.
    pub fn remove_server(&mut self, index: ServerIndex) {
        let Some(server) = self.servers.get_mut(index).and_then(Option::take) else {
            return;
        };
        let pool = &mut self.pools[server.pool];
        pool.local.retain(|i| *i != index);
        pool.remote.retain(|i| *i != index);
    }

    /// Sets whether the host list excludes a server from new requests.
    pub fn set_closed(&mut self, index: ServerIndex, closed: bool) {
        if let Some(server) = self.server_mut(index) {
            server.closed = closed;
        }
    }

    /// Whether both the server and the host list allow new requests.
    #[must_use]
    pub fn is_open(&self, index: ServerIndex) -> bool {
        self.server(index)
            .is_some_and(|s| !s.closed && !s.reports.newest().draining)
    }

    /// Records the load that a reply carried. The reply itself is a sign of
    /// health, and a pace far above the median is a fault; returns whether
    /// that ejected the server.
    pub fn record_load(
        &mut self,
        now: Instant,
        index: ServerIndex,
        load: Load,
        ejectable: f64,
    ) -> bool {
        let lag = self.options.report_lag;
        let Some(server) = self.server_mut(index) else {
            return false;
        };
        let pool = server.pool;
        server.reports.record(now, load, lag);
        server.health.record_success(now, Success::Reachable);
        if !load.latency.is_measured() {
            return false;
        }

        let median_pace = self.pool_median(now, pool);
        if median_pace.is_measured() && load.latency.per_token > median_pace.per_token * SLOW_FACTOR
        {
            return self.record_fault(now, index, Fault::Slow, ejectable);
        }
        self.record_good(now, index, Success::NormalPace);
        false
    }

    /// Records a sign of health of a server.
    pub fn record_good(&mut self, now: Instant, index: ServerIndex, sign: Success) {
        if let Some(server) = self.server_mut(index) {
            server.health.record_success(now, sign);
        }
    }

    /// Records a fault of a server. At most the share `ejectable` of its pool
    /// may be ejected at a time; returns whether this server was ejected.
    pub fn record_fault(
        &mut self,
        now: Instant,
        index: ServerIndex,
        fault: Fault,
        ejectable: f64,
    ) -> bool {
        let Some(server) = self.server(index) else {
            return false;
        };
        let pool = &self.pools[server.pool];
        let is_ejected = |i| self.server(i).is_some_and(|s| s.health.ejected());
        let ejected = pool.all().filter(|i| is_ejected(*i)).count();
        let may_eject = ejected < outlier::max_ejected(pool.len(), ejectable);

        let server = self.server_mut(index);
        server.is_some_and(|s| s.health.record_fault(now, fault, may_eject))
    }

    /// The latest load report of a server.
    #[must_use]
    pub fn load(&self, index: ServerIndex) -> Load {
        self.server(index)
            .map_or_else(Load::default, |s| s.reports.newest())
    }

    /// Age of the latest load report.
    #[must_use]
    pub fn load_age(&self, now: Instant, index: ServerIndex) -> Option<Duration> {
        self.server(index)?.reports.newest_age(now)
    }

    /// Whether a server is ejected or being probed.
    #[must_use]
    pub fn is_ejected(&self, index: ServerIndex) -> bool {
        self.server(index).is_some_and(|s| s.health.ejected())
    }

    /// The median pace of the servers of `target`; unknown until enough of
    /// them have reported theirs.
    pub fn median_pace(&mut self, now: Instant, target: &str) -> TokenLatency {
        match self.targets.get(target) {
            Some(pool) => self.pool_median(now, *pool),
            None => TokenLatency::default(),
        }
    }

    fn pool_median(&mut self, now: Instant, pool: usize) -> TokenLatency {
        let cached = self.pools[pool].median_pace;
        if let Some((_, median_pace)) = cached.filter(|(at, _)| now < *at + MEDIAN_INTERVAL) {
            return median_pace;
        }
        let median_pace = self.compute_median(&self.pools[pool]);
        self.pools[pool].median_pace = Some((now, median_pace));
        median_pace
    }

    fn compute_median(&self, pool: &Pool) -> TokenLatency {
        let paces = pool.all().map(|i| self.load(i).latency);
        let mut paces: Vec<TokenLatency> = paces.filter(TokenLatency::is_measured).collect();
        if paces.len() < MEDIAN_MIN_SERVERS {
            return TokenLatency::default();
        }
        let middle = paces.len() / 2;
        let (_, median_pace, _) = paces.select_nth_unstable_by_key(middle, |p| p.per_token);
        *median_pace
    }

    /// Chooses the servers to ask, in order of preference; empty if there are
    /// none.
    pub fn choose(&mut self, now: Instant, request: &PlacementRequest<'_>) -> Vec<ServerIndex> {
        let Some(pool_index) = self.targets.get(request.target).copied() else {
            return Vec::new();
        };
        // The pool is taken out because choosing needs `self` mutably for the
        // random numbers.
        let pool = std::mem::take(&mut self.pools[pool_index]);
        let mut chosen = Vec::with_capacity(request.fan_out);
        match self.options.mode {
            PlacementMode::LateBinding => self.late_binding(now, &pool, request, &mut chosen),
            PlacementMode::Random => chosen.extend(self.pick_anywhere(now, &pool, request, &[])),
            PlacementMode::LeastLoaded => chosen.extend(self.least_loaded(now, &pool, request)),
            PlacementMode::TwoChoices => chosen.extend(self.choose_of_two(now, &pool, request)),
        }
        for index in &chosen {
            if let Some(server) = self.server_mut(*index) {
                server.health.request_sent(now);
            }
        }
        // These requests are no probes: a failed one says no more than the fault
        // that ejected the server, and must not make the ejection longer.
        if chosen.is_empty() {
            let ejected = pool.all().filter(|i| self.is_last_resort(now, *i, request));
            chosen.extend(ejected.take(request.fan_out.max(1)));
        }
        self.pools[pool_index] = pool;
        chosen
    }

    /// Whether an ejected server may be asked because no other is left.
    fn is_last_resort(&self, now: Instant, index: ServerIndex, request: &PlacementRequest) -> bool {
        let accepts = self.accepting(now, index, request.excluded);
        accepts.is_some_and(|s| s.health.usable_as_last())
    }

    /// Whether any server of `target` other than the excluded ones may be asked.
    #[must_use]
    pub fn has_usable(&self, now: Instant, target: &str, excluded: &[ServerIndex]) -> bool {
        let pool = self.targets.get(target).map(|pool| &self.pools[*pool]);
        pool.is_some_and(|pool| pool.all().any(|i| self.usable(now, i, excluded).is_some()))
    }

    fn late_binding(
        &mut self,
        now: Instant,
        pool: &Pool,
        request: &PlacementRequest<'_>,
        chosen: &mut Vec<ServerIndex>,
    ) {
        chosen.extend(self.affinity_server(now, pool, request));
        while chosen.len() < request.fan_out.max(1) {
            let Some(next) = self.sample_server(now, pool, request, chosen) else {
                return;
            };
            chosen.push(next);
        }
    }

    /// The server that caches prompts with this prefix. Rendezvous hashing
    /// gives the same server at every entry without any exchange. A server
    /// whose queue is as long as its slots is skipped, or requests with a
    /// popular prefix would each waste a reservation.
    fn affinity_server(
        &self,
        now: Instant,
        pool: &Pool,
        request: &PlacementRequest<'_>,
    ) -> Option<ServerIndex> {
        if request.prefix_hash == 0 {
            return None;
        }
        let ranked = pool.all().filter_map(|i| {
            let server = self.usable(now, i, request.excluded)?;
            let load = server.reports.newest();
            let queue_full = load.slots > 0 && load.waiting >= load.slots;
            (!queue_full).then(|| (score(request.prefix_hash, server.key), i))
        });
        ranked.max().map(|(_, i)| i)
    }

    /// The better of two random servers, in the entry's own availability zone
    /// unless both are full there.
    fn sample_server(
        &mut self,
        now: Instant,
        pool: &Pool,
        request: &PlacementRequest<'_>,
        chosen: &[ServerIndex],
    ) -> Option<ServerIndex> {
        let local = self.better_of_two(now, &pool.local, request, chosen);
        if let Some(local) = local.filter(|i| !self.load(*i).full()) {
            return Some(local);
        }
        let remote = self.better_of_two(now, &pool.remote, request, chosen);
        match (local, remote) {
            (Some(local), Some(remote)) if self.cost(local) <= self.cost(remote) => Some(local),
            (local, remote) => remote.or(local),
        }
    }

    fn better_of_two(
        &mut self,
        now: Instant,
        candidates: &[ServerIndex],
        request: &PlacementRequest<'_>,
        chosen: &[ServerIndex],
    ) -> Option<ServerIndex> {
        let one = self.pick_within(now, candidates, request, chosen)?;
        let two = self.pick_within(now, candidates, request, chosen)?;
        Some(if self.cost(two) < self.cost(one) {
            two
        } else {
            one
        })
    }

    /// Queue length per slot, weighted by the pace: a server that is four
    /// times slower takes four times as long to free a slot.
    fn cost(&self, index: ServerIndex) -> f64 {
        let load = self.load(index);
        let token = load.latency.per_token.max(Duration::from_micros(1));
        load.load_per_slot() * token.as_secs_f64()
    }

    fn least_loaded(
        &mut self,
        now: Instant,
        pool: &Pool,
        request: &PlacementRequest<'_>,
    ) -> Option<ServerIndex> {
        let mut least = None;
        for index in pool.all() {
            if self.usable(now, index, request.excluded).is_none() {
                continue;
            }
            // Random tie-break, or the first of several equal servers would
            // get all requests.
            let rank = (self.reported_depth(now, index), self.rng.random::<f64>());
            if least.is_none_or(|(lowest, _)| rank < lowest) {
                least = Some((rank, index));
            }
        }
        least.map(|(_, index)| index)
    }

    fn choose_of_two(
        &mut self,
        now: Instant,
        pool: &Pool,
        request: &PlacementRequest<'_>,
    ) -> Option<ServerIndex> {
        let one = self.pick_anywhere(now, pool, request, &[])?;
        let two = self
            .pick_anywhere(now, pool, request, &[one])
            .unwrap_or(one);
        let less = self.reported_depth(now, two) < self.reported_depth(now, one);
        Some(if less { two } else { one })
    }

    fn reported_depth(&self, now: Instant, index: ServerIndex) -> f64 {
        let lag = self.options.report_lag;
        self.server(index)
            .map_or(0.0, |s| s.reports.lagged(now, lag).load_per_slot())
    }

    /// A random usable server of any zone.
    fn pick_anywhere(
        &mut self,
        now: Instant,
        pool: &Pool,
        request: &PlacementRequest<'_>,
        chosen: &[ServerIndex],
    ) -> Option<ServerIndex> {
        let local = self.rng.random_range(0..pool.len().max(1)) < pool.local.len();
        let (first, second) = match local {
            true => (&pool.local, &pool.remote),
            false => (&pool.remote, &pool.local),
        };
        self.pick_within(now, first, request, chosen)
            .or_else(|| self.pick_within(now, second, request, chosen))
    }

    /// A random usable server among `candidates`.
    fn pick_within(
        &mut self,
        now: Instant,
        candidates: &[ServerIndex],
        request: &PlacementRequest<'_>,
        chosen: &[ServerIndex],
    ) -> Option<ServerIndex> {
        if candidates.is_empty() {
            return None;
        }
        let fits = |placement: &Self, i: ServerIndex| {
            !chosen.contains(&i) && placement.usable(now, i, request.excluded).is_some()
        };
        for _ in 0..SAMPLE_ATTEMPTS {
            let index = candidates[self.rng.random_range(0..candidates.len())];
            if fits(self, index) {
                return Some(index);
            }
        }

        // Few candidates are usable: search all of them from a random
        // position.
        let start = self.rng.random_range(0..candidates.len());
        let (after, before) = (&candidates[start..], &candidates[..start]);
        after.iter().chain(before).copied().find(|i| fits(self, *i))
    }

    /// The server, if it may be asked.
    fn usable(
        &self,
        now: Instant,
        index: ServerIndex,
        excluded: &[ServerIndex],
    ) -> Option<&Server> {
        self.accepting(now, index, excluded)
            .filter(|server| server.health.usable(now))
    }

    /// The server, if it accepts requests as far as it and the host list say.
    fn accepting(
        &self,
        now: Instant,
        index: ServerIndex,
        excluded: &[ServerIndex],
    ) -> Option<&Server> {
        let server = self.server(index)?;
        let draining = server.reports.newest().draining
            && server
                .reports
                .newest_age(now)
                .is_some_and(|a| a < DRAIN_MAX_AGE);
        (!server.closed && !draining && !excluded.contains(&index)).then_some(server)
    }

    fn server(&self, index: ServerIndex) -> Option<&Server> {
        self.servers.get(index)?.as_ref()
    }

    fn server_mut(&mut self, index: ServerIndex) -> Option<&mut Server> {
        self.servers.get_mut(index)?.as_mut()
    }
}
