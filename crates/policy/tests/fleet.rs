//! Simulates fleets of many sizes that start, lose entries and continue, with the
//! decision code only. Neither the calls to the store nor the traffic of each entry may
//! grow with the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
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

/// One entry in this many of each zone has a wide link.
const WIDE_LINK_EVERY: usize = 7;

/// Latency of a datagram, and the length of a simulation step.
const STEP: Duration = Duration::from_millis(10);

/// Each entry is processed once in this many steps.
const STEPS_PER_CHECK: usize = 5;

/// Minimum time for which an entry counts as present after it was heard.
const MIN_PRESENCE: Duration = Duration::from_secs(8);

/// Time after which all entries have received counts from their relays.
const WARM_UP: Duration = Duration::from_secs(20);

/// Entries that all others know from their settings.
const SEEDS: usize = 3;

/// Fraction of datagrams that are lost.
const LOSS_RATE: f64 = 0.02;

#[derive(Clone)]
enum Message {
    /// The sender's load; the last field says whether an answer is requested.
    Report(EntryInfo, LoadReport, bool),
    /// The listed entries, the entry counts, and the total load.
    Answer(
        Vec<RosterEntry>,
        policy::roster::EntryCounts,
        Option<LoadReport>,
    ),
}

struct Entry {
    info: EntryInfo,
    starts_at: Instant,
    finder: PeerDiscovery,
    roster: Roster,
    readers: ZoneReaders,
    peer_loads: PeerLoads,
    next_report: Instant,
    seq: u32,
    incarnation: u64,
    /// Calls to the directory, datagrams sent, and datagrams received.
    calls: usize,
    sent: usize,
    received: usize,
    /// Whether it has read the store's tables itself.
    read: bool,
}

impl Entry {
    fn new(number: usize, starts_at: Instant, first: bool) -> Self {
        let info = info_of(number);
        let seeds = (0..SEEDS).map(|n| entry_info(n).addr);
        let seeds = seeds.filter(|addr| *addr != info.addr).collect();
        Self {
            info,
            starts_at,
            finder: PeerDiscovery::new(starts_at, seeds, first),
            roster: Roster::new(info, false),
            readers: ZoneReaders::new(info.rank()),
            peer_loads: PeerLoads::default(),
            next_report: starts_at,
            seq: 0,
            incarnation: number as u64,
            calls: 0,
            sent: 0,
            received: 0,
            read: false,
        }
    }

    fn report(&mut self, interval: Duration) -> LoadReport {
        self.seq += 1;
        LoadReport {
            incarnation: self.incarnation,
            seq: self.seq,
            zone: self.info.zone,
            entries: 1,
            interval,
            ..LoadReport::default()
        }
    }

    fn note(&mut self, now: Instant, info: EntryInfo, left: Duration) {
        if info.addr != self.info.addr {
            self.roster.insert(info, now + left);
            if info.zone == self.info.zone {
                self.readers.observe(info.addr, info.rank(), now + left);
            }
        }
    }
}

fn entry_info(number: usize) -> EntryInfo {
    let [_, _, a, b] = u32::try_from(number + 1).expect("few").to_be_bytes();
    let zone = u32::try_from(number).expect("few") % ZONES;
    EntryInfo {
        addr: SocketAddr::from(([10, u8::try_from(zone).expect("few"), a, b], 7340)),
        zone,
        link_mbps: if number / ZONES as usize % WIDE_LINK_EVERY == WIDE_LINK_EVERY - 1 {
            1000
        } else {
            20
        },
    }
}

fn info_of(number: usize) -> EntryInfo {
    entry_info(number)
}

