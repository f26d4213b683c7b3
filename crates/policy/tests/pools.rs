//! The split of engines between prefill and decode under simulated load, and
//! the sum of other entries' reports.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::peer_load::{CallCounts, LoadReport, PeerLoads};
use policy::pools::{IncomingCall, Phase, PhasePools, ServiceDemand};

const ENGINES: usize = 18;
const SLOTS: u32 = 16;

/// Prefill seconds per token: 150 tokens per millisecond.
const PACE: f64 = 1.0 / 150_000.0;

/// The pause of streams beside prefill.
const PAUSE: Duration = Duration::from_millis(200);

/// A long prompt with a short answer.
fn long_prompt(prompt_tokens: u32) -> IncomingCall<'static> {
    IncomingCall {
        route: "bulk",
        prompt_tokens,
        max_answer: 50,
        max_gap: Some(Duration::from_millis(500)),
    }
}

/// A long answer with a short maximum gap.
fn stream() -> IncomingCall<'static> {
    IncomingCall {
        route: "chat",
        prompt_tokens: 500,
        max_answer: 280,
        max_gap: Some(Duration::from_millis(120)),
    }
}

struct Simulation {
    now: Instant,
    pools: PhasePools,
    service: Rc<str>,
    /// Number of streams started in each of the last tenths of a second.
    open_streams: VecDeque<u32>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Instant::now(),
            pools: PhasePools::default(),
            service: Rc::from("llm"),
            open_streams: VecDeque::new(),
        };
        simulation.pause(PAUSE);
        simulation
    }

    /// Records the end of 200 streams, each with the given pause, on engines
    /// that also prefill.
    fn pause(&mut self, pause: Duration) {
        for _ in 0..200 {
            self.pools.record_pause(self.now, &self.service, pause);
        }
    }

    fn classify(&mut self, call: IncomingCall<'_>) -> Phase {
        self.pools.classify(self.now, &self.service, call)
    }

    /// Sends `prompts` long prompts and `streams` streams per second; a stream
    /// takes one second.
    fn run(&mut self, seconds: u32, prompts: u32, streams: u32) {
        let step = Duration::from_millis(100);
        for _ in 0..seconds * 10 {
            for i in 0..prompts / 10 {
                let tokens = 2000 + 400 * (i % 5);
                assert_eq!(self.classify(long_prompt(tokens)), Phase::Prefill);
                let took = Duration::from_secs_f64(0.03 + f64::from(tokens) * PACE);
                self.pools
                    .record_first_event(self.now, &self.service, tokens, took);
            }
            for _ in 0..streams / 10 {
                assert_eq!(self.classify(stream()), Phase::Decode);
            }
            self.open_streams.push_back(streams / 10);
            self.now += step;
            // Ends the streams that started a second ago.
            if self.open_streams.len() > 10 {
                for _ in 0..self.open_streams.pop_front().unwrap_or(0) {
                    self.pools.call_ended(self.now, &self.service);
                }
            }
        }
    }

    fn decode_engines(&mut self) -> usize {
        self.pools
            .decode_engines(self.now, &self.service, ENGINES, SLOTS)
    }
}

#[test]
fn single_phase_has_no_split() {
    let mut simulation = Simulation::new();
    simulation.run(5, 100, 0);
    assert_eq!(simulation.decode_engines(), 0);
    let mut simulation = Simulation::new();
    simulation.run(5, 0, 20);
    assert_eq!(simulation.decode_engines(), 0);
}

/// Long prompts burst beside running streams. On shared engines, which prefill
/// a chunk in each step, every stream would exceed its maximum gap, so some
/// engines must be reserved for streams.
#[test]
fn decode_keeps_engines_in_burst() {
    let mut simulation = Simulation::new();
    simulation.run(5, 100, 20);
    let before_burst = simulation.decode_engines();
    assert!(
        (2..=9).contains(&before_burst),
        "{before_burst} engines of {ENGINES}"
    );
    simulation.run(5, 300, 20);
    let burst = simulation.decode_engines();
    assert!(burst >= 2, "{burst} engines are left to streams");
    assert!(burst <= before_burst, "prompts got no further engines");
}

