//! Who gets work when hosts come and go and the list does not keep up.

use std::time::{Duration, Instant};

use crate::fleet::{Answer, Fleet, PATIENCE, expected, text};
use base::settings::HumanDuration;
use standin::hosts::Faults;

/// Sends requests one by one until `count` were answered.
async fn calls(fleet: &Fleet, mark: &str, count: u32) -> Vec<Answer> {
    let mut answers = Vec::new();
    for i in 0..count {
        answers.push(fleet.call(0, &format!("{mark}-{i}"), 3).await);
    }
    answers
}

/// How many of the answers are whole.
fn whole(mark: &str, answers: &[Answer]) -> usize {
    let whole = |(i, a): &(usize, &Answer)| text(a) == expected(&format!("{mark}-{i}"), 3);
    answers.iter().enumerate().filter(whole).count()
}

// A sidecar leaves for good while the list lags by 30 s and still shows it.
// Callers see nothing: the sidecar itself tells the entry that it drains, and
// after that the connection fails; every request is answered by the other.
#[actix_rt::test]
async fn leave_while_list_lags() {
    let mut fleet = Fleet::with(2).await;

    let lag = HumanDuration::secs(30);
    fleet.registry.control.change(|f| {
        *f = Faults {
            lag,
            ..Faults::default()
        }
    });
    fleet.stop("sidecar-0").await;
    let answers = calls(&fleet, "after", 20).await;
    assert_eq!(whole("after", &answers), 20, "{answers:?}");
}

// A new backend server is listed. Callers find its slots within a few
// readings of the list, without any entry being restarted.
#[actix_rt::test]
async fn join_while_running() {
    let mut fleet = Fleet::with(1).await;

    fleet.server(1);
    fleet.stop("sidecar-0").await;
    fleet.ready(0).await;
}

// The list is empty, then out of reach, for longer than the time to forget a
// host. Callers see nothing: a list without hosts is not believed, and an
// outage changes nothing that is known.
#[actix_rt::test]
async fn list_gone_while_running() {
    let fleet = Fleet::with(1).await;

    for faults in [
        Faults {
            empty: true,
            ..Faults::default()
        },
        Faults {
            outage: true,
            ..Faults::default()
        },
    ] {
        fleet.registry.control.change(|f| *f = faults);
        tokio::time::sleep(Duration::from_millis(2500)).await;
        let answers = calls(&fleet, "during", 5).await;
        assert_eq!(whole("during", &answers), 5, "{answers:?}");
    }
}

// The list loses a sidecar that still answers, for longer than the time to
// forget a host. Callers see nothing: it is asked how it is, and stays.
#[actix_rt::test]
async fn list_loses_answering_host() {
    let mut fleet = Fleet::new();
    fleet.server(0);
    fleet.engine(1);
    fleet.list(1);
    fleet.entry(0);
    fleet.ready(0).await;

    fleet.registry.remove("sidecar-0");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answers = calls(&fleet, "unlisted", 5).await;
    assert_eq!(whole("unlisted", &answers), 5, "{answers:?}");
}

// A sidecar is restarted while the list is frozen and calls it leaving.
// Callers see its slots again as soon as it answers in its new life, though
// the list never says so.
#[actix_rt::test]
async fn restart_while_list_frozen() {
    let mut fleet = Fleet::with(1).await;

    fleet.registry.mark_leaving("sidecar-0");
    let began = Instant::now();
    while fleet.call(0, "leaving", 1).await.status == 200 {
        assert!(began.elapsed() < PATIENCE, "a leaving host takes work");
    }
    fleet.registry.control.change(|f| f.frozen = true);
    fleet.stop("sidecar-0").await;
    fleet.sidecar(0);
    fleet.ready(0).await;
}
