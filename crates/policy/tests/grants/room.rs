//! Memory, slots and restarts of the engine.

use std::time::{Duration, Instant};

use policy::grants::{Ask, Grants, Report};

use crate::common::{granted, id, ms, prompt, refused, stream};

/// The engine's memory is nearly full. It would preempt a running call for
/// another one, so only what fits is let in.
#[test]
fn full_memory_refuses() {
    let mut grants = Grants::default();
    let now = Instant::now();
    grants.report(
        now,
        Report {
            running: 4,
            unread: 0,
            used: 440_000,
            total: 500_000,
            born: None,
        },
    );
    assert!(refused(grants.ask(now, prompt(1, 20_000))));
    assert!(granted(grants.ask(now, stream(2, 150))));
    let large = Ask {
        parts: vec![(1, 20_000)],
        ..stream(3, 150)
    };
    assert!(refused(grants.ask(now, large)));
}

/// Calls of entries that could not ask are in the engine's report only; they
/// take slots all the same.
#[test]
fn reported_calls_take_slots() {
    let mut grants = Grants::default();
    let now = Instant::now();
    let report = Report {
        running: 32,
        unread: 0,
        used: 0,
        total: 500_000,
        born: None,
    };
    grants.report(now, report);
    assert!(refused(grants.ask(now, stream(1, 150))));
    assert!(granted(grants.ask(now + ms(600), stream(2, 150))));
}

/// A prompt that the engine's memory can never hold goes in at once, where the
/// engine refuses it; waiting, it would hold up what is due after it.
#[test]
fn too_large_holds_nobody_up() {
    let mut grants = Grants::default();
    let now = Instant::now();
    let report = Report {
        running: 0,
        unread: 0,
        used: 0,
        total: 50_000,
        born: None,
    };
    grants.report(now, report);
    let huge = Ask {
        must: true,
        ..prompt(1, 60_000)
    };
    assert!(granted(grants.ask(now, huge)));
    grants.ended(now, id(1), Duration::ZERO);
    assert!(granted(grants.ask(now, prompt(2, 3_000))));
}

/// An engine full of streams crashes and starts again under its name. Its
/// callers' entries notice at different moments; until then the books of the
/// earlier life would say that it has no slot, and that it holds prompts which
/// it would have to read.
#[test]
fn restart_empties_the_books() {
    let now = Instant::now();
    let mut grants = Grants::default();
    let report = |born| Report {
        running: 0,
        unread: 0,
        used: 0,
        total: 500_000,
        born: Some(born),
    };
    grants.report(now, report(1_000));
    for number in 0..32 {
        assert!(granted(grants.ask(now, stream(number, 150))));
    }
    assert!(refused(grants.ask(now, stream(32, 150))));
    assert_eq!(grants.missing(&stream(1, 150).parts), 0);
    grants.report(now, report(2_000));
    assert_eq!(grants.counts(), (0, 0, 0));
    assert_eq!(grants.missing(&stream(1, 150).parts), 500);
    // A late report of the earlier life changes nothing.
    assert!(granted(grants.ask(now, stream(33, 150))));
    grants.report(now, report(1_000));
    assert_eq!(grants.counts(), (0, 1, 0));
}

/// Headers claim prompts of four thousand million tokens, several at once. The
/// engine never holds such a prompt and refuses it itself; the sum of those in
/// flight must not wrap around to next to nothing, or all that comes after
/// them would be let in at once.
#[test]
fn claimed_tokens_do_not_wrap() {
    let now = Instant::now();
    let mut grants = Grants::default();
    for n in 1..4 {
        let claimed = Ask {
            must: true,
            parts: vec![(u64::from(n), u32::MAX - 7), (u64::from(n) + 10, 8)],
            ..stream(n, 500)
        };
        assert!(granted(grants.ask(now, claimed)));
    }
    assert!(refused(grants.ask(now, prompt(9, 3_000))));
}
