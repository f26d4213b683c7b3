//! Which server gets a call that an entry sends by itself.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balance, By, Change, Listed, Part, Want, Word};
use policy::peer_load::CallCounts;
use policy::rendezvous;

/// A server that is silent for so long counts as dark.
const SILENCE: Duration = Duration::from_millis(300);

const AWAY: Duration = Duration::from_secs(2);

/// An address of the server's own.
fn addr(id: &str) -> SocketAddr {
    let number = rendezvous::number(id).to_le_bytes();
    SocketAddr::from(([127, number[0], number[1], number[2]], 1))
}

fn listed(id: &str, zone: &str) -> Listed {
    Listed {
        id: Rc::from(id),
        service: Rc::from("llm"),
        addr: addr(id),
        zone: Rc::from(zone),
        slots: 16,
        leaving: false,
        born: None,
    }
}

fn balance(count: usize) -> Balance {
    let mut balance = Balance::new("a");
    for i in 0..count {
        balance.list(Instant::now(), listed(&format!("s{i}"), ["a", "b"][i % 2]));
    }
    balance
}

fn want(prefix: Option<u64>) -> Want<'static> {
    Want {
        service: "llm",
        prefix,
        tried: &[],
        part: Part::All,
        by: if prefix.is_some() {
            By::Prefix
        } else {
            By::Own
        },
        silence: SILENCE,
    }
}

fn chosen(balance: &mut Balance, now: Instant, want: &Want<'_>) -> Option<String> {
    balance.choose(now, want).map(|s| s.id.to_string())
}

#[test]
fn prefix_goes_home_from_every_entry() {
    let now = Instant::now();
    let (mut one, mut two) = (balance(12), Balance::new("b"));
    for i in (0..12).rev() {
        two.list(Instant::now(), listed(&format!("s{i}"), "c"));
    }
    for prefix in 0..100 {
        let want = want(Some(prefix));
        assert_eq!(chosen(&mut one, now, &want), chosen(&mut two, now, &want));
    }
}

/// Many calls share one prompt part. Without a limit all of them would wait
/// at one engine while eleven are idle, because the hash sends them there.
#[test]
fn hot_prefix_spills() {
    let (now, mut balance) = (Instant::now(), balance(12));
    let want = want(Some(7));
    let mut used = HashSet::new();
    for _ in 0..48 {
        let server = balance.choose(now, &want).expect("a server");
        balance.sent(now, &server.id);
        used.insert(server.id);
    }
    assert!(used.len() > 3, "only {} servers were used", used.len());
}

/// Other entries fill an engine that this one has no call at. By its own
/// calls alone it looks idle; what the others tell shows that it is not.
#[test]
fn calls_of_others_count() {
    let (now, mut balance) = (Instant::now(), balance(2));
    let by_open = Want {
        by: By::Open,
        ..want(None)
    };
    let busy = chosen(&mut balance, now, &by_open).expect("a server");
    balance.sent(now, &busy);
    let told = balance.told();
    balance.begun(&busy);
    balance.ended(&busy);
    balance.hear(|server| match server == told[0].0 {
        true => CallCounts {
            open: 9,
            waiting: 4,
        },
        false => CallCounts::default(),
    });
    for _ in 0..8 {
        assert_ne!(chosen(&mut balance, now, &by_open), Some(busy.clone()));
    }
    assert_eq!(balance.waiting(&busy), 4);
}

/// Twenty entries hear the same counts, some tenths of a second old. If each
/// took the least loaded engine, all twenty streams would go to it.
#[test]
fn stale_counts_do_not_gather_calls() {
    let now = Instant::now();
    let by_open = Want {
        by: By::Open,
        ..want(None)
    };
    let mut used = HashSet::new();
    for entry in 0..20 {
        let mut balance = balance(12);
        balance.hear(|server| CallCounts {
            open: u32::from(server % 7),
            waiting: 0,
        });
        // Entries are at different places in their streams of calls.
        for _ in 0..entry {
            balance.choose(now, &by_open);
        }
        used.insert(chosen(&mut balance, now, &by_open));
    }
    assert!(used.len() >= 5, "all went to {} engines", used.len());
}

