//! Telling the other entries what this one has in progress, and hearing what
//! they have. `policy::roster` says whom it tells.
//!
//! Without any other entry it goes by its own calls.

mod convert;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Incarnation;
use base::stop::StopSignal;
use convert::{calls_at, millis, number, read, service, write};
use policy::balance::TurnSchedule;
use policy::peer_load::{EXPIRY_INTERVALS, Intervals};
use policy::pools::ServiceDemand;
use policy::roster::{EntryCounts, EntryInfo, RosterEntry, Targets};
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use wire::gossip::{self, EntryLoad, LoadScope, Membership, Message, WantedReply};

use crate::crashes;
use crate::state::{State, link_mbps, zone_number};

/// Bytes around the contents of a datagram.
const FRAME: usize = 28;

/// An entry that was heard counts as there for so long at the least. Those who
/// tell all others go on telling one that was cut off for a while.
const SILENT: Duration = Duration::from_secs(30);

/// The same where relays pass on what is told: one that has ended is replaced.
const SILENT_RELAYED: Duration = Duration::from_secs(8);

/// Entries that are named in one datagram.
const NAMED: usize = 64;

/// For how long a relay answers with the same sums.
const SUMS_KEPT: Duration = Duration::from_millis(250);

/// The pause after hearing failed.
const RETRY: Duration = Duration::from_millis(400);

/// How an entry speaks to others.
pub struct GossipEndpoint {
    state: Rc<State>,
    socket: UdpSocket,
    life: u64,
    seq: Cell<u32>,
    /// What all entries have, as it was worked out last.
    sums: RefCell<Option<(Instant, EntryLoad)>>,
}

impl std::fmt::Debug for GossipEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GossipEndpoint")
            .field("life", &self.life)
            .finish_non_exhaustive()
    }
}

impl GossipEndpoint {
    /// Makes the voice of an entry that hears others on `socket`.
    #[must_use]
    pub fn new(state: Rc<State>, socket: UdpSocket) -> Rc<Self> {
        Rc::new(Self {
            state,
            socket,
            life: Incarnation::random().0,
            seq: Cell::new(0),
            sums: RefCell::default(),
        })
    }

    /// Tells and hears until `end`.
    pub async fn run(self: Rc<Self>, end: StopSignal) {
        actix_rt::spawn(Rc::clone(&self).hear());
        let mut far_due = self.state.clock.now();
        while !end.is_triggered() {
            let now = self.state.clock.now();
            self.state.roster.borrow_mut().expire(now);
            let targets = self.state.roster.borrow_mut().targets();
            let every = match targets {
                Targets::FullMesh {
                    same_zone,
                    other_zones,
                } => self.tell_all(now, &same_zone, &other_zones, &mut far_due),
                Targets::Relays {
                    same_zone,
                    other_zones,
                    members,
                } => self.tell_relays(now, &same_zone, &other_zones, members),
            };
            // Either way it is time to speak.
            let _ = tokio::time::timeout(every, self.state.speak.notified()).await;
            self.take_over(self.state.clock.now());
        }
    }

    /// Asks the entry at `addr` which others there are; it hears by that that
    /// this one is there, which asks again `within` that time.
    pub fn request_members(&self, addr: SocketAddr, within: Duration) {
        let saying = EntryLoad {
            interval_ms: millis(within),
            wanted_reply: WantedReply::Entries,
            ..self.saying(self.state.clock.now())
        };
        self.send(&[addr], Message::Load(saying));
    }

    /// Tells all others; returns when to speak again.
    fn tell_all(
        &self,
        now: Instant,
        near: &[SocketAddr],
        far: &[SocketAddr],
        far_due: &mut Instant,
    ) -> Duration {
        let said = self.saying(now);
        let bytes = gossip::encode(Message::Load(said.clone())).len() + FRAME;
        let every = Intervals::new(bytes * near.len(), bytes * far.len());
        let tell = |targets: &[SocketAddr], every: Duration| {
            let interval_ms = millis(every);
            let said = said.clone();
            self.send(
                targets,
                Message::Load(EntryLoad {
                    interval_ms,
                    ..said
                }),
            );
        };
        tell(near, every.same_zone);
        if now >= *far_due {
            tell(far, every.other_zones);
            // Rounds come each `near`; the one closest to the time is taken.
            *far_due = now + every.other_zones.saturating_sub(every.same_zone / 2);
        }
        every.same_zone
    }

