//! Fleets of many sizes that start, lose entries and go on, by the decisions
//! alone: what the store is asked and what each entry sends must not grow with
//! the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::discovery::{DiscoveryStep, PeerDiscovery};
use policy::peer_load::{EXPIRY_INTERVALS, Intervals, LoadReport, PeerLoads, Scope};
use policy::readers::ZoneReaders;
use policy::roster::{EntryInfo, MAX_FULL_MESH, RELAYS_PER_ZONE, Roster, RosterEntry, Targets};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const ZONES: u32 = 5;

/// Of each zone's entries, one in so many has a wide link.
const WIDE: usize = 7;

/// The time that a datagram takes, and between two looks at the fleet.
const STEP: Duration = Duration::from_millis(10);

/// Each entry is looked at once in so many steps.
const LOOK: usize = 5;

/// An entry counts as there for so long after it was heard at the least.
const HEARD: Duration = Duration::from_secs(8);

/// Long enough for all to have been told by their relays.
const WARM: Duration = Duration::from_secs(20);

/// Entries that all the others know from their settings.
const SEEDS: usize = 3;

/// How often two datagrams in a hundred are lost.
const LOSS: f64 = 0.02;

#[derive(Clone)]
enum Message {
    /// What the sender has; asks for an answer where it is said.
    Said(EntryInfo, LoadReport, bool),
    /// Entries with the time that is left to them, how many there are, and what
    /// all have.
    Answer(
        Vec<RosterEntry>,
        policy::roster::EntryCounts,
        Option<LoadReport>,
    ),
}

struct Entry {
    seat: EntryInfo,
    starts: Instant,
    finder: PeerDiscovery,
    roster: Roster,
    readers: ZoneReaders,
    others: PeerLoads,
    next: Instant,
    seq: u32,
    life: u64,
    /// Calls to the directory, datagrams sent and heard.
    calls: usize,
    sent: usize,
    heard: usize,
    /// When it first went by itself to the store's tables, if it has.
    read: bool,
}

impl Entry {
    fn new(number: usize, starts: Instant, first: bool) -> Self {
        let seat = seat(number);
        let seeds = (0..SEEDS).map(|n| seat_of(n).addr);
        let seeds = seeds.filter(|addr| *addr != seat.addr).collect();
        Self {
            seat,
            starts,
            finder: PeerDiscovery::new(starts, seeds, first),
            roster: Roster::new(seat, false),
            readers: ZoneReaders::new(seat.rank()),
            others: PeerLoads::default(),
            next: starts,
            seq: 0,
            life: number as u64,
            calls: 0,
            sent: 0,
            heard: 0,
            read: false,
        }
    }

    fn saying(&mut self, every: Duration) -> LoadReport {
        self.seq += 1;
        LoadReport {
            incarnation: self.life,
            seq: self.seq,
            zone: self.seat.zone,
            entries: 1,
            interval: every,
            ..LoadReport::default()
        }
    }

    fn note(&mut self, now: Instant, seat: EntryInfo, left: Duration) {
        if seat.addr != self.seat.addr {
            self.roster.insert(seat, now + left);
            if seat.zone == self.seat.zone {
                self.readers.observe(seat.addr, seat.rank(), now + left);
            }
        }
    }
}

fn seat_of(number: usize) -> EntryInfo {
    let [_, _, a, b] = u32::try_from(number + 1).expect("few").to_be_bytes();
    let zone = u32::try_from(number).expect("few") % ZONES;
    EntryInfo {
        addr: SocketAddr::from(([10, u8::try_from(zone).expect("few"), a, b], 7340)),
        zone,
        link_mbps: if number / ZONES as usize % WIDE == WIDE - 1 {
            1000
        } else {
            20
        },
    }
}

fn seat(number: usize) -> EntryInfo {
    seat_of(number)
}

