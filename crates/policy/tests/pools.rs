//! Which engines read prompts and which write answers, replayed under the
//! load that the split is for.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::others::{Calls, Others, Saying};
use policy::pools::{IncomingCall, Phase, PhasePools, ServiceDemand};

const ENGINES: usize = 18;
const SLOTS: u32 = 16;

/// Seconds that an engine takes to read a token; 150 in a millisecond.
const PACE: f64 = 1.0 / 150_000.0;

/// The pause that streams meet beside reading.
const PAUSE: Duration = Duration::from_millis(200);

/// A long prompt with a short answer.
fn bulk(prompt: u32) -> IncomingCall<'static> {
    IncomingCall {
        route: "bulk",
        prompt_tokens: prompt,
        max_answer: 50,
        max_gap: Some(Duration::from_millis(500)),
    }
}

/// A long answer whose reader notices pauses.
fn chat() -> IncomingCall<'static> {
    IncomingCall {
        route: "chat",
        prompt_tokens: 500,
        max_answer: 280,
        max_gap: Some(Duration::from_millis(120)),
    }
}

struct Load {
    now: Instant,
    pools: PhasePools,
    service: Rc<str>,
    /// Streams in progress, by the tenth of a second in which they came.
    open: VecDeque<u32>,
}

impl Load {
    fn new() -> Self {
        let mut load = Self {
            now: Instant::now(),
            pools: PhasePools::default(),
            service: Rc::from("llm"),
            open: VecDeque::new(),
        };
        load.pause(PAUSE);
        load
    }

    /// Streams at engines that read end, each with a pause of `pause`.
    fn pause(&mut self, pause: Duration) {
        for _ in 0..200 {
            self.pools.record_pause(self.now, &self.service, pause);
        }
    }

    fn came(&mut self, coming: IncomingCall<'_>) -> Phase {
        self.pools.classify(self.now, &self.service, coming)
    }

    /// Lets `prompts` long prompts and `streams` long answers a second come
    /// for some seconds; a stream takes one second.
    fn run(&mut self, seconds: u32, prompts: u32, streams: u32) {
        let step = Duration::from_millis(100);
        for _ in 0..seconds * 10 {
            for i in 0..prompts / 10 {
                let tokens = 2000 + 400 * (i % 5);
                assert_eq!(self.came(bulk(tokens)), Phase::Prefill);
                let took = Duration::from_secs_f64(0.03 + f64::from(tokens) * PACE);
                self.pools
                    .record_first_event(self.now, &self.service, tokens, took);
            }
            for _ in 0..streams / 10 {
                assert_eq!(self.came(chat()), Phase::Decode);
            }
            self.open.push_back(streams / 10);
            self.now += step;
            // Those that came a second ago end now.
            if self.open.len() > 10 {
                for _ in 0..self.open.pop_front().unwrap_or(0) {
                    self.pools.call_ended(self.now, &self.service);
                }
            }
        }
    }

    fn writers(&mut self) -> usize {
        self.pools
            .decode_engines(self.now, &self.service, ENGINES, SLOTS)
    }
}

#[test]
fn one_kind_takes_all() {
    let mut load = Load::new();
    load.run(5, 100, 0);
    assert_eq!(load.writers(), 0);
    let mut load = Load::new();
    load.run(5, 0, 20);
    assert_eq!(load.writers(), 0);
}

/// Long prompts burst beside live streams. Shared engines read a chunk in
/// each step and every stream on them pauses for longer than its reader
/// bears; so some engines must be left to streams alone.
#[test]
fn streams_keep_engines_in_a_burst() {
    let mut load = Load::new();
    load.run(5, 100, 20);
    let calm = load.writers();
    assert!((2..=9).contains(&calm), "{calm} engines of {ENGINES}");
    load.run(5, 300, 20);
    let burst = load.writers();
    assert!(burst >= 2, "{burst} engines are left to streams");
    assert!(burst <= calm, "prompts got no further engines");
}

/// The demand swings by a little around a cut. If the cut moved each time,
/// prompts would lose their cached parts and streams would meet prompts.
#[test]
fn small_swings_do_not_move_the_cut() {
    let mut load = Load::new();
    load.run(5, 100, 20);
    let cut = load.writers();
    for prompts in [110, 90, 110, 90] {
        load.run(2, prompts, 20);
        assert_eq!(load.writers(), cut);
    }
}

/// Twice the streams come within a second. A split that follows slowly lets
/// them wait for slots while the readers' engines are half idle.
#[test]
fn more_streams_get_more_engines() {
    let mut load = Load::new();
    load.run(5, 100, 20);
    let before = load.writers();
    for _ in 0..60 {
        load.came(chat());
    }
    assert!(load.writers() > before);
}

/// However many streams come, prompts go on being read.
#[test]
fn readers_keep_a_quarter() {
    let mut load = Load::new();
    load.run(3, 100, 20);
    for _ in 0..5000 {
        load.came(chat());
    }
    assert!(load.writers() <= ENGINES - ENGINES / 4);
}

/// Four entries see a quarter of the load each. They must cut at the same
/// place, or streams of one meet prompts of another.
#[test]
fn entries_cut_alike() {
    let mut whole = Load::new();
    whole.run(5, 200, 40);
    let mut quarter = Load::new();
    quarter.run(5, 50, 10);
    let (_, told) = quarter.pools.local_demand(quarter.now).remove(0);
    let others = ServiceDemand {
        prefill_rate: told.prefill_rate * 3.0,
        decode_calls: told.decode_calls * 3.0,
        prefill_pace: told.prefill_pace,
        pace_entries: 3,
        stream_pause: told.stream_pause,
    };
    quarter
        .pools
        .set_remote(quarter.now, &quarter.service, others);
    let (a, b) = (whole.writers(), quarter.writers());
    assert!(a.abs_diff(b) <= 1, "{a} and {b}");
}