/// A host stops answering. The first call finds out; those after it must not
/// each find out again, and once the host is back it gets calls again.
#[test]
fn unreachable_rests() {
    let (now, mut balance) = (Instant::now(), balance(3));
    let home = chosen(&mut balance, now, &want(Some(3))).expect("a server");
    balance.unreachable(now, &home);
    assert_ne!(
        chosen(&mut balance, now, &want(Some(3))),
        Some(home.clone())
    );
    let later = now + Duration::from_secs(4);
    assert_eq!(chosen(&mut balance, later, &want(Some(3))), Some(home));
}

/// A host goes dark with its connections open. Calls sent there get no answer
/// and no error for seconds; once it has been silent for too long, others are
/// asked, and with its first byte it is back.
#[test]
fn silent_server_is_passed_over() {
    let (now, mut balance) = (Instant::now(), balance(3));
    let home = chosen(&mut balance, now, &want(Some(3))).expect("a server");
    balance.sent(now, &home);
    let later = now + SILENCE;
    assert_ne!(
        chosen(&mut balance, later, &want(Some(3))),
        Some(home.clone())
    );
    balance.heard(later, &home);
    assert_eq!(chosen(&mut balance, later, &want(Some(3))), Some(home));
}

/// A server that has nothing to do sends nothing, and is well.
#[test]
fn idle_server_is_not_silent() {
    let (now, mut balance) = (Instant::now(), balance(1));
    balance.sent(now, "s0");
    balance.begun("s0");
    balance.ended("s0");
    let later = now + SILENCE * 10;
    balance.sent(later, "s0");
    balance.list(Instant::now(), listed("s1", "b"));
    assert!(chosen(&mut balance, later, &want(Some(1))).is_some());
    let used: HashSet<_> = (0..50)
        .filter_map(|p| chosen(&mut balance, later, &want(Some(p))))
        .collect();
    assert!(used.contains("s0"));
}

#[test]
fn resting_is_better_than_none() {
    let (now, mut balance) = (Instant::now(), balance(1));
    balance.unreachable(now, "s0");
    assert!(balance.choose(now, &want(None)).is_some());
}

#[test]
fn leaving_gets_nothing() {
    let (now, mut balance) = (Instant::now(), balance(1));
    balance.list(
        Instant::now(),
        Listed {
            leaving: true,
            born: None,
            ..listed("s0", "a")
        },
    );
    assert!(balance.choose(now, &want(None)).is_none());
}

/// An entry was cut off while servers left, and its fresh list does not show
/// them. It used them on for two seconds, as if the store had lost entries of
/// live servers. While any server is listed, those that are not get nothing,
/// not even a repeat that was everywhere else already.
#[test]
fn missing_gets_nothing_beside_listed() {
    let (now, mut balance) = (Instant::now(), balance(2));
    balance.miss(now, "s0", now + AWAY);
    let tried = [Rc::from("s1")];
    let again = Want {
        tried: &tried,
        ..want(None)
    };
    assert_eq!(
        chosen(&mut balance, now, &want(None)).as_deref(),
        Some("s1")
    );
    assert!(balance.choose(now, &again).is_none());
}

/// The store comes back from an outage in which all entries lapsed, though
/// the servers live. They are called on until they had the time to write
/// their entries anew, and not longer.
#[test]
fn missing_all_serve_for_a_while() {
    let (now, mut balance) = (Instant::now(), balance(2));
    for id in ["s0", "s1"] {
        balance.miss(now, id, now + AWAY);
    }
    assert!(balance.choose(now, &want(None)).is_some());
    assert!(balance.choose(now + AWAY, &want(None)).is_none());
    balance.list(Instant::now(), listed("s1", "b"));
    assert_eq!(
        chosen(&mut balance, now + AWAY, &want(None)).as_deref(),
        Some("s1")
    );
    assert_eq!(balance.forget(now + AWAY, AWAY), [Rc::from("s0")]);
}

