//! Servers that turn calls away and ask for rest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balance, By, Listed, Part, Want, Word};

const MS: Duration = Duration::from_millis(1);

/// The rest that servers ask for.
const ASKED: Duration = Duration::from_secs(3);

fn listed(number: usize) -> Listed {
    Listed {
        id: Rc::from(format!("s{number}")),
        service: Rc::from("app"),
        addr: SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 1)),
        zone: Rc::from("a"),
        slots: 6,
        leaving: false,
        born: None,
    }
}

fn want() -> Want<'static> {
    Want {
        service: "app",
        prefix: None,
        tried: &[],
        part: Part::All,
        by: By::Own,
        silence: Duration::from_secs(9),
    }
}

fn rest(span: Duration) -> Word {
    Word {
        rest: Some(span),
        ..Word::default()
    }
}

/// Two servers, the first of which has asked for rest.
fn pair() -> (Balance, Instant) {
    let (mut balance, now) = (Balance::new("a"), Instant::now());
    balance.list(now, listed(0));
    balance.list(now, listed(1));
    balance.answered(now, &listed(0), now, &rest(ASKED));
    (balance, now)
}

/// Guards against a rest that ends early: by an answer to a call that was there
/// already, or since the list shows the server once more.
#[test]
fn rest_is_kept() {
    let (mut balance, now) = pair();
    balance.good("s0");
    balance.answered(now, &listed(0), now, &Word::default());
    balance.list(now, listed(0));
    for ms in 0..3000 {
        let now = now + MS * ms;
        let chosen = balance.choose(now, &want()).expect("a server");
        assert_eq!(&*chosen.id, "s1");
        assert!(!balance.take_turn(now, "s0"));
    }
    assert!(balance.take_turn(now + ASKED, "s0"));
}

/// Guards against a shorter rest that is asked for later ending a longer one.
#[test]
fn longer_rest_is_kept() {
    let (mut balance, now) = pair();
    let later = now + MS * 10;
    balance.answered(later, &listed(0), now, &rest(MS * 100));
    assert!(!balance.take_turn(now + MS * 2900, "s0"));
}

/// Guards against a service being left to nobody since all of its servers rest:
/// the caller is told when the first of them takes calls again.
#[test]
fn first_end_of_all_rests_is_told() {
    let (mut balance, now) = pair();
    assert_eq!(balance.next_turn(now, "app"), None);
    balance.answered(now, &listed(1), now, &rest(MS * 500));
    assert!(balance.choose(now, &want()).is_none());
    assert_eq!(balance.next_turn(now, "app"), Some(MS * 500));
}

#[test]
fn next_life_does_not_rest() {
    let (mut balance, now) = pair();
    let again = Listed {
        born: Some(2),
        ..listed(0)
    };
    balance.list(now, again);
    assert!(balance.take_turn(now, "s0"));
}

/// Guards against a rest for years, which a service would not survive.
#[test]
fn endless_rest_is_bounded() {
    let (mut balance, now) = pair();
    for number in [0, 1] {
        balance.answered(now, &listed(number), now, &rest(Duration::MAX));
    }
    let left = balance.next_turn(now, "app").expect("an end");
    assert!(left <= Duration::from_secs(7200));
}
