//! Exchange of load reports and membership between entries over UDP.
//! `policy::roster` selects the entries to which this one reports.
//!
//! While no other entry is known, decisions use only this entry's own load.

mod convert;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Incarnation;
use base::logging::limiter::LineLimiter;
use base::stop::StopSignal;
use base::task::supervise;
pub(crate) use convert::service_number;
use convert::{
    decode_crash, decode_load, decode_sound, encode_crash, encode_load, encode_sound, millis,
    server_calls, service_load, to_pace, workspace_rates,
};
use policy::balance::TurnSchedule;
use policy::peer_load::{EXPIRY_INTERVALS, Intervals};
use policy::pools::ServiceDemand;
use policy::roster::{EntryCounts, EntryInfo, RosterEntry, Targets};
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use wire::gossip::{self, EntryLoad, LoadScope, Membership, Message, WantedReply};

use crate::crashes;
use crate::origins;
use crate::state::{State, link_mbps, zone_hash};

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_OVERHEAD: usize = 28;

/// Minimum time for which an entry counts as present after a message from it. In a full
/// mesh, it keeps getting reports while it is unreachable for a short time.
const MIN_ENTRY_TTL: Duration = Duration::from_secs(30);

/// [`MIN_ENTRY_TTL`] while relays are used: shorter, so that a relay that has ended is
/// soon replaced.
const MIN_RELAYED_ENTRY_TTL: Duration = Duration::from_secs(8);

/// Maximum number of entries listed in one datagram.
const MAX_DATAGRAM_MEMBERS: usize = 64;

/// Time for which a relay answers with the same computed totals.
const TOTALS_TTL: Duration = Duration::from_millis(250);

/// Delay after a receive error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Sends and receives the gossip of one entry.
pub struct GossipEndpoint {
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    incarnation: u64,
    seq: Cell<u32>,
    /// The last computed load of all entries, and when it was computed.
    totals: RefCell<Option<(Instant, EntryLoad)>>,
}