/// A fresh entry has seen a few slow first events, the others many fast ones.
/// If its own counted for half, it alone would cut elsewhere.
#[test]
fn odd_samples_do_not_move_one_entry() {
    let mut usual = Load::new();
    usual.run(5, 50, 10);
    let (_, told) = usual.pools.local_demand(usual.now).remove(0);
    let others = ServiceDemand {
        prefill_rate: told.prefill_rate * 2.0,
        decode_calls: told.decode_calls * 2.0,
        prefill_pace: told.prefill_pace,
        pace_entries: 25,
        stream_pause: told.stream_pause,
    };
    let cut = |samples: u32| {
        let mut load = Load::new();
        load.pools.set_remote(load.now, &load.service, others);
        for i in 0..samples {
            let tokens = 2000 + 2000 * (i % 2);
            let took = Duration::from_secs_f64(0.03 + f64::from(tokens) * PACE * 10.0);
            load.pools
                .record_first_event(load.now, &load.service, tokens, took);
        }
        load.writers()
    };
    let (without, with) = (cut(0), cut(10));
    assert!(without.abs_diff(with) <= 1, "{without} and {with}");
}

/// A dossier of 3,700 tokens with a long answer whose reader bears a second.
fn dossier() -> IncomingCall<'static> {
    IncomingCall {
        route: "dossier",
        prompt_tokens: 3_700,
        max_answer: 480,
        max_gap: Some(Duration::from_secs(1)),
    }
}

/// A short question whose reader bears a quarter of a second.
fn question() -> IncomingCall<'static> {
    IncomingCall {
        route: "question",
        prompt_tokens: 1_100,
        max_answer: 600,
        max_gap: Some(Duration::from_millis(250)),
    }
}

/// Dossiers and questions both get long answers, and share engines on which
/// each event takes 370 ms beside a read. The questions are all late by it,
/// while dossiers bear it: only the questions need engines of their own, and
/// dossiers sent there too would bring the reading with them.
#[test]
fn only_who_suffers_is_kept_apart() {
    let mut load = Load::new();
    load.pause(Duration::from_millis(370));
    for _ in 0..50 {
        assert_eq!(load.came(dossier()), Phase::Prefill);
        assert_eq!(load.came(question()), Phase::Decode);
    }
}

/// Nothing was seen yet. Of two routes the one that bears a quarter of what
/// the other does is kept apart; two that bear alike are not.
#[test]
fn prior_by_what_routes_bear() {
    let mut load = Load::new();
    load.pools = PhasePools::default();
    load.came(dossier());
    assert_eq!(load.came(question()), Phase::Decode);
    let alike = IncomingCall {
        max_gap: Some(Duration::from_millis(800)),
        ..question()
    };
    load.pools = PhasePools::default();
    load.came(dossier());
    assert_eq!(load.came(alike), Phase::Prefill);
}

/// The engines here read in small steps, and no stream pauses for long. What
/// was assumed before does not stand against what is seen, here or by others.
#[test]
fn prior_gives_way_to_pauses_seen() {
    let mut load = Load::new();
    load.pools = PhasePools::default();
    load.came(dossier());
    load.pause(Duration::from_millis(90));
    assert_eq!(load.came(question()), Phase::Prefill);
    let others = ServiceDemand {
        stream_pause: 0.37,
        ..ServiceDemand::default()
    };
    load.pools.set_remote(load.now, &load.service, others);
    assert_eq!(load.came(question()), Phase::Decode);
}

/// Little is read for ten seconds, and streams beside reading pause for less.
/// If their route went back and forth with it, the next burst would find the
/// questions among dossiers again, and all homes moved.
#[test]
fn calm_seconds_do_not_mix_them() {
    let mut load = Load::new();
    load.pause(Duration::from_millis(370));
    load.came(question());
    for _ in 0..10 {
        load.now += Duration::from_secs(1);
        load.pause(Duration::from_millis(60));
        assert_eq!(load.came(question()), Phase::Decode);
    }
}

fn saying(life: u64, seq: u32, open: u32) -> Saying {
    Saying {
        life,
        seq,
        every: Duration::from_millis(100),
        entries: 1,
        calls: vec![(1, Calls { open, waiting: 1 })],
        ..Saying::default()
    }
}

/// Calls that all others have open at the server.
fn open(others: &Others, now: Instant) -> u32 {
    others.sum(now, &Saying::default()).calls[&1].open
}

/// An entry is killed and never speaks again. Its calls end with it, so what
/// it told must not keep servers looking busy.
#[test]
fn silent_entry_is_forgotten() {
    let (now, mut others) = (Instant::now(), Others::default());
    others.hear(now, saying(1, 1, 5));
    others.hear(now, saying(2, 1, 3));
    assert_eq!(open(&others, now), 8);
    let later = now + Duration::from_millis(300);
    others.hear(later, saying(2, 2, 4));
    others.forget(now + Duration::from_millis(500));
    assert_eq!(open(&others, later), 4);
    assert_eq!(others.count(), 1);
}

/// Datagrams overtake each other; the older one must not count.
#[test]
fn late_saying_is_dropped() {
    let (now, mut others) = (Instant::now(), Others::default());
    others.hear(now, saying(1, 2, 5));
    others.hear(now, saying(1, 1, 9));
    assert_eq!(open(&others, now), 5);
}
