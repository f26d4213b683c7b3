//! Hosts that join and leave while the list of hosts is stale or faulty.

use std::time::{Duration, Instant};

use crate::fleet::{Answer, Fleet, TEST_TIMEOUT, expected, text};
use base::settings::HumanDuration;
use standin::hosts::Faults;

/// Sends `count` requests one after the other and returns their answers.
async fn calls(fleet: &Fleet, mark: &str, count: u32) -> Vec<Answer> {
    let mut answers = Vec::new();
    for i in 0..count {
        answers.push(fleet.call(0, &format!("{mark}-{i}"), 3).await);
    }
    answers
}

/// The number of complete answers.
fn count_complete(mark: &str, answers: &[Answer]) -> usize {
    let complete = |(i, a): &(usize, &Answer)| text(a) == expected(&format!("{mark}-{i}"), 3);
    answers.iter().enumerate().filter(complete).count()
}

// A sidecar stops for good while the list of hosts lags by 30 s and still
// contains it. The sidecar itself tells the entry that it drains, and later the
// connection fails, so the other sidecar must answer every request.
#[actix_rt::test]
async fn stop_sidecar_while_list_lags() {
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
    assert_eq!(count_complete("after", &answers), 20, "{answers:?}");
}

// A new backend server is added to the list of hosts. The entry must use it
// after its next polls of the list, without a restart.
#[actix_rt::test]
async fn add_server_while_running() {
    let mut fleet = Fleet::with(1).await;

    fleet.server(1);
    fleet.stop("sidecar-0").await;
    fleet.ready(0).await;
}

// The list of hosts is empty, then unreachable, for longer than the time after
// which an entry forgets a host. Requests must still succeed: the entry ignores
// an empty list and keeps its known hosts during an outage.
#[actix_rt::test]
async fn list_empty_or_unreachable() {
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
        assert_eq!(count_complete("during", &answers), 5, "{answers:?}");
    }
}

// A sidecar that still answers is missing from the list of hosts, for longer
// than the time after which an entry forgets a host. The entry must probe it
// and keep it.
#[actix_rt::test]
async fn list_misses_answering_host() {
    let mut fleet = Fleet::new();
    fleet.server(0);
    fleet.engine(1);
    fleet.list(1);
    fleet.entry(0);
    fleet.ready(0).await;

    fleet.registry.remove("sidecar-0");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answers = calls(&fleet, "unlisted", 5).await;
    assert_eq!(count_complete("unlisted", &answers), 5, "{answers:?}");
}

// A sidecar is restarted while the list of hosts is frozen and shows it as
// leaving. The entry must use it again as soon as its new incarnation answers,
// although the list never shows it as live.
#[actix_rt::test]
async fn restart_sidecar_while_list_frozen() {
    let mut fleet = Fleet::with(1).await;

    fleet.registry.mark_leaving("sidecar-0");
    let started = Instant::now();
    while fleet.call(0, "leaving", 1).await.status == 200 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out: a leaving host still gets requests"
        );
    }
    fleet.registry.control.change(|f| f.frozen = true);
    fleet.stop("sidecar-0").await;
    fleet.sidecar(0);
    fleet.ready(0).await;
}