    /// Tells the relays, and as one of them those of the other zones; returns
    /// when to speak again.
    fn tell_relays(
        &self,
        now: Instant,
        near: &[SocketAddr],
        far: &[SocketAddr],
        members: usize,
    ) -> Duration {
        let every = Intervals::to_relays(members).same_zone;
        let said = EntryLoad {
            interval_ms: millis(every),
            wanted_reply: WantedReply::Totals,
            ..self.saying(now)
        };
        if !far.is_empty() {
            let own = read(&said);
            let sum = self.state.others.borrow().sum_zone(now, &own);
            self.send(far, Message::Load(write(&said, sum)));
        }
        self.send(near, Message::Load(said));
        every
    }

    fn send(&self, targets: &[SocketAddr], message: Message) {
        let bytes = gossip::encode(message);
        for target in targets {
            // A datagram that cannot be sent is like one that is lost.
            let _ = self.socket.try_send_to(&bytes, *target);
        }
    }

    /// What this entry has in progress.
    fn saying(&self, now: Instant) -> EntryLoad {
        let state = &self.state;
        self.seq.set(self.seq.get() + 1);
        let services = state.pools.borrow_mut().local_demand(now);
        let mut calls = state.balance.borrow().own_calls();
        calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
        let service = |(name, told): &(Rc<str>, ServiceDemand)| service(number(name), told);
        EntryLoad {
            incarnation: self.life,
            seq: self.seq.get(),
            interval_ms: 0,
            wall_ms: state.clock.wall_ms(),
            zone: zone_number(&state.settings.zone),
            link_mbps: link_mbps(&state.settings),
            staleness_ms: state.tables.age(now).map(millis),
            wanted_reply: WantedReply::Nothing,
            scope: LoadScope::Own,
            entries: 1,
            services: services.iter().map(service).collect(),
            calls: calls.into_iter().map(calls_at).collect(),
            crashes: state.crashes.unstored_reports(state.clock.wall_ms()),
        }
    }

