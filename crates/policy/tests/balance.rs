//! Which server gets a call that an entry sends by itself.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{
    Balancer, Partition, RecordChange, ServerFeedback, ServerQuery, ServerRecord, Strategy,
};
use policy::peer_load::CallCounts;
use policy::rendezvous;

/// A server that is silent for so long counts as dark.
const SILENCE: Duration = Duration::from_millis(300);

const AWAY: Duration = Duration::from_secs(2);

/// An address of the server's own.
fn addr(id: &str) -> SocketAddr {
    let number = rendezvous::hash_name(id).to_le_bytes();
    SocketAddr::from(([127, number[0], number[1], number[2]], 1))
}

fn listed(id: &str, zone: &str) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("llm"),
        addr: addr(id),
        zone: Rc::from(zone),
        slots: 16,
        leaving: false,
        started_ms: None,
    }
}

fn balance(count: usize) -> Balancer {
    let mut balance = Balancer::new("a");
    for i in 0..count {
        balance.upsert(Instant::now(), listed(&format!("s{i}"), ["a", "b"][i % 2]));
    }
    balance
}

fn query(prefix_hash: Option<u64>) -> ServerQuery<'static> {
    ServerQuery {
        service: "llm",
        prefix_hash,
        tried: &[],
        partition: Partition::All,
        strategy: if prefix_hash.is_some() {
            Strategy::PrefixAffinity
        } else {
            Strategy::LeastOwnCalls
        },
        silence_timeout: SILENCE,
    }
}

fn chosen(balance: &mut Balancer, now: Instant, query: &ServerQuery<'_>) -> Option<String> {
    balance.choose(now, query).map(|s| s.id.to_string())
}

#[test]
fn prefix_goes_home_from_every_entry() {
    let now = Instant::now();
    let (mut one, mut two) = (balance(12), Balancer::new("b"));
    for i in (0..12).rev() {
        two.upsert(Instant::now(), listed(&format!("s{i}"), "c"));
    }
    for prefix in 0..100 {
        let query = query(Some(prefix));
        assert_eq!(chosen(&mut one, now, &query), chosen(&mut two, now, &query));
    }
}

/// Many calls share one prompt part. Without a limit all of them would wait
/// at one engine while eleven are idle, because the hash sends them there.
#[test]
fn hot_prefix_spills() {
    let (now, mut balance) = (Instant::now(), balance(12));
    let query = query(Some(7));
    let mut used = HashSet::new();
    for _ in 0..48 {
        let server = balance.choose(now, &query).expect("a server");
        balance.call_sent(now, &server.id);
        used.insert(server.id);
    }
    assert!(used.len() > 3, "only {} servers were used", used.len());
}

/// Other entries fill an engine that this one has no call at. By its own
/// calls alone it looks idle; what the others tell shows that it is not.
#[test]
fn calls_of_others_count() {
    let (now, mut balance) = (Instant::now(), balance(2));
    let by_open = ServerQuery {
        strategy: Strategy::TwoChoices,
        ..query(None)
    };
    let busy = chosen(&mut balance, now, &by_open).expect("a server");
    balance.call_sent(now, &busy);
    let told = balance.own_calls();
    balance.call_started(&busy);
    balance.call_ended(&busy);
    balance.set_remote_calls(|server| match server == told[0].0 {
        true => CallCounts {
            open: 9,
            waiting: 4,
        },
        false => CallCounts::default(),
    });
    for _ in 0..8 {
        assert_ne!(chosen(&mut balance, now, &by_open), Some(busy.clone()));
    }
    assert_eq!(balance.waiting_calls(&busy), 4);
}

