//! Daemons stop under load, one after the other and together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use base::settings::HumanDuration;
use serde_json::json;
use standin::hosts::Faults;

use crate::fleet::{Answer, Fleet, call, expected, ready, text, until};

/// Tokens of an answer that takes about a second.
const LONG: u32 = 400;

/// How many times longer a step takes of engines that are held back. None of
/// their long answers ends within [`PATIENCE`](crate::fleet::PATIENCE), and the
/// pause between tokens stays below what a sidecar takes for silence.
const HELD: f64 = 60.0;

/// Callers that send one request after the other through a balancer, which
/// turns to the next entry when one takes no connection or is draining.
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
                    let answer = balanced(&entries, first, &mark, length).await;
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

    /// Waits until so many more requests were answered.
    async fn more(&self, count: usize) {
        let target = self.count() + count;
        until("callers are answered", || self.count() >= target).await;
    }

    async fn stop(self) -> Vec<(String, Answer)> {
        self.on.set(false);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.answers.take()
    }
}

/// Sends a request as a balancer does: to an entry that is ready, and to the
/// next one when it took no connection or was draining. An entry whose
/// readiness went off still serves what is sent within its linger.
async fn balanced(entries: &[SocketAddr], first: usize, mark: &str, length: u32) -> Answer {
    let mut answer = None;
    for turn in 0..entries.len() * 4 {
        let entry = entries[(first + turn) % entries.len()];
        if !ready(entry).await {
            continue;
        }
        let got = call(entry, mark, length).await;
        let elsewhere = got.status == 0 || got.body["error"]["type"] == "draining";
        answer = Some(got);
        if !elsewhere {
            break;
        }
    }
    answer.expect("no entry is ready")
}

/// Checks that every answer is whole and every request ran exactly once.
fn check(fleet: &Fleet, answers: &[(String, Answer)], length: u32) {
    for (mark, answer) in answers {
        assert_eq!(text(answer), expected(mark, length), "{mark}: {answer:?}");
        let seen = fleet.ledger.counts(mark);
        assert_eq!((seen.runs, seen.completed_runs), (1, 1), "{mark}");
    }
}

// Operators restart every sidecar and every entry in turn while callers send
// requests. Callers see nothing: what runs ends whole where it is, what waits
// gets a slot elsewhere, and nothing runs twice.
#[actix_rt::test]
async fn restart_all_in_turn() {
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
    check(&fleet, &answers, 20);
}

// A sidecar stops while it runs requests and others wait behind them. Callers
// see nothing: those that run end whole, and those that wait are refused at
// once by the sidecar and find a slot at the other. The engines are held back
// until then: an answer that ended sooner would have its caller send a second
// request, and one engine could be through before the other began.
#[actix_rt::test]
async fn stop_sidecar_with_queue() {
    let mut fleet = Fleet::with(2).await;
    fleet.pace(HELD);

    // Twice as many as there are slots, so that half of them wait.
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
    check(&fleet, &answers, LONG);
    assert_eq!(answers.len(), 32);
}

// A sidecar is stopped while the list is frozen and shows it as live for ever.
// Callers see nothing, before and after it is gone.
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
    check(&fleet, &answers, 20);
}

// An entry stops while an answer is in progress and the balancer still sends
// requests. Within the linger they are served; after it they are told to ask
// another entry, as not run; the answer in progress ends whole.
#[actix_rt::test]
async fn stop_entry_with_answer() {
    let mut fleet = Fleet::new();
    fleet.server(0);
    fleet.entry_with(0, &json!({ "linger": "300ms" }));
    fleet.ready(0).await;

    let entry = fleet.entry_addr(0);
    let long = actix_rt::spawn(async move { call(entry, "long", LONG).await });
    until("the answer is begun", || {
        fleet.ledger.counts("long").output_tokens > 0
    })
    .await;
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

    let long = long.await.unwrap();
    assert_eq!(text(&long), expected("long", LONG));
    fleet.ended("entry-0").await;
}

// An entry stops and an answer takes longer than the drain may. Its caller is
// told that it is partial, and what the engine still makes for it is stopped.
#[actix_rt::test]
async fn stop_entry_at_limit() {
    let mut fleet = Fleet::new();
    fleet.server(0);
    fleet.entry_with(0, &json!({ "linger": "0ms", "limit": "100ms" }));
    fleet.ready(0).await;

    let entry = fleet.entry_addr(0);
    let long = actix_rt::spawn(async move { call(entry, "long", LONG * 100).await });
    until("the answer is begun", || {
        fleet.ledger.counts("long").output_tokens > 0
    })
    .await;
    fleet.stop("entry-0").await;
    let long = long.await.unwrap();
    assert_eq!(long.body["error"]["type"], "draining", "{long:?}");
    assert_eq!(long.body["error"]["ran"], "partial");

    let made = Cell::new(0);
    until("the engine stops", || {
        let before = made.replace(fleet.ledger.counts("long").output_tokens);
        before == made.get()
    })
    .await;
}

// A sidecar stops while the list lags, and its engine's host crashes in the
// middle of the drain. Callers whose answers had begun hear that they are
// partial or get them whole from the other server; nobody waits for ever, and
// no answer is mixed from two runs.
#[actix_rt::test]
async fn crash_during_drain() {
    let mut fleet = Fleet::with(2).await;
    let lag = Faults {
        lag: HumanDuration::secs(30),
        ..Faults::default()
    };
    fleet.registry.control.change(|f| *f = lag);

    let callers = Callers::start(12, &[fleet.entry_addr(0)], LONG);
    until("both serve", || fleet.ledger.all_counts().len() > 10).await;
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