/// Entries that exchange messages and use a directory in the store.
struct Fleet {
    entries: Vec<Entry>,
    index_by_addr: BTreeMap<SocketAddr, usize>,
    directory: BTreeSet<SocketAddr>,
    in_flight: Vec<(usize, SocketAddr, Message)>,
    now: Instant,
    tick: usize,
    rng: StdRng,
    /// Entries that neither send nor receive.
    dead: BTreeSet<usize>,
    /// Entries whose datagrams are all lost, in both directions.
    cut_off: BTreeSet<usize>,
    /// Hash of all datagrams in the order in which they were sent.
    sent_hash: DefaultHasher,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut random_start = || now + Duration::from_millis(rng.random_range(0..300));
        let entries = (0..size).map(|n| Entry::new(n, random_start(), true));
        let entries: Vec<Entry> = entries.collect();
        let index_by_addr = entries.iter().enumerate().map(|(n, e)| (e.info.addr, n));
        Self {
            index_by_addr: index_by_addr.collect(),
            entries,
            directory: BTreeSet::new(),
            in_flight: Vec::new(),
            now,
            tick: 0,
            rng,
            dead: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            sent_hash: DefaultHasher::new(),
        }
    }

    /// Restarts all entries at once; those with narrow links come up a little later.
    fn restart(&mut self) {
        let now = self.now;
        for n in 0..self.entries.len() {
            let wide = info_of(n).link_mbps > 20;
            let spread = self.rng.random_range(0..20);
            let late = Duration::from_millis(if wide { spread } else { 100 + 5 * spread });
            self.entries[n] = Entry::new(n, now + late, false);
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let in_flight = std::mem::take(&mut self.in_flight);
            for (to, from, message) in in_flight {
                if !self.dead.contains(&to) && self.entries[to].starts_at <= self.now {
                    self.receive(to, from, message);
                }
            }
            for n in (self.tick % STEPS_PER_CHECK..self.entries.len()).step_by(STEPS_PER_CHECK) {
                if !self.dead.contains(&n) && self.entries[n].starts_at <= self.now {
                    self.step(n);
                }
            }
            self.now += STEP;
            self.tick += 1;
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let addr = self.entries[from].info.addr;
        self.entries[from].sent += 1;
        (self.tick, from, to).hash(&mut self.sent_hash);
        if let Some(to) = self.index_by_addr.get(&to).copied()
            && !self.rng.random_bool(LOSS_RATE)
            && !self.cut_off.contains(&from)
            && !self.cut_off.contains(&to)
        {
            self.in_flight.push((to, addr, message));
        }
    }

    fn receive(&mut self, to: usize, from: SocketAddr, message: Message) {
        let now = self.now;
        let entry = &mut self.entries[to];
        entry.received += 1;
        match message {
            Message::Report(info, report, wants_answer) => {
                entry.note(
                    now,
                    info,
                    MIN_PRESENCE.max(report.interval * EXPIRY_INTERVALS),
                );
                entry.roster.mark_heard(from);
                entry.peer_loads.observe(now, report);
                if wants_answer {
                    let own = entry.report(MIN_PRESENCE);
                    let age = entry.read.then_some(Duration::ZERO);
                    let listed = entry.roster.entries_for(now, &info, age);
                    let count = entry
                        .roster
                        .count_for(&info, &entry.peer_loads.entries_by_zone());
                    let all = entry.peer_loads.sum_all(now, &own);
                    self.send(to, from, Message::Answer(listed, count, Some(all)));
                }
            }
            Message::Answer(listed, count, sums) => {
                entry.finder.peer_answered(now);
                entry.roster.record_counts(now, count);
                for listed_entry in listed {
                    entry.note(now, listed_entry.info, listed_entry.remaining);
                }
                entry.roster.mark_heard(from);
                if let Some(sums) = sums {
                    entry.peer_loads.observe(now, sums);
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
                let info = entry.info;
                let report = entry.report(Duration::from_secs(1));
                self.send(n, addr, Message::Report(info, report, true));
            }
            DiscoveryStep::Announce => {
                entry.calls += 1;
                entry.finder.announce_finished(now, true);
                self.directory.insert(self.entries[n].info.addr);
            }
            DiscoveryStep::ReadDirectory => {
                entry.calls += 1;
                let own = entry.info.addr;
                let found = self.directory.iter().copied().filter(|a| *a != own);
                let found = found.collect();
                self.entries[n].finder.directory_read(now, Some(found));
            }
            DiscoveryStep::Wait(_) => {}
        }
        let entry = &mut self.entries[n];
        entry.read |= entry.finder.is_settled(now) && entry.readers.preferred_peer(now).is_none();
        if now >= entry.next_report {
            self.send_report(n);
        }
    }

    fn send_report(&mut self, n: usize) {
        let now = self.now;
        let entry = &mut self.entries[n];
        entry.roster.expire(now);
        entry.peer_loads.expire(now);
        let info = entry.info;
        match entry.roster.targets() {
            Targets::FullMesh {
                same_zone,
                other_zones,
            } => {
                let interval =
                    Intervals::new(same_zone.len() * 100, other_zones.len() * 100).other_zones;
                entry.next_report = now + interval;
                let report = entry.report(interval);
                for to in same_zone.into_iter().chain(other_zones) {
                    self.send(n, to, Message::Report(info, report.clone(), false));
                }
            }
            Targets::Relays {
                same_zone,
                other_zones,
                members,
            } => {
                let interval = Intervals::to_relays(members).same_zone;
                entry.next_report = now + interval;
                let report = entry.report(interval);
                let sum = entry.peer_loads.sum_zone(now, &report);
                for to in same_zone {
                    self.send(n, to, Message::Report(info, report.clone(), true));
                }
                for to in other_zones {
                    self.send(n, to, Message::Report(info, sum.clone(), false));
                }
            }
        }
    }

    /// The entries that are relays.
    fn relays(&self) -> Vec<usize> {
        let relays = (0..self.entries.len()).filter(|n| self.entries[*n].roster.is_relay());
        relays.collect()
    }

    fn live(&self) -> impl Iterator<Item = &Entry> {
        let live = self.entries.iter().enumerate();
        live.filter(|(n, _)| !self.dead.contains(n)).map(|(_, e)| e)
    }

    /// Calls to the directory, and the number of entries that read the store's tables
    /// themselves.
    fn calls(&self) -> (usize, usize) {
        let calls = self.live().map(|e| e.calls).sum();
        (calls, self.live().filter(|e| e.read).count())
    }

    /// The highest datagram rate of an entry since `before`, per second: among entries
    /// that are no relays, and among all.
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

/// Guards against starts with store calls for each entry, and against zones whose
/// entries disagree on the reader.
#[rstest]
#[case::fleet_300(300, 1)]
#[case::fleet_1000(1000, 2)]
#[case::fleet_2000(2000, 3)]
fn start_makes_few_store_calls(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(WARM_UP);
    let (calls, readers) = fleet.calls();
    // Two entries of each zone use the directory, and a few more that started early.
    assert!(calls <= 60, "calls to the directory: {calls}");
    assert!(readers <= 30, "entries that read: {readers}");
    let now = fleet.now;
    for entry in &mut fleet.entries {
        let all = entry.roster.count().total;
        assert!(
            all <= size && all + size / 100 >= size,
            "{all} at {:?}",
            entry.info
        );
        let asked = entry.readers.preferred_peer(now);
        let wide = |addr| fleet.index_by_addr.get(addr).map(|n| info_of(*n).link_mbps);
        assert_eq!(asked.as_ref().map_or(Some(1000), wide), Some(1000));
    }
    let asked: BTreeSet<_> = fleet
        .entries
        .iter_mut()
        .filter_map(|e| Some((e.info.zone, e.readers.preferred_peer(now)?)))
        .collect();
    assert_eq!(asked.len(), ZONES as usize, "{asked:?}");
}

/// Guards against all entries of a restarted fleet reading the store themselves.
#[rstest]
#[case::fleet_300(300, 11)]
#[case::fleet_1000(1000, 12)]
#[case::fleet_2000(2000, 13)]
fn restart_makes_few_store_calls(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(Duration::from_secs(3));
    fleet.restart();
    fleet.run(Duration::from_secs(6));
    let (calls, readers) = fleet.calls();
    assert!(calls <= 60, "calls to the directory: {calls}");
    // Entries with wide links start before the seed entries.
    assert!(readers <= size / 4, "entries that read: {readers}");
}

/// Guards against the traffic of an entry growing with the fleet.
#[rstest]
#[case::fleet_300(300, 4)]
#[case::fleet_1000(1000, 5)]
#[case::fleet_2000(2000, 6)]
fn datagram_rate_is_independent_of_fleet_size(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(WARM_UP);
    let before: Vec<usize> = fleet.entries.iter().map(|e| e.sent).collect();
    let span = Duration::from_secs(12);
    fleet.run(span);
    let (member, relay) = fleet.sent(&before, span);
    assert!(member <= 4.0, "an entry sends {member} a second");
    assert!(relay <= 140.0, "a relay sends {relay} a second");
}

/// Guards against an entry that has contact only with its relays missing the load of
/// all entries.
#[test]
fn totals_reach_all_entries() {
    let mut fleet = Fleet::new(400, 7);
    fleet.run(Duration::from_secs(12));
    let now = fleet.now;
    for entry in &mut fleet.entries {
        let own = entry.report(MIN_PRESENCE);
        let entries = entry.peer_loads.sum(now, &own).entries;
        assert!(
            (395..=399).contains(&entries),
            "{entries} at {:?}",
            entry.info
        );
    }
}

/// Guards against a zone that keeps reporting to relays which have ended, and against
/// entries that take another one's place because a few answers of it were lost.
#[rstest]
#[case::seed_8(8)]
#[case::seed_27(27)]
#[case::seed_46(46)]
#[case::seed_160(160)]
#[case::seed_167(167)]
#[case::seed_176(176)]
fn ended_relays_are_replaced(#[case] seed: u64) {
    let mut fleet = Fleet::new(300, seed);
    fleet.run(Duration::from_secs(6));
    let relays = fleet.relays();
    assert_eq!(relays.len(), RELAYS_PER_ZONE * ZONES as usize);
    fleet.dead.extend(&relays);
    fleet.run(Duration::from_secs(45));
    let dead: BTreeSet<SocketAddr> = relays.iter().map(|n| info_of(*n).addr).collect();
    let live = fleet.entries.iter_mut();
    for entry in live.filter(|e| !dead.contains(&e.info.addr)) {
        let Targets::Relays { same_zone, .. } = entry.roster.targets() else {
            panic!(
                "{} entries are too many for a full mesh",
                entry.roster.count().total
            );
        };
        let live = !same_zone.is_empty() && same_zone.iter().all(|a| !dead.contains(a));
        assert!(live, "{same_zone:?} at {:?}", entry.info);
    }
    let relays = fleet.live().filter(|e| e.roster.is_relay()).count();
    assert_eq!(relays, RELAYS_PER_ZONE * ZONES as usize);
}

/// Guards against relays that were unreachable for a few seconds and are not used again.
#[test]
fn unreachable_relays_are_used_again() {
    let mut fleet = Fleet::new(300, 16);
    fleet.run(WARM_UP);
    let relays = fleet.relays();
    let zone_0 = relays.iter().filter(|n| info_of(**n).zone == 0);
    fleet.dead.extend(zone_0);
    fleet.run(Duration::from_secs(6));
    fleet.dead.clear();
    fleet.run(WARM_UP);
    assert_eq!(fleet.relays(), relays);
}

/// Guards against an entry that stops asking all relays because it was cut off for a few
/// seconds, and so knows hardly any load but its own from then on.
#[rstest]
#[case::relays_skipped(4)]
#[case::all_skipped(7)]
#[case::all_expired(30)]
fn cut_off_entry_returns_to_relays(#[case] seconds: u64) {
    let mut fleet = Fleet::new(300, 17);
    fleet.run(WARM_UP);
    let relays = fleet.relays();
    let member = (0..300).rfind(|n| !relays.contains(n));
    let member = member.expect("most are no relays");
    fleet.cut_off.insert(member);
    fleet.run(Duration::from_secs(seconds));
    fleet.cut_off.clear();
    // Until after the sums from before have expired.
    fleet.run(2 * WARM_UP);
    let now = fleet.now;
    let entry = &mut fleet.entries[member];
    let own = entry.report(MIN_PRESENCE);
    let entries = entry.peer_loads.sum(now, &own).entries;
    assert!((295..=299).contains(&entries), "{entries}");
    let Targets::Relays { same_zone, .. } = entry.roster.targets() else {
        panic!("entry {member} reports to all");
    };
    let zone = info_of(member).zone;
    let zone_relays = relays.iter().map(|n| info_of(*n));
    let zone_relays = zone_relays.filter(|info| info.zone == zone);
    let expected: BTreeSet<_> = zone_relays.map(|info| info.addr).collect();
    assert_eq!(same_zone.into_iter().collect::<BTreeSet<_>>(), expected);
}

/// Guards against runs that differ with the same seed, which cannot be traced: entries
/// must not act in the order of a map that draws its own.
#[rstest]
#[case::full_mesh(60, 14)]
#[case::relays(300, 15)]
fn same_seed_repeats_the_run(#[case] size: usize, #[case] seed: u64) {
    let run = || {
        let mut fleet = Fleet::new(size, seed);
        fleet.run(Duration::from_secs(8));
        fleet.sent_hash.finish()
    };
    assert_eq!(run(), run());
}

/// Guards against small fleets that use relays and so lose direct reports of each
/// other's calls.
#[test]
fn small_fleet_uses_full_mesh() {
    let mut fleet = Fleet::new(MAX_FULL_MESH, 9);
    fleet.run(Duration::from_secs(6));
    for entry in &mut fleet.entries {
        let Targets::FullMesh {
            same_zone,
            other_zones,
        } = entry.roster.targets()
        else {
            panic!("relayed at {:?}", entry.info);
        };
        assert_eq!(same_zone.len() + other_zones.len(), MAX_FULL_MESH - 1);
    }
}

/// Guards against entries that never find each other when the seed hosts in their
/// settings are gone: they must use the store's directory.
#[test]
fn directory_replaces_lost_seed_hosts() {
    let mut fleet = Fleet::new(120, 10);
    fleet.dead.extend(0..SEEDS);
    fleet.run(Duration::from_secs(40));
    for entry in fleet.live() {
        let all = entry.roster.count().total;
        assert_eq!(all, 120 - SEEDS, "at {:?}", entry.info);
    }
}

/// Guards against counting entries twice: a zone's sum arrives from two relays, and its
/// entries also report directly.
#[test]
fn totals_count_each_entry_once() {
    let now = Instant::now();
    let interval = Duration::from_secs(1);
    let report = |incarnation, zone, scope, entries| LoadReport {
        incarnation,
        zone,
        scope,
        entries,
        interval,
        ..LoadReport::default()
    };
    let mut peer_loads = PeerLoads::default();
    peer_loads.observe(now, report(1, 1, Scope::Own, 1));
    peer_loads.observe(now, report(2, 1, Scope::Zone, 40));
    peer_loads.observe(now, report(3, 1, Scope::Zone, 38));
    peer_loads.observe(now, report(4, 2, Scope::Own, 1));
    let own = report(9, 2, Scope::Own, 1);
    assert_eq!(peer_loads.sum(now, &own).entries, 41);
    assert_eq!(peer_loads.sum_zone(now, &own).entries, 2);
    assert_eq!(peer_loads.sum_all(now, &own).entries, 42);
    peer_loads.observe(now, report(2, 1, Scope::All, 50));
    assert_eq!(peer_loads.sum(now, &own).entries, 49);
    assert_eq!(peer_loads.sum_all(now, &own).entries, 42);
}
