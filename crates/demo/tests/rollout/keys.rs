//! Calls with the same idempotency key run at most once.

use std::thread;

use crate::common::{Fleet, Role, until};

#[test]
fn same_key_at_one_entry() {
    // A caller sends the same call twice, on two connections to one entry. It
    // must run once, and both calls and a later third one must get its answer.
    let fleet = Fleet::start(&[]);
    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| fleet.letter(Role::One, "k", "letter"));
        let second = scope.spawn(|| fleet.letter(Role::One, "k", "letter"));
        (
            first.join().expect("an answer"),
            second.join().expect("an answer"),
        )
    });
    assert_eq!(first.status, 200);
    assert_eq!(first, second);
    assert_eq!(first, fleet.letter(Role::One, "k", "letter"));
    assert_eq!(fleet.sent("letter"), 1);

    // The same key with a different body is refused and does not run.
    let other = fleet.letter(Role::One, "k", "other");
    assert_eq!(other.status, 409);
    assert!(other.body.contains("key_reused"), "{}", other.body);
    assert_eq!(fleet.sent("other"), 0);
    fleet.stop();
}

#[test]
fn same_key_at_two_entries() {
    // The load balancer sends the retry of a call to another entry. The call
    // must run once. The other entry must answer with 409, and later that the
    // first call ran to its end.
    let fleet = Fleet::start(&[]);
    for i in 0..5 {
        let mark = format!("letter-{i}");
        let (one, two) = thread::scope(|scope| {
            let one = scope.spawn(|| fleet.letter(Role::One, &mark, &mark));
            let two = scope.spawn(|| fleet.letter(Role::Two, &mark, &mark));
            (
                one.join().expect("an answer"),
                two.join().expect("an answer"),
            )
        });
        let mut statuses = [one.status, two.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{one:?} {two:?}");
        assert_eq!(fleet.sent(&mark), 1);

        let refused = if one.status == 409 {
            Role::One
        } else {
            Role::Two
        };
        until("the other entry knows that the call ended", || {
            let reply = fleet.letter(refused, &mark, &mark);
            assert_eq!(reply.status, 409);
            reply.body.contains("ran to its end")
        });
    }
    fleet.stop();
}

#[test]
fn key_while_log_down() {
    // While the log is down, calls with a key must be refused as not run. Once
    // the log answers, a call with the same key must run once.
    let fleet = Fleet::start(&[]);
    fleet.set_log_down(true);
    for _ in 0..2 {
        let refused = fleet.letter(Role::One, "k", "letter");
        assert_eq!(refused.status, 503);
        assert!(refused.body.contains("log_down"), "{}", refused.body);
        assert!(refused.body.contains("\"ran\":\"no\""), "{}", refused.body);
    }
    assert_eq!(fleet.sent("letter"), 0);

    fleet.set_log_down(false);
    until("the call succeeds", || {
        fleet.letter(Role::One, "k", "letter").status == 200
    });
    assert_eq!(fleet.sent("letter"), 1);
    fleet.stop();
}

#[test]
fn key_after_entry_crash() {
    // The entry crashes after the call ran and loses its in-memory state. The
    // caller retries at the restarted entry and at the other one. Both must
    // answer `key_taken`, and the call must not run again.
    let fleet = Fleet::start(&[]);
    assert_eq!(fleet.letter(Role::One, "k", "letter").status, 200);
    fleet.one.crash();
    fleet.one.restart();
    fleet.until_ready(Role::One);
    for role in [Role::One, Role::Two] {
        let reply = fleet.letter(role, "k", "letter");
        assert_eq!(reply.status, 409, "{}", reply.body);
        assert!(reply.body.contains("key_taken"), "{}", reply.body);
    }
    assert_eq!(fleet.sent("letter"), 1);
    fleet.stop();
}