#[test]
fn parts_do_not_overlap() {
    let (now, mut balance) = (Instant::now(), balance(12));
    let mut seen = [HashSet::new(), HashSet::new()];
    for prefix in 0..200 {
        for (part, seen) in [Part::First(4), Part::Rest(4)].into_iter().zip(&mut seen) {
            let want = Want {
                part,
                ..want(Some(prefix))
            };
            seen.insert(chosen(&mut balance, now, &want).expect("a server"));
        }
    }
    assert_eq!(seen.each_ref().map(HashSet::len), [4, 8]);
    assert!(seen[0].is_disjoint(&seen[1]));
}

/// A server failed to connect again and again, then starts anew under its old
/// name. Judged by its earlier life it would be left alone for seconds, though
/// it is well and empty.
#[test]
fn restart_under_its_name_clears_failures() {
    let now = Instant::now();
    let mut balance = balance(2);
    let first = Listed {
        born: Some(1_000),
        ..listed("s0", "a")
    };
    balance.list(Instant::now(), first.clone());
    for _ in 0..5 {
        balance.unreachable(now, "s0");
    }
    assert_eq!(chosen(&mut balance, now, &want(None)), Some("s1".into()));
    let second = Listed {
        born: Some(2_000),
        ..first.clone()
    };
    assert_eq!(
        balance.list(Instant::now(), second.clone()),
        Change::Restarted
    );
    assert_eq!(chosen(&mut balance, now, &want(None)), Some("s0".into()));
    assert_eq!(balance.list(Instant::now(), second), Change::None);
}

/// What the earlier life said last, that it leaves, arrives after the entry of
/// the new life. Believed, it would keep all calls from a server that is well.
#[test]
fn late_word_of_an_earlier_life_ignored() {
    let mut balance = balance(0);
    let life = |born, leaving| Listed {
        born: Some(born),
        leaving,
        ..listed("s0", "a")
    };
    balance.list(Instant::now(), life(2_000, false));
    assert_eq!(
        balance.list(Instant::now(), life(1_000, true)),
        Change::None
    );
    assert!(balance.open("s0"));
}

/// A server under the name `id` at the address of `s0`.
fn at_s0(id: &str) -> Listed {
    Listed {
        addr: addr("s0"),
        ..listed(id, "a")
    }
}

fn called(balance: &mut Balance, now: Instant) -> HashSet<String> {
    let ranked = balance.ranked(now, &want(None));
    ranked.iter().map(|s| s.id.to_string()).collect()
}

/// All engines lose power and come back under new names, and the list shows
/// both names of each for seconds. A call to the old one would be refused by
/// the new one and cost a repeat.
#[test]
fn older_name_at_an_address_is_not_called() {
    let now = Instant::now();
    let mut balance = Balance::new("a");
    balance.list(now, at_s0("old"));
    balance.list(now, at_s0("new"));
    assert_eq!(called(&mut balance, now), HashSet::from(["new".to_owned()]));
    assert!(!balance.open("old"));
    assert_eq!(balance.size("llm").0, 1);
}

/// The last report of an engine that is gone comes late, after its entry was
/// dropped and its address taken. The one that has the address must not lose
/// its calls to it.
#[test]
fn late_word_of_the_older_takes_nothing_back() {
    let now = Instant::now();
    let mut balance = Balance::new("a");
    balance.list(now, at_s0("old"));
    balance.list(now, at_s0("new"));
    balance.miss(now, "old", now);
    balance.forget(now + AWAY, AWAY);
    balance.list(now + AWAY, at_s0("old"));
    assert_eq!(
        called(&mut balance, now + AWAY),
        HashSet::from(["new".to_owned()])
    );
}

