//! A call with an idempotency key runs at most once.

use std::thread;

use crate::common::{Fleet, Role, until};

#[test]
fn letter_twice_at_one_entry() {
    // A caller sends a decision letter, hears nothing for a moment and sends
    // it again on a second connection to the same entry. One letter goes out,
    // and both calls get its answer; so does a third one afterwards.
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

    // The same key with another letter is refused and does not run.
    let other = fleet.letter(Role::One, "k", "other");
    assert_eq!(other.status, 409);
    assert!(other.body.contains("key_reused"), "{}", other.body);
    assert_eq!(fleet.sent("other"), 0);
    fleet.stop();
}

#[test]
fn letter_twice_at_two_entries() {
    // The platform's balancer sends the second try to another entry. One
    // letter goes out; the other call hears that the key is taken, and later
    // that the first call ran to its end.
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

        let loser = if one.status == 409 {
            Role::One
        } else {
            Role::Two
        };
        until("the end is known", || {
            let told = fleet.letter(loser, &mark, &mark);
            assert_eq!(told.status, 409);
            told.body.contains("ran to its end")
        });
    }
    fleet.stop();
}

#[test]
fn letter_log_down() {
    // The log is down: the letter is refused as not run and does not go out,
    // twice. Once the log answers, the same key goes through, once.
    let fleet = Fleet::start(&[]);
    fleet.down(true);
    for _ in 0..2 {
        let refused = fleet.letter(Role::One, "k", "letter");
        assert_eq!(refused.status, 503);
        assert!(refused.body.contains("log_down"), "{}", refused.body);
        assert!(refused.body.contains("\"ran\":\"no\""), "{}", refused.body);
    }
    assert_eq!(fleet.sent("letter"), 0);

    fleet.down(false);
    until("the letter goes out", || {
        fleet.letter(Role::One, "k", "letter").status == 200
    });
    assert_eq!(fleet.sent("letter"), 1);
    fleet.stop();
}

#[test]
fn letter_entry_crash() {
    // The entry crashes after it had the letter sent, and its memory is gone.
    // The caller tries again at the fresh entry and at the other one. Neither
    // sends a second letter, and both say so.
    let fleet = Fleet::start(&[]);
    assert_eq!(fleet.letter(Role::One, "k", "letter").status, 200);
    fleet.one.crash();
    fleet.one.restart();
    fleet.until_ready(Role::One);
    for role in [Role::One, Role::Two] {
        let told = fleet.letter(role, "k", "letter");
        assert_eq!(told.status, 409, "{}", told.body);
        assert!(told.body.contains("key_taken"), "{}", told.body);
    }
    assert_eq!(fleet.sent("letter"), 1);
    fleet.stop();
}
