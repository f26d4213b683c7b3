//! What servers have said, across lapses of the list.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balance, Listed, Turns, Word};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// How long a server may be missing until it is forgotten.
const WAIT: Duration = Duration::from_secs(2);

const LEAVING: Word = Word {
    leaving: true,
    rest: None,
    limit: None,
};

const REST: Word = Word {
    leaving: false,
    rest: Some(Duration::from_secs(60)),
    limit: None,
};

const LIMIT: Word = Word {
    leaving: false,
    rest: None,
    limit: Some(0.0),
};

fn listed(born: u64) -> Listed {
    Listed {
        id: Rc::from("s"),
        service: Rc::from("app"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        born: Some(born),
    }
}

fn balance(now: Instant) -> Balance {
    let mut balance = Balance::new("a");
    balance.list(now, listed(1));
    balance.share(Turns {
        entries: 1,
        place: 0,
        at: now,
        wall: Duration::from_secs(50),
    });
    balance
}

/// Has the list drop the server for long.
fn lapse(balance: &mut Balance, now: Instant) {
    balance.miss(now, "s", now);
    assert_eq!(balance.forget(now + WAIT, WAIT).len(), 1);
}

/// Guards against a server being called again since the list had dropped it for
/// a while: it is the same life, and what it has said holds.
#[rstest]
#[case::leaving(LEAVING)]
#[case::rest(REST)]
#[case::limit(LIMIT)]
fn word_outlasts_a_lapse(#[case] word: Word) {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.answered(now, &listed(1), now, &word, 0.0);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.list(later, listed(1));
    assert!(!balance.take_turn(later, "s"));
}

/// Guards against an answer's word being lost since it comes while the list does
/// not show the server.
#[rstest]
#[case::leaving(LEAVING)]
#[case::rest(REST)]
#[case::limit(LIMIT)]
fn word_heard_during_a_lapse(#[case] word: Word) {
    let now = Instant::now();
    let mut balance = balance(now);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.answered(later, &listed(1), now, &word, 0.0);
    balance.list(later, listed(1));
    assert!(!balance.take_turn(later, "s"));
}

/// Guards against the next life of a server being held to what its earlier one
/// has said before the list dropped it.
#[rstest]
#[case::leaving(LEAVING)]
#[case::rest(REST)]
#[case::limit(LIMIT)]
fn next_life_after_a_lapse_is_free(#[case] word: Word) {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.answered(now, &listed(1), now, &word, 0.0);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.list(later, listed(2));
    assert!(balance.take_turn(later, "s"));
}

/// Guards against a late answer of an earlier life taking the place of what the
/// present one has said.
#[test]
fn late_answer_of_an_earlier_life_means_nothing() {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.list(now, listed(2));
    balance.answered(now, &listed(2), now, &LEAVING, 0.0);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.answered(later, &listed(1), now, &REST, 0.0);
    balance.list(later, listed(2));
    assert!(!balance.open("s"));
}

/// Guards against memory that grows with each server that has ever said
/// something.
#[test]
fn word_of_ended_servers_is_let_go() {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.answered(now, &listed(1), now, &LEAVING, 0.0);
    lapse(&mut balance, now);
    let later = now + Duration::from_secs(3600);
    balance.forget(later, WAIT);
    balance.list(later, listed(1));
    assert!(balance.take_turn(later, "s"));
}