/// The demand varies slightly. If the split followed each time, prompts would
/// lose their cached parts and streams would meet prompts.
#[test]
fn small_swings_keep_split() {
    let mut simulation = Simulation::new();
    simulation.run(5, 100, 20);
    let split = simulation.decode_engines();
    for prompts in [110, 90, 110, 90] {
        simulation.run(2, prompts, 20);
        assert_eq!(simulation.decode_engines(), split);
    }
}

/// 60 streams arrive at once beside the 20 that run. With a split that follows
/// slowly, they would wait for slots while the prefill engines are half idle.
#[test]
fn more_streams_get_more_engines() {
    let mut simulation = Simulation::new();
    simulation.run(5, 100, 20);
    let before = simulation.decode_engines();
    for _ in 0..60 {
        simulation.classify(stream());
    }
    assert!(simulation.decode_engines() > before);
}

/// However many streams arrive, prompts must still be served.
#[test]
fn prefill_keeps_a_quarter() {
    let mut simulation = Simulation::new();
    simulation.run(3, 100, 20);
    for _ in 0..5000 {
        simulation.classify(stream());
    }
    assert!(simulation.decode_engines() <= ENGINES - ENGINES / 4);
}

/// Four entries see a quarter of the load each. They must choose the same
/// split, or one entry's streams would meet another's prompts.
#[test]
fn entries_agree_on_split() {
    let mut whole = Simulation::new();
    whole.run(5, 200, 40);
    let mut quarter = Simulation::new();
    quarter.run(5, 50, 10);
    let (_, demand) = quarter.pools.local_demand(quarter.now).remove(0);
    let remote = ServiceDemand {
        prefill_rate: demand.prefill_rate * 3.0,
        decode_calls: demand.decode_calls * 3.0,
        prefill_pace: demand.prefill_pace,
        pace_entries: 3,
        stream_pause: demand.stream_pause,
    };
    quarter
        .pools
        .set_remote(quarter.now, &quarter.service, remote);
    let (a, b) = (whole.decode_engines(), quarter.decode_engines());
    assert!(a.abs_diff(b) <= 1, "{a} and {b}");
}

/// A new entry has measured a few slow first events, the other entries many
/// fast ones. If its own samples had half of the weight, it would choose a
/// different split.
#[test]
fn few_samples_keep_split() {
    let mut usual = Simulation::new();
    usual.run(5, 50, 10);
    let (_, demand) = usual.pools.local_demand(usual.now).remove(0);
    let remote = ServiceDemand {
        prefill_rate: demand.prefill_rate * 2.0,
        decode_calls: demand.decode_calls * 2.0,
        prefill_pace: demand.prefill_pace,
        pace_entries: 25,
        stream_pause: demand.stream_pause,
    };
    let split = |samples: u32| {
        let mut simulation = Simulation::new();
        simulation
            .pools
            .set_remote(simulation.now, &simulation.service, remote);
        for i in 0..samples {
            let tokens = 2000 + 2000 * (i % 2);
            let took = Duration::from_secs_f64(0.03 + f64::from(tokens) * PACE * 10.0);
            simulation
                .pools
                .record_first_event(simulation.now, &simulation.service, tokens, took);
        }
        simulation.decode_engines()
    };
    let (without, with) = (split(0), split(10));
    assert!(without.abs_diff(with) <= 1, "{without} and {with}");
}

/// A prompt of 3,700 tokens with a long answer and a maximum gap of 1 s.
fn long_document() -> IncomingCall<'static> {
    IncomingCall {
        route: "dossier",
        prompt_tokens: 3_700,
        max_answer: 480,
        max_gap: Some(Duration::from_secs(1)),
    }
}

/// A short question with a long answer and a maximum gap of 250 ms.
fn question() -> IncomingCall<'static> {
    IncomingCall {
        route: "question",
        prompt_tokens: 1_100,
        max_answer: 600,
        max_gap: Some(Duration::from_millis(250)),
    }
}