    async fn hear(self: Rc<Self>) {
        let mut buffer = vec![0; gossip::MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(got) => got,
                Err(e) => {
                    // An unreachable peer's refusal shows up here; it says
                    // nothing about the others.
                    metrics::counter!("pimentocart_gossip_errors_total").increment(1);
                    if e.kind() != io::ErrorKind::ConnectionRefused {
                        tokio::time::sleep(RETRY).await;
                    }
                    continue;
                }
            };
            match gossip::decode(&buffer[..length]) {
                Ok(Message::Load(said)) => self.take_saying(from, &said),
                Ok(Message::Membership(answer)) => self.take_answer(from, &answer),
                Err(e) => warn!("gossip not understood", kv: {
                    peer = from.to_string().as_str(), cause = e.to_string().as_str()
                }),
            }
        }
    }

    fn take_saying(&self, from: SocketAddr, said: &EntryLoad) {
        let state = &self.state;
        let now = state.clock.now();
        let seat = EntryInfo {
            addr: from,
            zone: said.zone,
            link_mbps: said.link_mbps,
        };
        let within = Duration::from_millis(u64::from(said.interval_ms)) * EXPIRY_INTERVALS;
        let silent = match state.roster.borrow().uses_relays() {
            true => SILENT_RELAYED,
            false => SILENT,
        };
        self.note(now, seat, within.max(silent), within, "gossip");
        state.roster.borrow_mut().mark_heard(from);
        self.note_age(now, from, said.staleness_ms);
        if let Some(duties) = &*state.duties.borrow() {
            duties.hear(from, seat.rank(), within, said.wall_ms);
        }
        crashes::add_reports(state, now, &said.crashes);
        state.others.borrow_mut().observe(now, read(said));
        match said.wanted_reply {
            WantedReply::Nothing => {}
            WantedReply::Entries => self.answer(now, &seat, None),
            WantedReply::Totals => self.answer(now, &seat, Some(self.sums(now))),
        }
    }

    /// Tells `asker` what this entry knows of others.
    fn answer(&self, now: Instant, asker: &EntryInfo, sums: Option<EntryLoad>) {
        let roster = self.state.roster.borrow();
        let zones = self.state.others.borrow().entries_by_zone();
        let count = roster.count_for(asker, &zones);
        let named = roster.entries_for(now, asker, self.state.tables.age(now));
        drop(roster);
        let seat = |named: RosterEntry| gossip::Member {
            addr: named.info.addr,
            zone: named.info.zone,
            link_mbps: named.info.link_mbps,
            ttl_ms: millis(named.remaining),
            staleness_ms: named.copy_age.map(millis),
        };
        let mut members: Vec<gossip::Member> = named.into_iter().map(seat).collect();
        let small = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let mut sums = sums;
        loop {
            let rest = members.split_off(members.len().min(NAMED));
            let answer = Membership {
                entry_count: small(count.total),
                zone_count: small(count.same_zone),
                position: small(count.preceding),
                members,
                totals: sums.take(),
            };
            self.send(&[asker.addr], Message::Membership(answer));
            if rest.is_empty() {
                return;
            }
            members = rest;
        }
    }

    /// What all entries have in progress, for those of the own zone.
    fn sums(&self, now: Instant) -> EntryLoad {
        let held = self.sums.borrow().clone();
        if let Some((_, sums)) = held.filter(|(at, _)| now < *at + SUMS_KEPT) {
            return sums;
        }
        let said = self.saying(now);
        let own = read(&said);
        let sum = self.state.others.borrow().sum_all(now, &own);
        let members = self.state.roster.borrow().count().same_zone;
        let sums = EntryLoad {
            interval_ms: millis(Intervals::to_relays(members).same_zone),
            ..write(&said, sum)
        };
        *self.sums.borrow_mut() = Some((now, sums.clone()));
        sums
    }

    fn take_answer(&self, from: SocketAddr, answer: &Membership) {
        let state = &self.state;
        let now = state.clock.now();
        let large = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
        let count = EntryCounts {
            total: large(answer.entry_count),
            same_zone: large(answer.zone_count),
            preceding: large(answer.position),
        };
        state.finder.borrow_mut().peer_answered(now);
        state.roster.borrow_mut().record_counts(now, count);
        for seat in &answer.members {
            let left = Duration::from_millis(u64::from(seat.ttl_ms));
            let age_ms = seat.staleness_ms;
            let seat = EntryInfo {
                addr: seat.addr,
                zone: seat.zone,
                link_mbps: seat.link_mbps,
            };
            if seat.addr != state.settings.gossip && !left.is_zero() {
                self.note(now, seat, left, left, "answer");
                self.note_age(now, seat.addr, age_ms);
            }
        }
        state.roster.borrow_mut().mark_heard(from);
        let Some(sums) = &answer.totals else {
            return;
        };
        crashes::add_reports(state, now, &sums.crashes);
        state.others.borrow_mut().observe(now, read(sums));
        metrics::counter!("pimentocart_sums_heard_total").increment(1);
    }

    /// Notes how old the copies of the entry at `addr` are, if it has any.
    fn note_age(&self, now: Instant, addr: SocketAddr, age_ms: Option<u32>) {
        let state = &self.state;
        let age = age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        state.roster.borrow_mut().set_copy_age(now, addr, age);
        if let Some(age) = age {
            state.readers.borrow_mut().set_copy_age(now, addr, age);
            state.finder.borrow_mut().found_running();
        }
    }

    /// Notes another entry, which counts as there for `within`, and as one that
    /// reads the store for its zone for `reads`.
    fn note(&self, now: Instant, seat: EntryInfo, within: Duration, reads: Duration, by: &str) {
        let state = &self.state;
        if state.roster.borrow_mut().insert(seat, now + within) {
            info!("entry found", kv: { peer = seat.addr.to_string().as_str(), by });
        }
        if seat.zone == zone_number(&state.settings.zone) {
            let rank = seat.rank();
            state
                .readers
                .borrow_mut()
                .observe(seat.addr, rank, now + reads);
        }
    }

    /// Hands what the others have to those who decide.
    fn take_over(&self, now: Instant) {
        let state = &self.state;
        let own = read(&self.saying(now));
        let mut others = state.others.borrow_mut();
        others.expire(now);
        let sum = others.sum(now, &own);
        drop(others);
        let count = state.roster.borrow().count();
        metrics::gauge!("pimentocart_entries_heard").set(count.total.saturating_sub(1) as f64);
        let calls = |server: u16| sum.calls.get(&server).copied().unwrap_or_default();
        state.balance.borrow_mut().set_remote_calls(calls);
        state.readers.borrow_mut().set_zone_size(count.same_zone);
        self.share(now, count);
        let Some(catalog) = state.catalog.borrow().clone() else {
            return;
        };
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            let told = sum.services.get(&number(&service.name));
            let told = told.copied().unwrap_or_default();
            state
                .pools
                .borrow_mut()
                .set_remote(now, &service.name, told);
        }
    }

    /// Takes this entry's part of what all share: the limits that servers name,
    /// and repeats.
    fn share(&self, now: Instant, count: EntryCounts) {
        let state = &self.state;
        let entries = state.entry_count.borrow_mut().record(now, count.total);
        state.budget.borrow_mut().set_entries(entries);
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        state.balance.borrow_mut().set_turns(TurnSchedule {
            entries: number(entries),
            turn_index: number(count.preceding),
            instant: now,
            unix_time: Duration::from_millis(state.clock.wall_ms()),
        });
    }
}
