//! Known hosts when the list lags, freezes or is empty, and hosts come and go.

use std::time::{Duration, Instant};

use base::ids::Incarnation;
use policy::membership::{Host, HostKind, ListOutcome, Membership, MembershipLimits};
use policy::subset::SubsetSize;
use rstest::rstest;

const FORGET: Duration = Duration::from_secs(30);

fn sidecar(i: u16) -> Host {
    Host {
        name: format!("sidecar-{i}"),
        addr: ([127, 0, 0, 1], 7000 + i).into(),
        zone: "plateau".to_owned(),
        kind: HostKind::Sidecar {
            serves: "dossier-8b".to_owned(),
        },
        leaving: false,
    }
}

fn leaving(i: u16) -> Host {
    Host {
        leaving: true,
        ..sidecar(i)
    }
}

fn membership() -> Membership {
    let subset_size = SubsetSize {
        total: 128,
        other_zones: 16,
    };
    let forget_after = FORGET;
    Membership::new(
        "entry-0",
        "plateau",
        MembershipLimits {
            subset_size,
            forget_after,
        },
    )
}

fn known_names(known: &Membership) -> Vec<&str> {
    known
        .chosen_sidecars()
        .iter()
        .map(|h| h.name.as_str())
        .collect()
}

// The platform's list is empty, or shows only entries. This is more likely a
// fault of the list than the loss of the whole fleet, so every known sidecar
// stays and callers are not affected.
#[rstest]
#[case::empty(vec![])]
#[case::only_entries(vec![Host { kind: HostKind::Entry, ..sidecar(9) }])]
fn list_without_sidecars(#[case] list: Vec<Host>) {
    let (mut known, now) = (membership(), Instant::now());
    known.apply_list(now, &[sidecar(0), sidecar(1)]);

    let late = now + FORGET * 10;
    assert_eq!(known.apply_list(late, &list), ListOutcome::Ignored);
    assert_eq!(known.sweep(late), 0);
    assert_eq!(known_names(&known), ["sidecar-0", "sidecar-1"]);
}

// The list lacks a host that still answers, for ten times the time after which
// hosts are forgotten. The host keeps getting work while it answers, and is
// forgotten a bounded time after its last answer.
#[test]
fn list_loses_answering_host() {
    let (mut known, mut now) = (membership(), Instant::now());
    known.apply_list(now, &[sidecar(0), sidecar(1)]);

    for _ in 0..20 {
        now += FORGET / 2;
        known.apply_list(now, &[sidecar(0)]);
        known.note_answer(now, "sidecar-1", Incarnation(1));
        assert_eq!(known.sweep(now), 0);
    }
    assert!(!known.is_listed("sidecar-1"));
    assert!(!known.is_leaving("sidecar-1"));

    now += FORGET;
    assert_eq!(known.sweep(now), 1);
    assert_eq!(known_names(&known), ["sidecar-0"]);
}

// A host drops out of the list, and this entry had no reason to call it for an
// hour. It is not forgotten at once: the time to answer starts at the drop.
#[test]
fn list_loses_idle_host() {
    let (mut known, mut now) = (membership(), Instant::now());
    known.apply_list(now, &[sidecar(0), sidecar(1)]);

    now += Duration::from_secs(3600);
    known.apply_list(now, &[sidecar(0)]);
    assert_eq!(known.sweep(now), 0);
    assert_eq!(known.sweep(now + FORGET), 1);
}

#[test]
fn list_marks_leaving() {
    let (mut known, now) = (membership(), Instant::now());
    known.apply_list(now, &[sidecar(0), sidecar(1)]);
    known.apply_list(now, &[sidecar(0), leaving(1)]);
    assert!(!known.is_leaving("sidecar-0"));
    assert!(known.is_leaving("sidecar-1"));
    assert!(
        known.is_leaving("sidecar-2"),
        "an unknown host gets no work"
    );
}

// A sidecar is replaced during a rolling restart while the list lags by 30 s and
// still shows it as draining. Its answer in a new incarnation shows that it is
// back, so its slots are used again at once.
#[test]
fn list_lags_behind_restart() {
    let (mut known, mut now) = (membership(), Instant::now());
    known.apply_list(now, &[sidecar(0)]);
    known.note_answer(now, "sidecar-0", Incarnation(1));
    known.apply_list(now, &[leaving(0)]);
    known.note_answer(now, "sidecar-0", Incarnation(1));
    assert!(known.is_leaving("sidecar-0"));

    now += Duration::from_secs(3);
    known.note_answer(now, "sidecar-0", Incarnation(2));
    known.apply_list(now, &[leaving(0)]);
    assert!(!known.is_leaving("sidecar-0"));

    // The same host drains again: only a change of the list shows this.
    known.apply_list(now, &[sidecar(0)]);
    known.apply_list(now, &[leaving(0)]);
    assert!(known.is_leaving("sidecar-0"));
}

// The list shows a sidecar as draining before this entry ever called it. Its first
// answer does not count as a return to service; one in a later incarnation does.
#[test]
fn list_marks_host_before_first_answer() {
    let (mut known, now) = (membership(), Instant::now());
    known.apply_list(now, &[leaving(0)]);
    known.note_answer(now, "sidecar-0", Incarnation(1));
    assert!(known.is_leaving("sidecar-0"));
    known.note_answer(now, "sidecar-0", Incarnation(2));
    assert!(!known.is_leaving("sidecar-0"));
}

#[test]
fn list_moves_host() {
    let (mut known, now) = (membership(), Instant::now());
    known.apply_list(now, &[sidecar(0)]);
    let moved = Host {
        addr: ([127, 0, 0, 2], 7000).into(),
        ..sidecar(0)
    };
    known.apply_list(now, std::slice::from_ref(&moved));
    assert_eq!(known.chosen_sidecars(), [&moved]);
}