/// Both kinds get long answers and share engines on which each event beside
/// prefill takes 370 ms. Only the questions exceed their maximum gap and need
/// engines of their own; long documents sent there too would bring their
/// prefill with them.
#[test]
fn only_strict_streams_are_separated() {
    let mut simulation = Simulation::new();
    simulation.pause(Duration::from_millis(370));
    for _ in 0..50 {
        assert_eq!(simulation.classify(long_document()), Phase::Prefill);
        assert_eq!(simulation.classify(question()), Phase::Decode);
    }
}

/// Before any measurement, a route with a quarter of the other's maximum gap
/// is separated; two routes with similar gaps are not.
#[test]
fn prior_compares_max_gaps() {
    let mut simulation = Simulation::new();
    simulation.pools = PhasePools::default();
    simulation.classify(long_document());
    assert_eq!(simulation.classify(question()), Phase::Decode);
    let alike = IncomingCall {
        max_gap: Some(Duration::from_millis(800)),
        ..question()
    };
    simulation.pools = PhasePools::default();
    simulation.classify(long_document());
    assert_eq!(simulation.classify(alike), Phase::Prefill);
}

/// The engines prefill in small steps, and no stream pauses for long. Measured
/// pauses, its own or reported by others, must replace the prior.
#[test]
fn measured_pauses_replace_prior() {
    let mut simulation = Simulation::new();
    simulation.pools = PhasePools::default();
    simulation.classify(long_document());
    simulation.pause(Duration::from_millis(90));
    assert_eq!(simulation.classify(question()), Phase::Prefill);
    let remote = ServiceDemand {
        stream_pause: 0.37,
        ..ServiceDemand::default()
    };
    simulation
        .pools
        .set_remote(simulation.now, &simulation.service, remote);
    assert_eq!(simulation.classify(question()), Phase::Decode);
}

/// For ten seconds there is little prefill, and the pauses of streams are
/// short. If the route followed this, the next burst would again find the
/// questions beside long documents, and all prompts would have to move.
#[test]
fn idle_seconds_keep_separation() {
    let mut simulation = Simulation::new();
    simulation.pause(Duration::from_millis(370));
    simulation.classify(question());
    for _ in 0..10 {
        simulation.now += Duration::from_secs(1);
        simulation.pause(Duration::from_millis(60));
        assert_eq!(simulation.classify(question()), Phase::Decode);
    }
}

fn saying(life: u64, seq: u32, open: u32) -> LoadReport {
    LoadReport {
        incarnation: life,
        seq,
        interval: Duration::from_millis(100),
        entries: 1,
        calls: vec![(1, CallCounts { open, waiting: 1 })],
        ..LoadReport::default()
    }
}

/// Calls that all other entries have open at the server.
fn open_calls(remote: &PeerLoads, now: Instant) -> u32 {
    remote.sum(now, &LoadReport::default()).calls[&1].open
}

/// An entry is killed. Its calls end with it, so its last report must not keep
/// servers looking busy.
#[test]
fn silent_entry_is_forgotten() {
    let (now, mut remote) = (Instant::now(), PeerLoads::default());
    remote.observe(now, saying(1, 1, 5));
    remote.observe(now, saying(2, 1, 3));
    assert_eq!(open_calls(&remote, now), 8);
    let later = now + Duration::from_millis(300);
    remote.observe(later, saying(2, 2, 4));
    remote.expire(now + Duration::from_millis(500));
    assert_eq!(open_calls(&remote, later), 4);
    assert_eq!(remote.count(), 1);
}

/// Datagrams may arrive out of order; the older report must be ignored.
#[test]
fn late_report_is_dropped() {
    let (now, mut remote) = (Instant::now(), PeerLoads::default());
    remote.observe(now, saying(1, 2, 5));
    remote.observe(now, saying(1, 1, 9));
    assert_eq!(open_calls(&remote, now), 5);
}