impl std::fmt::Debug for GossipEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GossipEndpoint")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl GossipEndpoint {
    /// Creates the endpoint of an entry that receives gossip on `socket`.
    #[must_use]
    pub fn new(state: Rc<State>, socket: UdpSocket) -> Rc<Self> {
        let socket = Rc::new(socket);
        state.origins.set_socket(Rc::clone(&socket));
        Rc::new(Self {
            state,
            socket,
            incarnation: Incarnation::random().0,
            seq: Cell::new(0),
            totals: RefCell::default(),
        })
    }

    /// Sends reports and receives messages until `end`.
    pub async fn run(self: Rc<Self>, end: StopSignal) {
        let own = Rc::clone(&self);
        supervise("receive gossip", end.clone(), move || {
            Rc::clone(&own).receive()
        });
        let (own, stop) = (Rc::clone(&self), end.clone());
        supervise("send gossip", end.clone(), move || {
            Rc::clone(&own).send_reports(stop.clone())
        });
        end.wait().await;
    }

    async fn send_reports(self: Rc<Self>, end: StopSignal) {
        let mut other_zones_due = self.state.clock.now();
        while !end.is_triggered() {
            let now = self.state.clock.now();
            self.state.roster.borrow_mut().expire(now);
            let targets = self.state.roster.borrow_mut().targets();
            let interval = match targets {
                Targets::FullMesh {
                    same_zone,
                    other_zones,
                } => self.report_to_all(now, &same_zone, &other_zones, &mut other_zones_due),
                Targets::Relays {
                    same_zone,
                    other_zones,
                    members,
                } => self.report_to_relays(now, &same_zone, &other_zones, members),
            };
            // The next report is due both on a timeout and on a notification.
            let _ = tokio::time::timeout(interval, self.state.gossip_now.notified()).await;
            let now = self.state.clock.now();
            self.apply_peer_loads(now);
            origins::tell_homes(&self.state, now);
        }
    }

    /// Asks the entry at `addr` for the entries that it knows. The request carries this
    /// entry's load and announces its next message within `interval`.
    pub fn request_members(&self, addr: SocketAddr, interval: Duration) {
        let load = EntryLoad {
            interval_ms: millis(interval),
            wanted_reply: WantedReply::Entries,
            ..self.own_load(self.state.clock.now())
        };
        self.send(&[addr], Message::Load(load));
    }

    /// Reports to all other entries; returns the time until the next report.
    fn report_to_all(
        &self,
        now: Instant,
        same_zone: &[SocketAddr],
        other_zones: &[SocketAddr],
        other_zones_due: &mut Instant,
    ) -> Duration {
        let load = self.own_load(now);
        let bytes = gossip::encode(Message::Load(load.clone())).len() + DATAGRAM_OVERHEAD;
        let intervals = Intervals::new(bytes * same_zone.len(), bytes * other_zones.len());
        let report = |targets: &[SocketAddr], interval: Duration| {
            let interval_ms = millis(interval);
            let load = load.clone();
            self.send(
                targets,
                Message::Load(EntryLoad {
                    interval_ms,
                    ..load
                }),
            );
        };
        report(same_zone, intervals.same_zone);
        if now >= *other_zones_due {
            report(other_zones, intervals.other_zones);
            // Rounds run at the interval of the same zone. Half of it is subtracted so
            // that the round closest to the due time is used.
            *other_zones_due = now
                + intervals
                    .other_zones
                    .saturating_sub(intervals.same_zone / 2);
        }
        intervals.same_zone
    }

    /// Reports to the relays of the zone. A relay also sends the totals of its zone to
    /// the relays of the other zones. Returns the time until the next report.
    fn report_to_relays(
        &self,
        now: Instant,
        same_zone: &[SocketAddr],
        other_zones: &[SocketAddr],
        members: usize,
    ) -> Duration {
        let interval = Intervals::to_relays(members).same_zone;
        let load = EntryLoad {
            interval_ms: millis(interval),
            wanted_reply: WantedReply::Totals,
            ..self.own_load(now)
        };
        if !other_zones.is_empty() {
            let own = decode_load(&load);
            let total = self.state.peer_loads.borrow().sum_zone(now, &own);
            self.send(other_zones, Message::Load(encode_load(&load, total)));
        }
        self.send(same_zone, Message::Load(load));
        interval
    }

    fn send(&self, targets: &[SocketAddr], message: Message) {
        let bytes = gossip::encode(message);
        for target in targets {
            // A datagram that cannot be sent is treated as lost.
            let _ = self.socket.try_send_to(&bytes, *target);
        }
    }

    /// This entry's own load, with the next sequence number.
    fn own_load(&self, now: Instant) -> EntryLoad {
        let state = &self.state;
        self.seq.set(self.seq.get() + 1);
        let services = state.phase_pools.borrow_mut().local_demand(now);
        let mut calls = state.balancer.borrow().own_calls();
        calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
        let rates = state.workspace_rates.borrow_mut().own_rates(now);
        let unstored = state.crashes.unstored(state.clock.wall_ms());
        let service =
            |(name, demand): &(Rc<str>, ServiceDemand)| service_load(service_number(name), demand);
        EntryLoad {
            incarnation: self.incarnation,
            seq: self.seq.get(),
            interval_ms: 0,
            wall_ms: state.clock.wall_ms(),
            zone: zone_hash(&state.settings.zone),
            link_mbps: link_mbps(&state.settings),
            staleness_ms: state.tables.age(now).map(millis),
            wanted_reply: WantedReply::Nothing,
            scope: LoadScope::Own,
            entries: 1,
            services: services.iter().map(service).collect(),
            calls: calls.into_iter().map(server_calls).collect(),
            crashes: unstored.crashes.iter().map(encode_crash).collect(),
            sound_parts: encode_sound(&unstored.sound_parts),
            paces: state.known_paces(now).into_iter().map(to_pace).collect(),
            workspaces: rates.iter().flat_map(workspace_rates).collect(),
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; gossip::MAX_DATAGRAM_BYTES];
        let limiter = LineLimiter::default();
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // The ICMP refusal of one unreachable peer is reported here; the
                    // other peers are unaffected, so receiving continues at once.
                    metrics::counter!("pimentocart_gossip_errors_total").increment(1);
                    if e.kind() != io::ErrorKind::ConnectionRefused {
                        tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    }
                    continue;
                }
            };
            match gossip::decode(&buffer[..length]) {
                Ok(Message::Load(load)) => self.handle_load(from, &load),
                Ok(Message::Membership(membership)) => self.handle_membership(from, &membership),
                Ok(Message::Origins(message)) => origins::handle(&self.state, from, message),
                Err(e) => {
                    metrics::counter!("pimentocart_gossip_errors_total").increment(1);
                    if let Some(unlogged) = limiter.record(self.state.clock.now()) {
                        warn!("gossip message not decoded", kv: {
                            peer = from.to_string().as_str(), cause = e.to_string().as_str(),
                            unlogged = unlogged
                        });
                    }
                }
            }
        }
    }

    fn handle_load(&self, from: SocketAddr, load: &EntryLoad) {
        let state = &self.state;
        let now = state.clock.now();
        let info = EntryInfo {
            addr: from,
            zone: load.zone,
            link_mbps: load.link_mbps,
        };
        let ttl = Duration::from_millis(u64::from(load.interval_ms)) * EXPIRY_INTERVALS;
        let min_ttl = match state.roster.borrow().uses_relays() {
            true => MIN_RELAYED_ENTRY_TTL,
            false => MIN_ENTRY_TTL,
        };
        self.record_entry(now, info, ttl.max(min_ttl), ttl, "gossip");
        state.roster.borrow_mut().mark_heard(from);
        self.record_copy_age(now, from, load.staleness_ms);
        if let Some(duties) = &*state.duties.borrow() {
            duties.observe_peer(from, info.rank(), ttl, load.wall_ms);
        }
        add_crashes(state, now, load);
        state
            .peer_loads
            .borrow_mut()
            .observe(now, decode_load(load));
        match load.wanted_reply {
            WantedReply::Nothing => {}
            WantedReply::Entries => self.send_membership(now, &info, None),
            WantedReply::Totals => self.send_membership(now, &info, Some(self.totals(now))),
        }
    }

    /// Sends `asker` the entries that this one knows, and `totals` if given.
    fn send_membership(&self, now: Instant, asker: &EntryInfo, totals: Option<EntryLoad>) {
        let roster = self.state.roster.borrow();
        let zones = self.state.peer_loads.borrow().entries_by_zone();
        let count = roster.count_for(asker, &zones);
        let entries = roster.entries_for(now, asker, self.state.tables.age(now));
        drop(roster);
        let member = |entry: RosterEntry| gossip::Member {
            addr: entry.info.addr,
            zone: entry.info.zone,
            link_mbps: entry.info.link_mbps,
            ttl_ms: millis(entry.remaining),
            staleness_ms: entry.copy_age.map(millis),
        };
        let mut members: Vec<gossip::Member> = entries.into_iter().map(member).collect();
        let to_u32 = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let mut totals = totals;
        loop {
            let rest = members.split_off(members.len().min(MAX_DATAGRAM_MEMBERS));
            let membership = Membership {
                entry_count: to_u32(count.total),
                zone_count: to_u32(count.same_zone),
                position: to_u32(count.preceding),
                members,
                totals: totals.take(),
            };
            self.send(&[asker.addr], Message::Membership(membership));
            if rest.is_empty() {
                return;
            }
            members = rest;
        }
    }

    /// The load of all entries, sent to the entries of the own zone.
    fn totals(&self, now: Instant) -> EntryLoad {
        let cached = self.totals.borrow().clone();
        if let Some((_, totals)) = cached.filter(|(at, _)| now < *at + TOTALS_TTL) {
            return totals;
        }
        let load = self.own_load(now);
        let own = decode_load(&load);
        let total = self.state.peer_loads.borrow().sum_all(now, &own);
        let members = self.state.roster.borrow().count().same_zone;
        let totals = EntryLoad {
            interval_ms: millis(Intervals::to_relays(members).same_zone),
            ..encode_load(&load, total)
        };
        *self.totals.borrow_mut() = Some((now, totals.clone()));
        totals
    }

    fn handle_membership(&self, from: SocketAddr, membership: &Membership) {
        let state = &self.state;
        let now = state.clock.now();
        let to_usize = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
        let counts = EntryCounts {
            total: to_usize(membership.entry_count),
            same_zone: to_usize(membership.zone_count),
            preceding: to_usize(membership.position),
        };
        state.discovery.borrow_mut().peer_answered(now);
        state.roster.borrow_mut().record_counts(now, counts);
        for member in &membership.members {
            let ttl = Duration::from_millis(u64::from(member.ttl_ms));
            let age_ms = member.staleness_ms;
            let info = EntryInfo {
                addr: member.addr,
                zone: member.zone,
                link_mbps: member.link_mbps,
            };
            if info.addr != state.settings.gossip && !ttl.is_zero() {
                self.record_entry(now, info, ttl, ttl, "answer");
                self.record_copy_age(now, info.addr, age_ms);
            }
        }
        state.roster.borrow_mut().mark_heard(from);
        let Some(totals) = &membership.totals else {
            return;
        };
        add_crashes(state, now, totals);
        state
            .peer_loads
            .borrow_mut()
            .observe(now, decode_load(totals));
        metrics::counter!("pimentocart_sums_heard_total").increment(1);
    }

    /// Records the age of the table copies of the entry at `addr`; `None` if it has none.
    fn record_copy_age(&self, now: Instant, addr: SocketAddr, age_ms: Option<u32>) {
        let state = &self.state;
        let age = age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        state.roster.borrow_mut().set_copy_age(now, addr, age);
        if let Some(age) = age {
            state.zone_readers.borrow_mut().set_copy_age(now, addr, age);
            state.discovery.borrow_mut().found_running();
        }
    }

    /// Records another entry. It counts as present for `ttl`, and as a candidate for
    /// reading the store on behalf of its zone for `reader_ttl`.
    fn record_entry(
        &self,
        now: Instant,
        info: EntryInfo,
        ttl: Duration,
        reader_ttl: Duration,
        by: &str,
    ) {
        let state = &self.state;
        if state.roster.borrow_mut().insert(info, now + ttl) {
            info!("entry found", kv: { peer = info.addr.to_string().as_str(), by });
            origins::ask_for_missing(state, info.addr);
        }
        if info.zone == zone_hash(&state.settings.zone) {
            let rank = info.rank();
            state
                .zone_readers
                .borrow_mut()
                .observe(info.addr, rank, now + reader_ttl);
        }
    }

    /// Passes the load of the other entries to the policies that use it.
    fn apply_peer_loads(&self, now: Instant) {
        let state = &self.state;
        let own = decode_load(&self.own_load(now));
        let mut others = state.peer_loads.borrow_mut();
        others.expire(now);
        let mut total = others.sum(now, &own);
        drop(others);
        if state.settings.fair_shares {
            let remote = total.workspaces.clone();
            state.workspace_rates.borrow_mut().set_remote(now, remote);
        }
        let count = state.roster.borrow().count();
        metrics::gauge!("pimentocart_entries_heard").set(count.total.saturating_sub(1) as f64);
        let calls = |server: u16| total.calls.get(&server).copied().unwrap_or_default();
        state.balancer.borrow_mut().set_remote_calls(calls);
        if state.settings.paced_streams {
            total.add_paces(&own.paces);
            state.apply_paces(&total.mean_paces());
        }
        state
            .zone_readers
            .borrow_mut()
            .set_zone_size(count.same_zone);
        self.apply_entry_count(now, count);
        let Some(catalog) = state.catalog.borrow().clone() else {
            return;
        };
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            let demand = total.services.get(&service_number(&service.name));
            let demand = demand.copied().unwrap_or_default();
            state
                .phase_pools
                .borrow_mut()
                .set_remote(now, &service.name, demand);
        }
    }

    /// Passes the number of entries to the policies that divide a shared limit among
    /// them: the rate limits that servers set, the retry budget, and the memory of
    /// engines for copies.
    fn apply_entry_count(&self, now: Instant, counts: EntryCounts) {
        let state = &self.state;
        if !state.discovery.borrow().entries_known(now) {
            return;
        }
        let entries = state.entry_count.borrow_mut().record(now, counts.total);
        state.repeat_budget.borrow_mut().set_entries(entries);
        state.copies.borrow_mut().set_entries(entries);
        let to_u32 = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        state.balancer.borrow_mut().set_turns(TurnSchedule {
            entries: to_u32(entries),
            turn_index: to_u32(counts.preceding),
            instant: now,
            unix_time: Duration::from_millis(state.clock.wall_ms()),
        });
    }
}

/// Adds what another entry has reported of crashes.
fn add_crashes(state: &Rc<State>, now: Instant, load: &EntryLoad) {
    for report in &load.crashes {
        crashes::add_report(state, now, &decode_crash(report));
    }
    for (part, age) in decode_sound(&load.sound_parts) {
        crashes::add_sound_part(state, now, part, age);
    }
}
