//! Fair shares of services without engines, whose servers reject calls beyond
//! their queue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use policy::peer_load::{EXPIRY_INTERVALS, LoadReport, PeerLoads, Scope};
use policy::shares::fair_rate;
use policy::shares::rates::{
    GroupRates, REPORTED_WORKSPACES, ShareDecision, ShareGroup, WorkspaceRates,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const GROUP: ShareGroup = ShareGroup {
    service: 1,
    tier: 1,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Entries in front of servers that complete `capacity` calls a second and
/// reject what exceeds a queue of 72.
struct Simulation {
    start: Instant,
    random: Pcg64,
    entries: Vec<WorkspaceRates>,
    /// Whether entries exchange their rates, every second.
    gossip: bool,
    queue: f64,
    capacity: f64,
    /// Calls, rejected by servers, refused by entries, for each workspace.
    calls: BTreeMap<u32, [u32; 3]>,
}

impl Simulation {
    fn new(entries: usize, gossip: bool) -> Self {
        Self {
            start: Instant::now(),
            random: Pcg64::seed_from_u64(3),
            entries: (0..entries).map(|_| WorkspaceRates::default()).collect(),
            gossip,
            queue: 0.0,
            capacity: 300.0,
            calls: BTreeMap::new(),
        }
    }

    /// Runs from `from` to `until`, in milliseconds, with these calls a second
    /// of each workspace; entries decide if `fair`.
    fn run(&mut self, from: u64, until: u64, rates: &[f64], fair: bool) {
        for t in from..until {
            let now = self.start + ms(t);
            self.queue = (self.queue - self.capacity / 1e3).max(0.0);
            if self.gossip && t % 1_000 == 0 {
                self.exchange(now);
            }
            for (workspace, rate) in rates.iter().enumerate() {
                if self.random.random::<f64>() < rate / 1e3 {
                    let workspace = u32::try_from(workspace).expect("small");
                    self.call(now, workspace, fair);
                }
            }
        }
    }

    fn call(&mut self, now: Instant, workspace: u32, fair: bool) {
        let entry = self.random.random_range(0..self.entries.len());
        let entry = &mut self.entries[entry];
        let seen = self.calls.entry(workspace).or_default();
        seen[0] += 1;
        let decision = entry.decide(now, GROUP, workspace, self.random.random());
        if fair && decision != ShareDecision::Send {
            seen[2] += 1;
        } else if self.queue >= 72.0 {
            entry.record_rejection(now, GROUP);
            entry.record_rejected_call(now, GROUP);
            seen[1] += 1;
        } else {
            self.queue += 1.0;
        }
    }

    fn exchange(&mut self, now: Instant) {
        let own: Vec<_> = self.entries.iter_mut().map(|e| e.own_rates(now)).collect();
        for (n, entry) in self.entries.iter_mut().enumerate() {
            let mut sum: BTreeMap<ShareGroup, GroupRates> = BTreeMap::new();
            for (group, rates) in own
                .iter()
                .enumerate()
                .filter(|(m, _)| *m != n)
                .flat_map(|o| o.1)
            {
                sum.entry(*group).or_default().add(rates);
            }
            entry.set_remote(now, sum);
        }
    }

    /// Served part of the calls of workspaces from `first` on.
    fn served(&self, first: u32) -> f64 {
        let calls = self.calls.range(first..).map(|(_, calls)| calls);
        let (all, lost) = calls.fold((0, 0), |(all, lost), [calls, rejected, refused]| {
            (all + calls, lost + rejected + refused)
        });
        1.0 - f64::from(lost) / f64::from(all)
    }

    fn served_calls(&self) -> u32 {
        let served = self
            .calls
            .values()
            .map(|[all, rejected, refused]| all - rejected - refused);
        served.sum()
    }
}

/// 22 calm workspaces with 10 calls a second each, after two that flood.
fn flood() -> Vec<f64> {
    let mut rates = vec![10.0; 24];
    rates[0] = 140.0;
    rates[1] = 90.0;
    rates
}

/// Two workspaces flood full servers for ten seconds. Without shares, the
/// rejections hit all alike: a third of the calls of calm workspaces.
#[rstest]
#[case::one_entry(1, false)]
#[case::without_gossip(8, false)]
#[case::with_gossip(30, true)]
fn rejections_fall_on_flood(#[case] entries: usize, #[case] gossip: bool) {
    let mut with = Simulation::new(entries, gossip);
    let mut without = Simulation::new(entries, gossip);
    for (simulation, fair) in [(&mut with, true), (&mut without, false)] {
        simulation.run(0, 3_000, &[10.0; 24], fair);
        simulation.run(3_000, 13_000, &flood(), fair);
    }
    let (calm, before) = (with.served(2), without.served(2));
    assert!(before < 0.85, "{before}");
    assert!(
        calm > 0.95,
        "{calm} of the calm calls were served, {before} before"
    );
    let total = f64::from(with.served_calls()) / f64::from(without.served_calls());
    assert!(total > 0.98, "{total} of the calls served without shares");
}

/// No rejection within the last second: there is room, so nobody is refused,
/// whatever it sends.
#[test]
fn no_refusal_with_room() {
    let mut simulation = Simulation::new(4, true);
    simulation.run(0, 5_000, &[200.0, 10.0, 10.0], true);
    assert_eq!(simulation.calls.values().map(|c| c[2]).sum::<u32>(), 0);
    let mut rates = WorkspaceRates::default();
    let now = Instant::now();
    rates.record_rejection(now, GROUP);
    for _ in 0..100 {
        rates.decide(now, GROUP, 1, 0.99);
    }
    for _ in 0..100 {
        rates.record_rejected_call(now, GROUP);
    }
    let refused = |decision| matches!(decision, ShareDecision::Refuse { .. });
    assert!(refused(rates.decide(now, GROUP, 1, 0.0)));
    assert!(!refused(rates.decide(now + ms(1_001), GROUP, 1, 0.0)));
}

/// A workspace below its fair rate is never refused, even for the least random
/// number, and those of another tier share nothing with it.
#[test]
fn below_fair_rate_is_sent() {
    let (mut rates, now) = (WorkspaceRates::default(), Instant::now());
    for n in 0..200 {
        rates.decide(now + ms(n), GROUP, 1, 0.99);
        if n % 20 == 0 {
            rates.decide(now + ms(n), GROUP, 2, 0.99);
        }
    }
    for _ in 0..100 {
        rates.record_rejection(now + ms(200), GROUP);
        rates.record_rejected_call(now + ms(200), GROUP);
    }
    let lower = ShareGroup { tier: 2, ..GROUP };
    let now = now + ms(201);
    assert_eq!(rates.decide(now, GROUP, 2, 0.0), ShareDecision::Send);
    assert_eq!(rates.decide(now, lower, 1, 0.0), ShareDecision::Send);
    let ShareDecision::Refuse { rate, fair, after } = rates.decide(now, GROUP, 1, 0.0) else {
        panic!("the flood is not refused");
    };
    assert!(rate > fair && after >= ms(200) && after <= ms(4_000));
}

/// Workspaces with calls to a service must not fill an entry's memory, nor
/// their rates a load report.
#[test]
fn bounded_state() {
    let (mut rates, now) = (WorkspaceRates::default(), Instant::now());
    rates.record_rejection(now, GROUP);
    for workspace in 0..46_000 {
        rates.decide(now, GROUP, workspace, 0.99);
    }
    assert!(rates.len() <= 1_024);
    let reported = rates.own_rates(now);
    let [(_, group)] = &reported[..] else {
        panic!("{reported:?}");
    };
    assert_eq!(group.workspaces.len(), REPORTED_WORKSPACES);
    assert!(group.other_count > 0 && group.other_rate > 0.0);
    assert!(rates.own_rates(now + Duration::from_secs(20)).is_empty());
    assert!(rates.is_empty());
}

fn report(incarnation: u64, seq: u32, rate: f64) -> LoadReport {
    let rates = GroupRates {
        workspaces: [(1, rate)].into(),
        sent: rate,
        ..GroupRates::default()
    };
    LoadReport {
        incarnation,
        seq,
        entries: 1,
        interval: ms(100),
        workspaces: vec![(GROUP, rates)],
        ..LoadReport::default()
    }
}

/// Reports arrive late, twice or no longer. None of them may count twice, or
/// for longer than a report's age.
#[test]
fn late_and_doubled_reports_change_nothing() {
    let (mut peers, now) = (PeerLoads::default(), Instant::now());
    let rate = |peers: &PeerLoads, now| {
        let total = peers.sum(now, &LoadReport::default());
        total
            .workspaces
            .get(&GROUP)
            .map_or(0.0, |g| g.workspaces[&1])
    };
    peers.observe(now, report(1, 2, 50.0));
    peers.observe(now, report(2, 1, 30.0));
    for late in [report(1, 1, 900.0), report(1, 2, 50.0), report(2, 1, 30.0)] {
        peers.observe(now + ms(50), late);
    }
    assert_eq!(rate(&peers, now), 80.0);
    peers.observe(now + ms(300), report(1, 3, 10.0));
    let later = now + ms(100) * EXPIRY_INTERVALS;
    peers.expire(later);
    assert_eq!(rate(&peers, later), 10.0);
}

/// Relays sum the rates of their zone; an entry subtracts its own from the sum
/// of all.
#[test]
fn relays_sum_rates() {
    let (mut relay, now) = (PeerLoads::default(), Instant::now());
    relay.observe(now, report(1, 1, 50.0));
    let zone = relay.sum_zone(now, &report(2, 1, 30.0));
    assert_eq!(zone.workspaces[0].1.workspaces[&1], 80.0);
    let all = LoadReport {
        scope: Scope::All,
        ..relay.sum_all(now, &report(2, 1, 30.0))
    };
    let mut entry = PeerLoads::default();
    entry.observe(now, all);
    let others = entry.sum(now, &report(1, 1, 50.0));
    assert_eq!(others.workspaces[&GROUP].workspaces[&1], 30.0);
    assert_eq!(others.workspaces[&GROUP].sent, 30.0);
}

#[rstest]
#[case::room(&[1.0, 2.0], 3.0, f64::INFINITY)]
#[case::flood(&[1.0, 10.0], 5.0, 4.0)]
#[case::all_above(&[5.0, 10.0], 4.0, 2.0)]
#[case::nothing(&[5.0], 0.0, 0.0)]
fn fair_rate_is_max_min(#[case] rates: &[f64], #[case] total: f64, #[case] fair: f64) {
    assert_eq!(fair_rate(rates.to_vec(), total), fair);
}