/// The newer name leaves the list and the older one stays: it is called again.
#[test]
fn older_name_is_called_when_the_newer_is_dropped() {
    let now = Instant::now();
    let mut balance = Balance::new("a");
    balance.list(now, at_s0("old"));
    balance.list(now, at_s0("new"));
    balance.miss(now, "new", now);
    assert_eq!(called(&mut balance, now), HashSet::from(["old".to_owned()]));
}

/// Somebody else writes an entry of a service that is not ours with the address
/// of an engine. It names no server, and the engine keeps its calls.
#[test]
fn entry_of_another_service_takes_no_address() {
    let now = Instant::now();
    let mut balance = Balance::new("a");
    balance.list(now, at_s0("ours"));
    let foreign = Listed {
        service: Rc::from("none"),
        ..at_s0("foreign")
    };
    balance.list(now, foreign);
    assert_eq!(
        called(&mut balance, now),
        HashSet::from(["ours".to_owned()])
    );
}

/// What an answer says of a server that leaves.
const LEAVING: Word = Word {
    leaving: true,
    rest: None,
    limit: None,
};

/// Guards against a server being called that has said that it leaves, while the
/// list goes on showing it as it was.
#[test]
fn leaving_by_its_own_word() {
    let (now, mut balance) = (Instant::now(), balance(2));
    assert!(
        balance
            .answered(now, &listed("s0", "a"), now, &LEAVING, 0.0)
            .leaving
    );
    balance.list(now, listed("s0", "a"));
    assert_eq!(balance.size("llm").0, 1);
    assert!(!balance.open("s0") && !balance.take_turn(now, "s0"));
    for prefix in 0..100 {
        let want = want(Some(prefix));
        assert_eq!(chosen(&mut balance, now, &want).as_deref(), Some("s1"));
    }
}

/// Guards against a server's next life being taken for leaving, by its earlier
/// one's word or by an answer of that one that comes late.
#[test]
fn next_life_does_not_leave() {
    let (now, mut balance) = (Instant::now(), Balance::new("a"));
    let life = |born| Listed {
        born: Some(born),
        ..listed("s", "a")
    };
    balance.list(now, life(1));
    balance.answered(now, &life(1), now, &LEAVING, 0.0);
    assert!(!balance.open("s"));
    balance.list(now, life(2));
    assert!(balance.open("s"));
    balance.answered(now, &life(1), now, &LEAVING, 0.0);
    assert!(balance.open("s"));
}

/// Guards against a server that turns every call away staying the first choice,
/// since it answers at once and so has no calls open.
#[test]
fn refusing_server_is_passed_over() {
    let (now, mut balance) = (Instant::now(), balance(2));
    let home = chosen(&mut balance, now, &want(Some(7))).expect("a server");
    for _ in 0..3 {
        balance.turned_away(now, &home);
    }
    let other = chosen(&mut balance, now, &want(Some(7)));
    assert_ne!(other.as_ref(), Some(&home));
    balance.good(&home);
    assert_eq!(chosen(&mut balance, now, &want(Some(7))), Some(home));
}

/// Guards against a service being left to nobody since all of its servers turn
/// calls away: the next one may be taken.
#[test]
fn refusing_servers_are_better_than_none() {
    let (now, mut balance) = (Instant::now(), balance(2));
    for id in ["s0", "s1"] {
        for _ in 0..9 {
            balance.turned_away(now, id);
        }
    }
    assert!(chosen(&mut balance, now, &want(None)).is_some());
}

/// Guards against callers being told to come back before a server is tried
/// again, while all of them turn calls away.
#[test]
fn next_try_of_refusing_servers_is_told() {
    let (now, mut balance) = (Instant::now(), balance(2));
    for _ in 0..5 {
        balance.turned_away(now, "s0");
    }
    assert_eq!(balance.next_try(now, "llm"), None);
    for _ in 0..3 {
        balance.turned_away(now, "s1");
    }
    assert_eq!(
        balance.next_try(now, "llm"),
        Some(Duration::from_millis(300))
    );
    assert_eq!(
        balance.next_try(now + Duration::from_millis(300), "llm"),
        None
    );
}
