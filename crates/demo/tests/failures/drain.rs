//! Daemons that drain and stop under load.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use base::settings::HumanDuration;
use serde_json::json;
use standin::hosts::Faults;

use crate::fleet::{Answer, Fleet, call, expected, ready, text, until};

/// Number of tokens of an answer that takes about a second.
const LONG: u32 = 400;

/// Factor by which the steps of slowed-down engines are longer. None of their
/// long answers ends within [`TEST_TIMEOUT`](crate::fleet::TEST_TIMEOUT), and
/// the time between tokens stays below a sidecar's silence timeout.
const SLOWDOWN: f64 = 60.0;

/// Callers that each send one request after the other through a simulated load
/// balancer.
struct Callers {
    on: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    answers: Rc<RefCell<Vec<(String, Answer)>>>,
}

impl Callers {
    fn start(count: usize, entries: &[SocketAddr], length: u32) -> Self {
        let on = Rc::new(Cell::new(true));
        let answers = Rc::new(RefCell::new(Vec::new()));
        let start = |caller: usize| {
            let (on, answers, entries) = (Rc::clone(&on), Rc::clone(&answers), entries.to_vec());
            actix_rt::spawn(async move {
                let mut number = 0;
                while on.get() {
                    let mark = format!("c{caller}-{number}");
                    let first = (caller + number) % entries.len();
                    let answer = call_balanced(&entries, first, &mark, length).await;
                    answers.borrow_mut().push((mark, answer));
                    number += 1;
                }
            })
        };
        let tasks = (0..count).map(start).collect();
        Self { on, tasks, answers }
    }

    fn count(&self) -> usize {
        self.answers.borrow().len()
    }

    /// Waits until `count` more requests have been answered.
    async fn more(&self, count: usize) {
        let target = self.count() + count;
        until("enough requests are answered", || self.count() >= target).await;
    }

    async fn stop(self) -> Vec<(String, Answer)> {
        self.on.set(false);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.answers.take()
    }
}

/// Sends a request as a load balancer does: to an entry that is ready, and to
/// the next one if that refused the connection or was draining. An entry that
/// is no longer ready still serves requests during its linger time.
async fn call_balanced(entries: &[SocketAddr], first: usize, mark: &str, length: u32) -> Answer {
    let mut answer = None;
    for turn in 0..entries.len() * 4 {
        let entry = entries[(first + turn) % entries.len()];
        if !ready(entry).await {
            continue;
        }
        let attempt = call(entry, mark, length).await;
        let try_next = attempt.status == 0 || attempt.body["error"]["type"] == "draining";
        answer = Some(attempt);
        if !try_next {
            break;
        }
    }
    answer.expect("no entry is ready")
}

/// Checks that every answer is complete and every request ran exactly once.
fn assert_all_ran_once(fleet: &Fleet, answers: &[(String, Answer)], length: u32) {
    for (mark, answer) in answers {
        assert_eq!(text(answer), expected(mark, length), "{mark}: {answer:?}");
        let seen = fleet.ledger.counts(mark);
        assert_eq!((seen.runs, seen.completed_runs), (1, 1), "{mark}");
    }
}

// All sidecars and entries are restarted one at a time under load. Running
// requests must complete on their server, waiting ones must get a slot on
// another server, and none may run twice.
#[actix_rt::test]
async fn rolling_restart() {
    let mut fleet = Fleet::new();
    for i in 0..3 {
        fleet.server(i);
    }
    let entries = [fleet.entry_addr(0), fleet.entry_addr(1)];
    for i in 0..2 {
        fleet.entry(i);
        fleet.ready(i).await;
    }

    let callers = Callers::start(32, &entries, 20);
    callers.more(50).await;
    for i in 0..3 {
        fleet.stop(&format!("sidecar-{i}")).await;
        fleet.sidecar(i);
        fleet.all_usable(0).await;
        fleet.all_usable(1).await;
        callers.more(50).await;
    }
    for i in 0..2 {
        fleet.stop(&format!("entry-{i}")).await;
        fleet.entry(i);
        callers.more(50).await;
    }
    let answers = callers.stop().await;
    assert_all_ran_once(&fleet, &answers, 20);
}

// A sidecar stops while it has running and waiting requests. The running ones
// must complete; the waiting ones are refused at once by the sidecar and must
// get a slot at the other one. The engines are slowed down until all slots are
// taken: otherwise callers whose answer ended early would send a second
// request, and one engine could finish before the other started.
#[actix_rt::test]
async fn stop_sidecar_with_waiting_requests() {
    let mut fleet = Fleet::with(2).await;
    fleet.pace(SLOWDOWN);

    // Twice as many callers as slots, so that half of the requests wait.
    let callers = Callers::start(32, &[fleet.entry_addr(0)], LONG);
    until("all slots are taken", || {
        let seen = fleet.ledger.all_counts();
        seen.values().filter(|s| s.completed_runs < s.runs).count() == 16
    })
    .await;
    callers.on.set(false);
    fleet.pace(1.0);
    fleet.stop("sidecar-0").await;
    let answers = callers.stop().await;
    assert_all_ran_once(&fleet, &answers, LONG);
    assert_eq!(answers.len(), 32);
}