/// Twenty entries hear the same counts, some tenths of a second old. If each
/// took the least loaded engine, all twenty streams would go to it.
#[test]
fn stale_counts_do_not_gather_calls() {
    let now = Instant::now();
    let by_open = ServerQuery {
        strategy: Strategy::TwoChoices,
        ..query(None)
    };
    let mut used = HashSet::new();
    for entry in 0..20 {
        let mut balance = balance(12);
        balance.set_remote_calls(|server| CallCounts {
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
    let home = chosen(&mut balance, now, &query(Some(3))).expect("a server");
    balance.connect_failed(now, &home);
    assert_ne!(
        chosen(&mut balance, now, &query(Some(3))),
        Some(home.clone())
    );
    let later = now + Duration::from_secs(4);
    assert_eq!(chosen(&mut balance, later, &query(Some(3))), Some(home));
}

/// A host goes dark with its connections open. Calls sent there get no answer
/// and no error for seconds; once it has been silent for too long, others are
/// asked, and with its first byte it is back.
#[test]
fn silent_server_is_passed_over() {
    let (now, mut balance) = (Instant::now(), balance(3));
    let home = chosen(&mut balance, now, &query(Some(3))).expect("a server");
    balance.call_sent(now, &home);
    let later = now + SILENCE;
    assert_ne!(
        chosen(&mut balance, later, &query(Some(3))),
        Some(home.clone())
    );
    balance.bytes_received(later, &home);
    assert_eq!(chosen(&mut balance, later, &query(Some(3))), Some(home));
}

/// A server that has nothing to do sends nothing, and is well.
#[test]
fn idle_server_is_not_silent() {
    let (now, mut balance) = (Instant::now(), balance(1));
    balance.call_sent(now, "s0");
    balance.call_started("s0");
    balance.call_ended("s0");
    let later = now + SILENCE * 10;
    balance.call_sent(later, "s0");
    balance.upsert(Instant::now(), listed("s1", "b"));
    assert!(chosen(&mut balance, later, &query(Some(1))).is_some());
    let used: HashSet<_> = (0..50)
        .filter_map(|p| chosen(&mut balance, later, &query(Some(p))))
        .collect();
    assert!(used.contains("s0"));
}

#[test]
fn resting_is_better_than_none() {
    let (now, mut balance) = (Instant::now(), balance(1));
    balance.connect_failed(now, "s0");
    assert!(balance.choose(now, &query(None)).is_some());
}

#[test]
fn leaving_gets_nothing() {
    let (now, mut balance) = (Instant::now(), balance(1));
    balance.upsert(
        Instant::now(),
        ServerRecord {
            leaving: true,
            started_ms: None,
            ..listed("s0", "a")
        },
    );
    assert!(balance.choose(now, &query(None)).is_none());
}

/// An entry was cut off while servers left, and its fresh list does not show
/// them. It used them on for two seconds, as if the store had lost entries of
/// live servers. While any server is listed, those that are not get nothing,
/// not even a repeat that was everywhere else already.
#[test]
fn missing_gets_nothing_beside_listed() {
    let (now, mut balance) = (Instant::now(), balance(2));
    balance.mark_missing(now, "s0", now + AWAY);
    let tried = [Rc::from("s1")];
    let again = ServerQuery {
        tried: &tried,
        ..query(None)
    };
    assert_eq!(
        chosen(&mut balance, now, &query(None)).as_deref(),
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
        balance.mark_missing(now, id, now + AWAY);
    }
    assert!(balance.choose(now, &query(None)).is_some());
    assert!(balance.choose(now + AWAY, &query(None)).is_none());
    balance.upsert(Instant::now(), listed("s1", "b"));
    assert_eq!(
        chosen(&mut balance, now + AWAY, &query(None)).as_deref(),
        Some("s1")
    );
    assert_eq!(balance.forget_missing(now + AWAY, AWAY), [Rc::from("s0")]);
}

#[test]
fn parts_do_not_overlap() {
    let (now, mut balance) = (Instant::now(), balance(12));
    let mut seen = [HashSet::new(), HashSet::new()];
    for prefix in 0..200 {
        for (partition, seen) in [Partition::First(4), Partition::Rest(4)]
            .into_iter()
            .zip(&mut seen)
        {
            let query = ServerQuery {
                partition,
                ..query(Some(prefix))
            };
            seen.insert(chosen(&mut balance, now, &query).expect("a server"));
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
    let first = ServerRecord {
        started_ms: Some(1_000),
        ..listed("s0", "a")
    };
    balance.upsert(Instant::now(), first.clone());
    for _ in 0..5 {
        balance.connect_failed(now, "s0");
    }
    assert_eq!(chosen(&mut balance, now, &query(None)), Some("s1".into()));
    let second = ServerRecord {
        started_ms: Some(2_000),
        ..first.clone()
    };
    assert_eq!(
        balance.upsert(Instant::now(), second.clone()),
        RecordChange::Restarted
    );
    assert_eq!(chosen(&mut balance, now, &query(None)), Some("s0".into()));
    assert_eq!(
        balance.upsert(Instant::now(), second),
        RecordChange::Unchanged
    );
}

/// What the earlier life said last, that it leaves, arrives after the entry of
/// the new life. Believed, it would keep all calls from a server that is well.
#[test]
fn late_word_of_an_earlier_life_ignored() {
    let mut balance = balance(0);
    let life = |born, leaving| ServerRecord {
        started_ms: Some(born),
        leaving,
        ..listed("s0", "a")
    };
    balance.upsert(Instant::now(), life(2_000, false));
    assert_eq!(
        balance.upsert(Instant::now(), life(1_000, true)),
        RecordChange::Unchanged
    );
    assert!(balance.accepts_calls("s0"));
}

/// A server under the name `id` at the address of `s0`.
fn at_s0(id: &str) -> ServerRecord {
    ServerRecord {
        addr: addr("s0"),
        ..listed(id, "a")
    }
}

fn called(balance: &mut Balancer, now: Instant) -> HashSet<String> {
    let ranked = balance.ranked(now, &query(None));
    ranked.iter().map(|s| s.id.to_string()).collect()
}

/// All engines lose power and come back under new names, and the list shows
/// both names of each for seconds. A call to the old one would be refused by
/// the new one and cost a repeat.
#[test]
fn older_name_at_an_address_is_not_called() {
    let now = Instant::now();
    let mut balance = Balancer::new("a");
    balance.upsert(now, at_s0("old"));
    balance.upsert(now, at_s0("new"));
    assert_eq!(called(&mut balance, now), HashSet::from(["new".to_owned()]));
    assert!(!balance.accepts_calls("old"));
    assert_eq!(balance.serving_capacity("llm").0, 1);
}

/// The last report of an engine that is gone comes late, after its entry was
/// dropped and its address taken. The one that has the address must not lose
/// its calls to it.
#[test]
fn late_word_of_the_older_takes_nothing_back() {
    let now = Instant::now();
    let mut balance = Balancer::new("a");
    balance.upsert(now, at_s0("old"));
    balance.upsert(now, at_s0("new"));
    balance.mark_missing(now, "old", now);
    balance.forget_missing(now + AWAY, AWAY);
    balance.upsert(now + AWAY, at_s0("old"));
    assert_eq!(
        called(&mut balance, now + AWAY),
        HashSet::from(["new".to_owned()])
    );
}

/// The newer name leaves the list and the older one stays: it is called again.
#[test]
fn older_name_is_called_when_the_newer_is_dropped() {
    let now = Instant::now();
    let mut balance = Balancer::new("a");
    balance.upsert(now, at_s0("old"));
    balance.upsert(now, at_s0("new"));
    balance.mark_missing(now, "new", now);
    assert_eq!(called(&mut balance, now), HashSet::from(["old".to_owned()]));
}

/// Somebody else writes an entry of a service that is not ours with the address
/// of an engine. It names no server, and the engine keeps its calls.
#[test]
fn entry_of_another_service_takes_no_address() {
    let now = Instant::now();
    let mut balance = Balancer::new("a");
    balance.upsert(now, at_s0("ours"));
    let foreign = ServerRecord {
        service: Rc::from("none"),
        ..at_s0("foreign")
    };
    balance.upsert(now, foreign);
    assert_eq!(
        called(&mut balance, now),
        HashSet::from(["ours".to_owned()])
    );
}

/// What an answer says of a server that leaves.
const LEAVING: ServerFeedback = ServerFeedback {
    leaving: true,
    backoff: None,
    rate_limit: None,
};

/// Guards against a server being called that has said that it leaves, while the
/// list goes on showing it as it was.
#[test]
fn leaving_by_its_own_word() {
    let (now, mut balance) = (Instant::now(), balance(2));
    assert!(
        balance
            .apply_feedback(now, &listed("s0", "a"), now, &LEAVING, 0.0)
            .leaving
    );
    balance.upsert(now, listed("s0", "a"));
    assert_eq!(balance.serving_capacity("llm").0, 1);
    assert!(!balance.accepts_calls("s0") && !balance.take_turn(now, "s0"));
    for prefix in 0..100 {
        let query = query(Some(prefix));
        assert_eq!(chosen(&mut balance, now, &query).as_deref(), Some("s1"));
    }
}

/// Guards against a server's next life being taken for leaving, by its earlier
/// one's word or by an answer of that one that comes late.
#[test]
fn next_life_does_not_leave() {
    let (now, mut balance) = (Instant::now(), Balancer::new("a"));
    let life = |born| ServerRecord {
        started_ms: Some(born),
        ..listed("s", "a")
    };
    balance.upsert(now, life(1));
    balance.apply_feedback(now, &life(1), now, &LEAVING, 0.0);
    assert!(!balance.accepts_calls("s"));
    balance.upsert(now, life(2));
    assert!(balance.accepts_calls("s"));
    balance.apply_feedback(now, &life(1), now, &LEAVING, 0.0);
    assert!(balance.accepts_calls("s"));
}

/// Guards against a server that turns every call away staying the first choice,
/// since it answers at once and so has no calls open.
#[test]
fn refusing_server_is_passed_over() {
    let (now, mut balance) = (Instant::now(), balance(2));
    let home = chosen(&mut balance, now, &query(Some(7))).expect("a server");
    for _ in 0..3 {
        balance.call_rejected(now, &home);
    }
    let other = chosen(&mut balance, now, &query(Some(7)));
    assert_ne!(other.as_ref(), Some(&home));
    balance.call_succeeded(&home);
    assert_eq!(chosen(&mut balance, now, &query(Some(7))), Some(home));
}

/// Guards against a service being left to nobody since all of its servers turn
/// calls away: the next one may be taken.
#[test]
fn refusing_servers_are_better_than_none() {
    let (now, mut balance) = (Instant::now(), balance(2));
    for id in ["s0", "s1"] {
        for _ in 0..9 {
            balance.call_rejected(now, id);
        }
    }
    assert!(chosen(&mut balance, now, &query(None)).is_some());
}

/// Guards against callers being told to come back before a server is tried
/// again, while all of them turn calls away.
#[test]
fn next_try_of_refusing_servers_is_told() {
    let (now, mut balance) = (Instant::now(), balance(2));
    for _ in 0..5 {
        balance.call_rejected(now, "s0");
    }
    assert_eq!(balance.cooldown_left(now, "llm"), None);
    for _ in 0..3 {
        balance.call_rejected(now, "s1");
    }
    assert_eq!(
        balance.cooldown_left(now, "llm"),
        Some(Duration::from_millis(300))
    );
    assert_eq!(
        balance.cooldown_left(now + Duration::from_millis(300), "llm"),
        None
    );
}
