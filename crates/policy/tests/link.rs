//! When an entry sends callers away from its host's link.

use std::time::{Duration, Instant};

use policy::link::LinkLoad;

/// Prompts of 9,200 bytes come at a link of ten million bits a second: at 30 a
/// second it has room, at 80 callers go elsewhere, and they are taken again
/// only when well less comes, not at each lull.
#[test]
fn full_in_a_burst() {
    let mut link = LinkLoad::new(10.0);
    let mut now = Instant::now();
    let mut play = |count: u32, ms: u64| {
        for _ in 0..count {
            now += Duration::from_millis(ms);
            link.record_bytes(now, 9_200);
        }
        link.congested(now)
    };
    assert!(!play(150, 33));
    assert!(play(300, 12));
    assert!(play(120, 25));
    assert!(!play(100, 100));
}

#[test]
fn wide_link_never_full() {
    let mut link = LinkLoad::new(1_000.0);
    let mut now = Instant::now();
    for _ in 0..1_000 {
        now += Duration::from_millis(5);
        link.record_bytes(now, 9_200);
    }
    assert!(!link.congested(now));
}
