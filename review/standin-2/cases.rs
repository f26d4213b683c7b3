//! The cases. Each starts a deployment, brings a disruption about, and judges what clients
//! and runners saw.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::caller::{self, Answer, Call};
use crate::deployment::{Deployment, Entry, Record, RunnerKind, connect};
use crate::runner::unix_ms;

/// `drain_ms` of the installation.
const DRAIN_MS: u64 = 2000;

/// When a runner that leaves exits, after its report or the removal of its entry.
const EXIT_MS: u64 = 3100;

/// How long the runner before may work on after a request has gone on elsewhere.
const OVERLAP_MS: u64 = 400;

/// How long a condition is waited for.
const WAIT: Duration = Duration::from_secs(10);

/// How a case ended.
#[derive(Debug)]
pub enum Verdict {
    Held,
    /// The rule was broken, and how.
    Broken(String),
    /// What the case is about did not come about.
    NotShown(String),
}

/// The cases.
#[derive(Debug, Clone, Copy)]
pub enum Case {
    /// A runner restarts under its id while the entry stands still.
    SameId,
    /// The entry of a runner is removed while calls wait for it.
    QueuedDrain,
    /// The destination of a move begins to drain during the copy.
    MoveDrain,
    /// A request is uploaded slowly to an entry that stops.
    SlowUpload,
    /// The answer of a stream is lost while its runner works on.
    LostAnswer,
    /// A runner restarts with an earlier `born` and drains. It is not one of the cases.
    EarlierBorn,
}

impl Case {
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "same-id" => Some(Self::SameId),
            "queued-drain" => Some(Self::QueuedDrain),
            "move-drain" => Some(Self::MoveDrain),
            "slow-upload" => Some(Self::SlowUpload),
            "lost-answer" => Some(Self::LostAnswer),
            "earlier-born" => Some(Self::EarlierBorn),
            _ => None,
        }
    }
}

/// Plays a case, with or without its disruption.
pub fn play(case: Case, trouble: bool) -> io::Result<(Record, Verdict)> {
    match case {
        Case::SameId => same_id(trouble),
        Case::QueuedDrain => queued_drain(trouble),
        Case::MoveDrain => move_drain(trouble),
        Case::SlowUpload => slow_upload(trouble),
        Case::LostAnswer => lost_answer(trouble),
        Case::EarlierBorn => earlier_born(trouble),
    }
}

/// A configuration with one model service and one route to it.
fn config(slots: usize, route: &str, link_mbps: f64) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"hostname\":\"h.example\",\
         \"route_type\":\"streaming\",\"service\":\"llm\",\"max_attempts\":1,\
         \"auth_exempt\":false,\"sticky\":true,\"resumable\":false,{route}}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"max_conns\":170,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kv_capacity\":600000,\
         \"kv_token_bytes\":327680,\"link_mbps\":{link_mbps},\"moves\":true,\"backups\":true,\
         \"stride\":4,\"most\":12,\"pin_ms\":4000,\"hold_ms\":2000,\"handle_s\":5,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"t1\",\"api_keys\":[\"key1\"]}}]}}"
    )
}

/// The route of `counter-chat`-like streams.
const CHAT: &str = "\"path_prefix\":\"/chat/\",\"timeout_ms\":15000,\"target_latency_ms\":1200,\
                    \"priority\":0,\"target_gap_ms\":250";

/// Sends a call in the background; returns its answer and the number of its last event.
fn start(entry: &Entry, call: Call, record: &Record) -> (JoinHandle<Answer>, Arc<AtomicU64>) {
    let seen = Arc::new(AtomicU64::new(0));
    let (at, record, counter) = (entry.listen, record.clone(), Arc::clone(&seen));
    let answer = thread::spawn(move || caller::call(at, &call, &record, &counter));
    (answer, seen)
}

