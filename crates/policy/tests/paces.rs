//! The paces of engines: what entries know, and the classes that follow.

use std::time::{Duration, Instant};

use policy::paces::{MAX_REPORTED, PaceClass, PaceClasses, PaceTable};
use policy::peer_load::{LoadReport, PeerLoads, Scope};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// Paces of 48 engines at 0.6, 1 and 1.6 times the speed of one with 25 ms
/// between events, under loads that lengthen them by up to `noise`.
fn three_speeds(seed: u64, noise: f64) -> Vec<(u16, Duration)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut pace = |engine: u16| {
        let speed = [0.6, 1.0, 1.6][usize::from(engine % 3)];
        let load = 1.0 + rng.random_range(0.0..=noise);
        (engine, ms(25.0 / speed * load))
    };
    (0..48).map(&mut pace).collect()
}

/// Engines three times as fast as others take the same number of streams. Each
/// speed must get its class, also under changing load.
#[test]
fn speeds_form_classes() {
    for seed in 0..50 {
        let mut classes = PaceClasses::default();
        (0..8).for_each(|_| classes.update(&three_speeds(seed, 0.15)));
        assert!(classes.is_active());
        for engine in 0..48 {
            let expected = [PaceClass::Slow, PaceClass::Normal, PaceClass::Fast];
            let expected = expected[usize::from(engine % 3)];
            assert_eq!(classes.class(engine), expected, "{seed} {engine}");
        }
        assert!(classes.speed(2) >= 1.25 && classes.speed(0) <= 0.75);
    }
}

/// Engines that are alike by design differ by their load. If that made
/// classes, prefixes would move with each change of the load.
#[test]
fn alike_engines_have_one_class() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut classes = PaceClasses::default();
    for _ in 0..200 {
        let paces: Vec<(u16, Duration)> = (0..55)
            .map(|engine| (engine, ms(25.0 * rng.random_range(1.0..1.9))))
            .collect();
        classes.update(&paces);
        assert!(!classes.is_active());
        assert_eq!(classes.count(PaceClass::Normal), 55);
        assert!((classes.speed(3) - 1.0).abs() < f64::EPSILON);
    }
}

/// Prefill beside streams lengthens their events to three times the usual on a
/// third of the engines at a time. If that made classes, streams would crowd on
/// the engines that happen to read little.
#[test]
fn loaded_engines_stay_alike() {
    let mut classes = PaceClasses::default();
    for round in 0..200_u16 {
        let paces: Vec<(u16, Duration)> = (0..54)
            .map(|engine| {
                let loaded = (engine + round / 4) % 3 == 0;
                (engine, ms(if loaded { 75.0 } else { 25.0 }))
            })
            .collect();
        classes.update(&paces);
        assert!(!classes.is_active(), "{round}");
    }
}

/// An engine near the bound of a class would change it with each report, and
/// each change leaves cached prefixes behind.
#[test]
fn classes_have_hysteresis() {
    let mut classes = PaceClasses::default();
    let mut changes = 0;
    let mut last = None;
    for round in 0..100 {
        let mut paces = three_speeds(7, 0.0);
        // 1.25 times the median, plus or minus 5%.
        paces[1].1 = ms(25.0 * 1.25 * if round % 2 == 0 { 0.95 } else { 1.05 });
        classes.update(&paces);
        let class = Some(classes.class(1));
        changes += u32::from(last.replace(classes.class(1)) != class);
    }
    assert!(changes <= 2, "{changes}");
}

/// An engine that slows down to 2.5 times its time changes its class, and back
/// when it has recovered; a restarted one is treated as the median.
#[test]
fn slow_period_ends() {
    let mut classes = PaceClasses::default();
    let normal = three_speeds(3, 0.0);
    let mut slowed = normal.clone();
    slowed[2].1 = slowed[2].1.mul_f64(2.5);
    (0..8).for_each(|_| classes.update(&normal));
    assert_eq!(classes.class(2), PaceClass::Fast);
    classes.update(&slowed);
    assert_eq!(classes.class(2), PaceClass::Slow);
    classes.update(&normal);
    assert_eq!(classes.class(2), PaceClass::Fast);
    let restarted: Vec<(u16, Duration)> = normal.into_iter().filter(|(e, _)| *e != 2).collect();
    classes.update(&restarted);
    assert_eq!(classes.class(2), PaceClass::Normal);
    assert!(!classes.is_too_slow(2, Duration::from_millis(1)));
}

/// A pace that no sidecar has stated lately is not reported any more, or the
/// pace of an engine that has changed would circulate forever. A report must
/// fit its datagram, with the newest paces.
#[test]
fn table_forgets_old_paces() {
    let start = Instant::now();
    let mut table = PaceTable::default();
    for engine in 0..100 {
        table.record(
            start + Duration::from_millis(u64::from(engine)),
            engine,
            ms(25.0),
        );
    }
    let now = start + Duration::from_secs(1);
    let recent = table.recent(now);
    assert_eq!(recent.len(), MAX_REPORTED);
    assert_eq!(recent[0].0, 99);
    assert!(recent.iter().all(|(engine, _)| *engine >= 36));
    // The sidecar of a restarted engine knows no pace.
    table.record(now, 99, Duration::ZERO);
    assert_eq!(table.get(now, 99), None);
    assert!(table.recent(now + Duration::from_secs(10)).is_empty());
}

/// The sums of relays must carry the paces as well: in a fleet that uses them,
/// entries hear of others only through sums.
#[test]
fn relays_merge_paces() {
    let now = Instant::now();
    let report = |incarnation, paces: &[(u16, Duration)]| LoadReport {
        incarnation,
        seq: 1,
        interval: Duration::from_secs(1),
        entries: 1,
        paces: paces.to_vec(),
        ..LoadReport::default()
    };
    let own = report(1, &[(1, ms(20.0))]);
    let mut peers = PeerLoads::default();
    peers.observe(now, report(2, &[(1, ms(30.0)), (2, ms(40.0))]));
    let all = peers.sum_all(now, &own);
    assert_eq!(all.scope, Scope::All);
    assert_eq!(all.paces, [(1, ms(25.0)), (2, ms(40.0))]);

    let mut member = PeerLoads::default();
    member.observe(now, all);
    let known = member.sum(now, &report(3, &[])).mean_paces();
    assert_eq!(
        known.into_iter().collect::<Vec<_>>(),
        [(1, ms(25.0)), (2, ms(40.0))]
    );
}