// A sidecar stops while the list of hosts is frozen and keeps listing it as
// live. All requests must complete, both while it drains and after it stopped.
#[actix_rt::test]
async fn stop_sidecar_while_list_frozen() {
    let mut fleet = Fleet::with(2).await;

    let frozen = Faults {
        frozen: true,
        ..Faults::default()
    };
    fleet.registry.control.change(|f| *f = frozen);
    fleet.registry.mark_leaving("sidecar-0");
    let callers = Callers::start(8, &[fleet.entry_addr(0)], 20);
    callers.more(20).await;
    fleet.stop("sidecar-0").await;
    callers.more(50).await;
    let answers = callers.stop().await;
    assert_all_ran_once(&fleet, &answers, 20);
}

// An entry stops while an answer is in progress and the load balancer still
// sends requests. During the linger time they must be served; after it they
// must be refused as `draining` and not run. The answer in progress must
// complete.
#[actix_rt::test]
async fn stop_entry_with_running_answer() {
    let mut fleet = Fleet::new();
    fleet.server(0);
    fleet.entry_with(0, &json!({ "linger": "300ms" }));
    fleet.ready(0).await;

    let entry = fleet.entry_addr(0);
    let long = actix_rt::spawn(async move { call(entry, "long", LONG).await });
    until("the answer started", || {
        fleet.ledger.counts("long").output_tokens > 0
    })
    .await;
    // The answer must not end, and the entry with it, before the late call is refused.
    fleet.pace(SLOWDOWN);
    fleet.ask("entry-0");
    let lingering = fleet.call(0, "lingering", 3).await;
    assert_eq!(text(&lingering), expected("lingering", 3));

    let mut late = lingering;
    while late.status == 200 {
        late = fleet.call(0, "late", 3).await;
    }
    assert_eq!(late.status, 503, "{late:?}");
    assert_eq!(late.body["error"]["type"], "draining");
    assert_eq!(late.body["error"]["ran"], "no");

    fleet.pace(1.0);
    let long = long.await.unwrap();
    assert_eq!(text(&long), expected("long", LONG));
    fleet.ended("entry-0").await;
}

// An entry stops and an answer takes longer than the drain limit. Its caller
// must get an error with `partial`, and the engine must stop generating.
#[actix_rt::test]
async fn stop_entry_at_drain_limit() {
    let mut fleet = Fleet::new();
    fleet.server(0);
    fleet.entry_with(0, &json!({ "linger": "0ms", "limit": "100ms" }));
    fleet.ready(0).await;

    let entry = fleet.entry_addr(0);
    let long = actix_rt::spawn(async move { call(entry, "long", LONG * 100).await });
    until("the answer started", || {
        fleet.ledger.counts("long").output_tokens > 0
    })
    .await;
    fleet.stop("entry-0").await;
    let long = long.await.unwrap();
    assert_eq!(long.body["error"]["type"], "draining", "{long:?}");
    assert_eq!(long.body["error"]["ran"], "partial");

    let last_count = Cell::new(0);
    until("the engine stops generating", || {
        let before = last_count.replace(fleet.ledger.counts("long").output_tokens);
        before == last_count.get()
    })
    .await;
}

// A sidecar stops while the list of hosts lags, and its engine crashes during
// the drain. Callers whose answers had started must get an error with `partial`
// or the complete answer of another run. No caller may wait without limit, and
// no answer may contain tokens of two runs.
#[actix_rt::test]
async fn crash_during_drain() {
    let mut fleet = Fleet::with(2).await;
    let lag = Faults {
        lag: HumanDuration::secs(30),
        ..Faults::default()
    };
    fleet.registry.control.change(|f| *f = lag);

    let callers = Callers::start(12, &[fleet.entry_addr(0)], LONG);
    until("both are used", || fleet.ledger.all_counts().len() > 10).await;
    callers.on.set(false);
    fleet.ask("sidecar-0");
    fleet.stop("engine-0").await;
    fleet.ended("sidecar-0").await;
    for (mark, answer) in callers.stop().await {
        match answer.status {
            200 => assert_eq!(text(&answer), expected(&mark, LONG)),
            _ if answer.body["error"]["ran"] == "no" => {
                assert_eq!(fleet.ledger.counts(&mark).runs, 0, "{mark}: {answer:?}");
            }
            _ => assert_eq!(answer.body["error"]["ran"], "partial", "{mark}: {answer:?}"),
        }
    }
}