/// Waits until a condition holds; returns whether it does.
fn wait_until(mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + WAIT;
    while !done() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// The runner at which a line of the record with this text came about, and its time.
fn runner_line(record: &Record, text: &str) -> Option<(u64, String)> {
    let lines = record.lines();
    let mut found = lines.iter().filter(|(_, line)| line.starts_with("runner "));
    let (at, line) = found.find(|(_, line)| line.contains(text))?;
    Some((*at, line.split(' ').nth(1)?.to_owned()))
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn join(answer: JoinHandle<Answer>) -> Answer {
    answer.join().expect("a client has panicked")
}

/// A stream without a length is cut in the middle by the end of its runner's process. The
/// runner starts again under the id that it had before the entry, which stood still, asks for
/// it.
fn same_id(trouble: bool) -> io::Result<(Record, Verdict)> {
    const EVENTS: u64 = 20;
    let mut d = Deployment::start(&config(64, CHAT, 1_100_000.0))?;
    let kind = RunnerKind {
        service: "llm",
        slots: 64,
        copy_ns: 2_383,
    };
    let mut runners = vec![d.runner("i-1", kind)?, d.runner("i-2", kind)?];
    let entry = d.entry("front-a-1", "a")?;
    let record = d.record.clone();
    sleep_ms(3000);
    let call = Call {
        id: "x1".to_owned(),
        events: EVENTS,
        gap_ms: 100,
        framed: false,
        ..Call::default()
    };
    let (answer, seen) = start(&entry, call, &record);
    if !wait_until(|| seen.load(Ordering::SeqCst) >= 3) {
        return Ok((record, Verdict::NotShown("no stream".to_owned())));
    }
    if trouble {
        let (_, id) = runner_line(&record, "began x1").expect("the stream runs");
        record.note("entry front-a-1 is frozen (SIGSTOP)");
        entry.process.signal("STOP");
        sleep_ms(300);
        let runner = runners
            .iter_mut()
            .find(|r| r.id == id)
            .expect("a known runner");
        record.note(&format!("runner {id} is killed (SIGKILL)"));
        runner.process = None;
        sleep_ms(1000);
        d.start_runner(runner)?;
        record.note(&format!("runner {id} has started again under its id"));
        sleep_ms(700);
        entry.process.signal("CONT");
        record.note("entry front-a-1 goes on (SIGCONT)");
    }
    let answer = join(answer);
    let whole = answer.events == (1..=EVENTS).collect::<Vec<_>>();
    let verdict = match answer.complete && answer.status == 200 && !whole {
        true => Verdict::Broken(format!(
            "the client got a success that ended as complete with {} of {EVENTS} events",
            answer.events.len()
        )),
        false => Verdict::Held,
    };
    Ok((record, verdict))
}

/// Arrivals of clients' requests at a runner later than the drain time after `acknowledged`.
fn late_arrivals(record: &Record, id: &str, acknowledged: u64) -> Vec<String> {
    let arrived = format!("runner {id} arrived ");
    let lines = record.lines().into_iter();
    let late =
        lines.filter(|(at, line)| line.starts_with(&arrived) && *at > acknowledged + DRAIN_MS);
    late.map(|(at, line)| {
        let request = line.split(' ').nth(3).unwrap_or("-").to_owned();
        format!("{request} after {} ms", at - acknowledged)
    })
    .collect()
}

/// Calls wait at the sidecar of a full runner. The runner's entry is removed from the store,
/// without a report that it drains, and places become free more than the drain time later.
fn queued_drain(trouble: bool) -> io::Result<(Record, Verdict)> {
    let route = "\"path_prefix\":\"/review/\",\"timeout_ms\":10000,\"target_latency_ms\":2000,\
                 \"priority\":1,\"target_gap_ms\":1000";
    let mut d = Deployment::start(&config(4, route, 1_100_000.0))?;
    let kind = RunnerKind {
        service: "llm",
        slots: 4,
        copy_ns: 2_383,
    };
    let mut runners = [d.runner("i-1", kind)?, d.runner("i-2", kind)?];
    let entry = d.entry("front-a-1", "a")?;
    let record = d.record.clone();
    sleep_ms(3000);
    let review = |id: String, prefix: &str, events, gap_ms| Call {
        id,
        path: "/review/1",
        tokens: "1050,40".to_owned(),
        prefix: format!("{prefix}:800,{:x}:250", unix_ms()),
        limit_ms: 10_000,
        events,
        gap_ms,
        ..Call::default()
    };
    // Finds a shared part of prompts for each runner that its requests go to.
    let [first, second] = ["i-1", "i-2"].map(|id| {
        let mut prefixes = (1..=12).map(|number| format!("5c1e07a{number:x}"));
        prefixes.find(|prefix| {
            let probe = format!("probe-{id}-{prefix}");
            join(start(&entry, review(probe.clone(), prefix, 3, 30), &record).0);
            let arrived = runner_line(&record, &format!("arrived {probe} "));
            arrived.is_some_and(|(_, at)| at == id)
        })
    });
    let (Some(first), Some(second)) = (first, second) else {
        return Ok((
            record,
            Verdict::NotShown("all prompts go to one runner".to_owned()),
        ));
    };
    sleep_ms(1000);
    let mut answers = Vec::new();
    // Long answers take all places.
    for number in 0..4 {
        for prefix in [&first, &second] {
            let long = review(
                format!("long{number}-{prefix}"),
                prefix,
                7,
                470 + 20 * number,
            );
            answers.push(start(&entry, long, &record).0);
            sleep_ms(10);
        }
    }
    sleep_ms(500);
    for number in 0..4 {
        let short = review(format!("short{number}"), &first, 8, 100);
        answers.push(start(&entry, short, &record).0);
        sleep_ms(10);
    }
    sleep_ms(200);
    let home = &mut runners[0];
    let mut acknowledged = u64::MAX / 2;
    if trouble {
        acknowledged = d.remove_entry(home);
        sleep_ms(EXIT_MS);
        d.exit(home);
    }
    let answers: Vec<Answer> = answers.into_iter().map(join).collect();
    let served = answers
        .iter()
        .filter(|a| a.complete && a.status == 200)
        .count();
    let outcome = format!("{served} of {} requests were served", answers.len());
    record.note(&outcome);
    let late = late_arrivals(&record, &home.id, acknowledged);
    let verdict = match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} requests reached {} later than {DRAIN_MS} ms after the store had acknowledged \
             that it is gone: {}; {outcome}",
            late.len(),
            home.id,
            late.join(", ")
        )),
    };
    Ok((record, verdict))
}