/// Entries that speak with each other and with a directory in the store.
struct Fleet {
    entries: Vec<Entry>,
    places: BTreeMap<SocketAddr, usize>,
    directory: BTreeSet<SocketAddr>,
    mail: Vec<(usize, SocketAddr, Message)>,
    now: Instant,
    tick: usize,
    draw: StdRng,
    /// Entries that neither send nor hear.
    dead: BTreeSet<usize>,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut draw = StdRng::seed_from_u64(seed);
        let mut starts = || now + Duration::from_millis(draw.random_range(0..300));
        let entries = (0..size).map(|n| Entry::new(n, starts(), true));
        let entries: Vec<Entry> = entries.collect();
        let places = entries.iter().enumerate().map(|(n, e)| (e.seat.addr, n));
        Self {
            places: places.collect(),
            entries,
            directory: BTreeSet::new(),
            mail: Vec::new(),
            now,
            tick: 0,
            draw,
            dead: BTreeSet::new(),
        }
    }

    /// Ends all entries and starts them again in the same moment, those on thin
    /// hosts a little later.
    fn restart(&mut self) {
        let now = self.now;
        for n in 0..self.entries.len() {
            let wide = seat(n).link_mbps > 20;
            let spread = self.draw.random_range(0..20);
            let late = Duration::from_millis(if wide { spread } else { 100 + 5 * spread });
            self.entries[n] = Entry::new(n, now + late, false);
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let mail = std::mem::take(&mut self.mail);
            for (to, from, message) in mail {
                if !self.dead.contains(&to) && self.entries[to].starts <= self.now {
                    self.take(to, from, message);
                }
            }
            for n in (self.tick % LOOK..self.entries.len()).step_by(LOOK) {
                if !self.dead.contains(&n) && self.entries[n].starts <= self.now {
                    self.step(n);
                }
            }
            self.now += STEP;
            self.tick += 1;
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let addr = self.entries[from].seat.addr;
        self.entries[from].sent += 1;
        if let Some(to) = self.places.get(&to).copied()
            && !self.draw.random_bool(LOSS)
        {
            self.mail.push((to, addr, message));
        }
    }

    fn take(&mut self, to: usize, from: SocketAddr, message: Message) {
        let now = self.now;
        let entry = &mut self.entries[to];
        entry.heard += 1;
        match message {
            Message::Said(seat, saying, asks) => {
                entry.note(now, seat, HEARD.max(saying.interval * EXPIRY_INTERVALS));
                entry.roster.mark_heard(from);
                entry.others.observe(now, saying);
                if asks {
                    let own = entry.saying(HEARD);
                    let age = entry.read.then_some(Duration::ZERO);
                    let named = entry.roster.entries_for(now, &seat, age);
                    let count = entry
                        .roster
                        .count_for(&seat, &entry.others.entries_by_zone());
                    let all = entry.others.sum_all(now, &own);
                    self.send(to, from, Message::Answer(named, count, Some(all)));
                }
            }
            Message::Answer(named, count, sums) => {
                entry.finder.peer_answered(now);
                entry.roster.record_counts(now, count);
                for named in named {
                    entry.note(now, named.info, named.remaining);
                }
                entry.roster.mark_heard(from);
                if let Some(sums) = sums {
                    entry.others.observe(now, sums);
                }
            }
        }
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        let entry = &mut self.entries[n];
        let (first, relayed) = (entry.roster.is_relay(), entry.roster.uses_relays());
        match entry.finder.next_step(now, first, relayed) {
            DiscoveryStep::Ask(addr) => {
                let seat = entry.seat;
                let said = entry.saying(Duration::from_secs(1));
                self.send(n, addr, Message::Said(seat, said, true));
            }
            DiscoveryStep::Announce => {
                entry.calls += 1;
                entry.finder.announce_finished(now, true);
                self.directory.insert(self.entries[n].seat.addr);
            }
            DiscoveryStep::ReadDirectory => {
                entry.calls += 1;
                let own = entry.seat.addr;
                let found = self.directory.iter().copied().filter(|a| *a != own);
                let found = found.collect();
                self.entries[n].finder.directory_read(now, Some(found));
            }
            DiscoveryStep::Wait(_) => {}
        }
        let entry = &mut self.entries[n];
        entry.read |= entry.finder.is_settled(now) && entry.readers.preferred_peer(now).is_none();
        if now >= entry.next {
            self.speak(n);
        }
    }

    fn speak(&mut self, n: usize) {
        let now = self.now;
        let entry = &mut self.entries[n];
        entry.roster.expire(now);
        entry.others.expire(now);
        let seat = entry.seat;
        match entry.roster.targets() {
            Targets::FullMesh {
                same_zone: near,
                other_zones: far,
            } => {
                let every = Intervals::new(near.len() * 100, far.len() * 100).other_zones;
                entry.next = now + every;
                let said = entry.saying(every);
                for to in near.into_iter().chain(far) {
                    self.send(n, to, Message::Said(seat, said.clone(), false));
                }
            }
            Targets::Relays {
                same_zone: near,
                other_zones: far,
                members,
            } => {
                let every = Intervals::to_relays(members).same_zone;
                entry.next = now + every;
                let said = entry.saying(every);
                let sum = entry.others.sum_zone(now, &said);
                for to in near {
                    self.send(n, to, Message::Said(seat, said.clone(), true));
                }
                for to in far {
                    self.send(n, to, Message::Said(seat, sum.clone(), false));
                }
            }
        }
    }

    fn live(&self) -> impl Iterator<Item = &Entry> {
        let live = self.entries.iter().enumerate();
        live.filter(|(n, _)| !self.dead.contains(n)).map(|(_, e)| e)
    }

    /// Calls to the directory, and entries that went to the store's tables by
    /// themselves.
    fn calls(&self) -> (usize, usize) {
        let calls = self.live().map(|e| e.calls).sum();
        (calls, self.live().filter(|e| e.read).count())
    }

    /// The largest number of datagrams a second that an entry has sent since
    /// `before`, at those that are no relays and at all.
    fn sent(&self, before: &[usize], span: Duration) -> (f64, f64) {
        let rate = |(e, before): (&Entry, &usize)| {
            let rate = (e.sent - before) as f64 / span.as_secs_f64();
            (rate, e.roster.is_relay())
        };
        let rates: Vec<(f64, bool)> = self.entries.iter().zip(before).map(rate).collect();
        let most = |rates: Vec<f64>| rates.into_iter().fold(0.0, f64::max);
        let members = rates.iter().filter(|(_, relay)| !relay).map(|(r, _)| *r);
        (
            most(members.collect()),
            most(rates.iter().map(|(r, _)| *r).collect()),
        )
    }
}