/// A runner drains, and the entry moves its stream to another one. That one begins to drain
/// as well while the copy is on its way.
fn move_drain(trouble: bool) -> io::Result<(Record, Verdict)> {
    const EVENTS: u64 = 90;
    // 104,858 ns for each token of 327,680 bytes.
    let mut d = Deployment::start(&config(64, CHAT, 25_000.0))?;
    let kind = RunnerKind {
        service: "llm",
        slots: 64,
        copy_ns: 104_858,
    };
    let mut runners = Vec::new();
    for number in 1..=4 {
        runners.push(d.runner(&format!("i-{number}"), kind)?);
    }
    let entry = d.entry("front-a-1", "a")?;
    let record = d.record.clone();
    sleep_ms(3000);
    // A second run draws on the budget that calls add to.
    for number in 0..10 {
        let id = format!("short{number}");
        join(
            start(
                &entry,
                Call {
                    id,
                    ..Call::default()
                },
                &record,
            )
            .0,
        );
    }
    let call = Call {
        id: "x1".to_owned(),
        tokens: "33000,400".to_owned(),
        prefix: "5c1e07a2:13300,91bd3f06:19700".to_owned(),
        events: EVENTS,
        gap_ms: 100,
        ..Call::default()
    };
    let (answer, seen) = start(&entry, call, &record);
    if !wait_until(|| seen.load(Ordering::SeqCst) >= 3) {
        return Ok((record, Verdict::NotShown("no stream".to_owned())));
    }
    let (_, source) = runner_line(&record, "began x1").expect("the stream runs");
    let mut leaving = None;
    if trouble {
        let drained = Instant::now();
        d.drain(
            runners
                .iter()
                .find(|r| r.id == source)
                .expect("a known runner"),
        );
        if !wait_until(|| runner_line(&record, " move x1 ").is_some()) {
            return Ok((record, Verdict::NotShown("no move".to_owned())));
        }
        let to = runners.iter_mut().find(|r| {
            let moved = format!(" move x1 to={}", r.addr);
            runner_line(&record, &moved).is_some()
        });
        let to = to.expect("a known destination");
        sleep_ms(1000u64.saturating_sub(drained.elapsed().as_millis() as u64));
        leaving = Some((to.id.clone(), d.drain(to)));
        sleep_ms(EXIT_MS);
        d.exit(to);
    }
    let answer = join(answer);
    let outcome = match answer.complete {
        true => "the stream was complete",
        false => "the stream was cut",
    };
    record.note(outcome);
    let Some((id, acknowledged)) = leaving else {
        return Ok((record, Verdict::Held));
    };
    let late = late_arrivals(&record, &id, acknowledged);
    let verdict = match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "a request reached {id} later than {DRAIN_MS} ms after the store had acknowledged \
             that it is draining: {}; {outcome}",
            late.join(", ")
        )),
    };
    Ok((record, verdict))
}

/// A client on a slow link sends a request while the entry stops. The entry has read all of it
/// more than 3 s after the SIGTERM, passes it on, and cuts the answer at the end of its grace
/// time.
fn slow_upload(trouble: bool) -> io::Result<(Record, Verdict)> {
    let mut d = Deployment::start(&config(64, CHAT, 1_100_000.0))?;
    let kind = RunnerKind {
        service: "llm",
        slots: 64,
        copy_ns: 2_383,
    };
    let _runners = [d.runner("i-1", kind)?, d.runner("i-2", kind)?];
    let entry = d.entry("front-a-1", "a")?;
    let record = d.record.clone();
    sleep_ms(3000);
    let mut stream = connect(entry.listen)?;
    let seen = AtomicU64::new(0);
    let first = Call {
        id: "first".to_owned(),
        ..Call::default()
    };
    stream.write_all(&[first.head(), first.body.clone()].concat())?;
    caller::read_answer(&stream, "first", &record, &seen);
    let stopped = unix_ms();
    if trouble {
        entry.process.signal("TERM");
        record.note("entry front-a-1 gets SIGTERM");
    }
    sleep_ms(2200);
    let call = Call {
        id: "x1".to_owned(),
        events: 60,
        gap_ms: 100,
        body: vec![b'p'; 18_000],
        ..Call::default()
    };
    stream.write_all(&call.head())?;
    record.note("client begins to send x1 on its kept channel");
    for part in call.body.chunks(1500) {
        stream.write_all(part)?;
        sleep_ms(100);
    }
    let sent = unix_ms();
    record.note(&format!(
        "client sent the last byte of x1, {} ms after the SIGTERM",
        sent - stopped
    ));
    let answer = caller::read_answer(&stream, "x1", &record, &seen);
    let passed = runner_line(&record, "arrived x1").is_some();
    let ended = unix_ms();
    let verdict = match trouble && passed && !answer.complete && sent > stopped + 3000 {
        true => Verdict::Broken(format!(
            "x1 was sent {} ms after the SIGTERM and passed on to a runner; its channel ended \
             {} ms after the SIGTERM without a complete answer",
            sent - stopped,
            ended - stopped
        )),
        false => Verdict::Held,
    };
    Ok((record, verdict))
}

/// The answer of a stream that may run once only is lost in the middle, and its runner works on.
/// The entry lets the request go on at the runner that has the backup of its memory.
fn lost_answer(trouble: bool) -> io::Result<(Record, Verdict)> {
    let mut d = Deployment::start(&config(64, CHAT, 1_100_000.0))?;
    let kind = RunnerKind {
        service: "llm",
        slots: 64,
        copy_ns: 2_383,
    };
    let _runners = [d.runner("i-1", kind)?, d.runner("i-2", kind)?];
    let entry = d.entry("front-a-1", "a")?;
    let record = d.record.clone();
    sleep_ms(3000);
    // A second run draws on the budget that calls add to.
    for number in 0..10 {
        let id = format!("short{number}");
        join(
            start(
                &entry,
                Call {
                    id,
                    ..Call::default()
                },
                &record,
            )
            .0,
        );
    }
    let call = Call {
        id: "x1".to_owned(),
        events: 30,
        gap_ms: 100,
        lost_after: trouble.then_some(8),
        ..Call::default()
    };
    join(start(&entry, call, &record).0);
    sleep_ms(3000);
    let runs: Vec<(u64, String)> = record
        .lines()
        .into_iter()
        .filter(|(_, line)| line.contains(" began x1 "))
        .collect();
    let Some((second_at, second)) = runs.get(1) else {
        return Ok((record, Verdict::Held));
    };
    let first = runs[0].1.split(' ').nth(1).unwrap_or("-");
    let ended = runner_line(&record, &format!("{first} ended x1 ")).map_or(u64::MAX, |(at, _)| at);
    let verdict = match ended > second_at + OVERLAP_MS {
        true => Verdict::Broken(format!(
            "{second}: {} ms later {first} still worked on the request",
            ended - second_at
        )),
        false => Verdict::Held,
    };
    Ok((record, verdict))
}

/// A runner restarts twice, first while the time of day on its machine is ahead, and then drains.
fn earlier_born(trouble: bool) -> io::Result<(Record, Verdict)> {
    const AHEAD_MS: u64 = 2400;
    let mut d = Deployment::start(&config(64, CHAT, 1_100_000.0))?;
    let kind = RunnerKind {
        service: "llm",
        slots: 64,
        copy_ns: 2_383,
    };
    let mut runners = [d.runner("i-1", kind)?, d.runner("i-2", kind)?];
    let entry = d.entry("front-a-1", "a")?;
    let record = d.record.clone();
    sleep_ms(3000);
    let runner = &mut runners[0];
    for ahead_ms in [if trouble { AHEAD_MS } else { 0 }, 0] {
        runner.process = None;
        d.start_runner_ahead(runner, ahead_ms)?;
        record.note(&format!(
            "runner i-1 has restarted, its clock {ahead_ms} ms ahead"
        ));
        sleep_ms(1200);
    }
    let acknowledged = d.drain(runner);
    let mut answers = Vec::new();
    for number in 0..300 {
        let call = Call {
            id: format!("x{number}"),
            prefix: format!("{number:x}:10,{number:x}f:20"),
            ..Call::default()
        };
        answers.push(start(&entry, call, &record).0);
        sleep_ms(20);
    }
    answers.into_iter().for_each(|answer| drop(join(answer)));
    let late = late_arrivals(&record, "i-1", acknowledged);
    let verdict = match late.last() {
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "{} requests reached i-1 later than {DRAIN_MS} ms after the store had acknowledged \
             that it is draining, the last {last}",
            late.len()
        )),
    };
    Ok((record, verdict))
}