/// Guards against starts that cost the store calls for each entry, and against
/// zones whose entries do not agree on who reads for them.
#[rstest]
#[case::fleet_300(300, 1)]
#[case::fleet_1000(1000, 2)]
#[case::fleet_2000(2000, 3)]
fn start_costs_a_few_calls(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(WARM);
    let (calls, readers) = fleet.calls();
    // Two of each zone use the directory, and a few more that started early.
    assert!(calls <= 60, "calls to the directory: {calls}");
    assert!(readers <= 30, "entries that read: {readers}");
    let now = fleet.now;
    for entry in &mut fleet.entries {
        let all = entry.roster.count().total;
        assert!(
            all <= size && all + size / 100 >= size,
            "{all} at {:?}",
            entry.seat
        );
        let asked = entry.readers.preferred_peer(now);
        let wide = |addr| fleet.places.get(addr).map(|n| seat(*n).link_mbps);
        assert_eq!(asked.as_ref().map_or(Some(1000), wide), Some(1000));
    }
    let asked: BTreeSet<_> = fleet
        .entries
        .iter_mut()
        .filter_map(|e| Some((e.seat.zone, e.readers.preferred_peer(now)?)))
        .collect();
    assert_eq!(asked.len(), ZONES as usize, "{asked:?}");
}

/// Guards against a fleet whose entries are all killed and turn to the store one
/// by one.
#[rstest]
#[case::fleet_300(300, 11)]
#[case::fleet_1000(1000, 12)]
#[case::fleet_2000(2000, 13)]
fn restart_costs_a_few_calls(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(Duration::from_secs(3));
    fleet.restart();
    fleet.run(Duration::from_secs(6));
    let (calls, readers) = fleet.calls();
    assert!(calls <= 60, "calls to the directory: {calls}");
    // Those with wide links are up before those that all know.
    assert!(readers <= size / 4, "entries that read: {readers}");
}

/// Guards against what an entry sends growing with the fleet.
#[rstest]
#[case::fleet_300(300, 4)]
#[case::fleet_1000(1000, 5)]
#[case::fleet_2000(2000, 6)]
fn datagrams_do_not_grow(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(WARM);
    let before: Vec<usize> = fleet.entries.iter().map(|e| e.sent).collect();
    let span = Duration::from_secs(12);
    fleet.run(span);
    let (member, relay) = fleet.sent(&before, span);
    assert!(member <= 4.0, "an entry sends {member} a second");
    assert!(relay <= 140.0, "a relay sends {relay} a second");
}

/// Guards against an entry that hears of others only by way of its relays and
/// does not learn what all of them have.
#[test]
fn sums_reach_all() {
    let mut fleet = Fleet::new(400, 7);
    fleet.run(Duration::from_secs(12));
    let now = fleet.now;
    for entry in &mut fleet.entries {
        let own = entry.saying(HEARD);
        let entries = entry.others.sum(now, &own).entries;
        assert!(
            (395..=399).contains(&entries),
            "{entries} at {:?}",
            entry.seat
        );
    }
}

/// Guards against a zone that goes on telling relays which have ended.
#[test]
fn ended_relays_are_replaced() {
    let mut fleet = Fleet::new(300, 8);
    fleet.run(Duration::from_secs(6));
    let relays: Vec<usize> = (0..300)
        .filter(|n| fleet.entries[*n].roster.is_relay())
        .collect();
    assert_eq!(relays.len(), RELAYS_PER_ZONE * ZONES as usize);
    fleet.dead.extend(&relays);
    fleet.run(Duration::from_secs(45));
    let dead: BTreeSet<SocketAddr> = relays.iter().map(|n| seat(*n).addr).collect();
    let live = fleet.entries.iter_mut();
    for entry in live.filter(|e| !dead.contains(&e.seat.addr)) {
        let Targets::Relays {
            same_zone: near, ..
        } = entry.roster.targets()
        else {
            panic!(
                "{} entries are too many to tell all",
                entry.roster.count().total
            );
        };
        let live = !near.is_empty() && near.iter().all(|a| !dead.contains(a));
        assert!(live, "{near:?} at {:?}", entry.seat);
    }
    let relays = fleet.live().filter(|e| e.roster.is_relay()).count();
    assert_eq!(relays, RELAYS_PER_ZONE * ZONES as usize);
}

/// Guards against small fleets that lose what they know of each other's calls
/// to a relay.
#[test]
fn few_tell_all() {
    let mut fleet = Fleet::new(MAX_FULL_MESH, 9);
    fleet.run(Duration::from_secs(6));
    for entry in &mut fleet.entries {
        let Targets::FullMesh {
            same_zone: near,
            other_zones: far,
        } = entry.roster.targets()
        else {
            panic!("relayed at {:?}", entry.seat);
        };
        assert_eq!(near.len() + far.len(), MAX_FULL_MESH - 1);
    }
}

/// Guards against entries that never find each other where the hosts that their
/// settings name are gone: the store's directory has to do.
#[test]
fn directory_stands_in_for_lost_hosts() {
    let mut fleet = Fleet::new(120, 10);
    fleet.dead.extend(0..SEEDS);
    fleet.run(Duration::from_secs(40));
    for entry in fleet.live() {
        let all = entry.roster.count().total;
        assert_eq!(all, 120 - SEEDS, "at {:?}", entry.seat);
    }
}

/// Guards against a sum that counts entries twice: those of a zone that has told
/// its sum by two relays, and by themselves.
#[test]
fn sums_count_each_once() {
    let now = Instant::now();
    let every = Duration::from_secs(1);
    let said = |life, zone, scope, entries| LoadReport {
        incarnation: life,
        zone,
        scope,
        entries,
        interval: every,
        ..LoadReport::default()
    };
    let mut others = PeerLoads::default();
    others.observe(now, said(1, 1, Scope::Own, 1));
    others.observe(now, said(2, 1, Scope::Zone, 40));
    others.observe(now, said(3, 1, Scope::Zone, 38));
    others.observe(now, said(4, 2, Scope::Own, 1));
    let own = said(9, 2, Scope::Own, 1);
    assert_eq!(others.sum(now, &own).entries, 41);
    assert_eq!(others.sum_zone(now, &own).entries, 2);
    assert_eq!(others.sum_all(now, &own).entries, 42);
    others.observe(now, said(2, 1, Scope::All, 50));
    assert_eq!(others.sum(now, &own).entries, 49);
    assert_eq!(others.sum_all(now, &own).entries, 42);
}
