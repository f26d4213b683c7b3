//! The requests of an engine and its steps.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use clients::engine::{CacheEvents, LoadReport};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use super::cache::Cache;
use super::{Faults, Settings};
use crate::control::FaultControl;
use crate::ledger::{Ledger, RequestCounters};

/// How often the load is load_samples for reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Observations that are kept, enough for a lag of a minute.
const MAX_SAMPLES: usize = 1200;

/// How far the steps may lag behind their schedule and still catch up; an
/// engine that was held up longer goes on from now.
const MAX_STEP_LAG: Duration = Duration::from_millis(50);

/// A running engine.
pub struct Batch {
    /// What it was set up with.
    pub settings: Settings,
    /// What is wrong with it.
    pub faults: FaultControl<Faults>,
    /// What is noted for judging the router.
    pub ledger: Ledger,
    /// Requests by their id, those that ended_at lately among them.
    requests: RefCell<HashMap<String, Rc<Request>>>,
    /// Requests that run.
    running: RefCell<Vec<Rc<Request>>>,
    /// Requests that wait for room in the batch, by priority.
    waiting: RefCell<VecDeque<Rc<Request>>>,
    cache: RefCell<Cache>,
    /// Load as it was, for reports that lag.
    load_samples: RefCell<VecDeque<(Instant, LoadReport)>>,
    /// Draws which cache events get lost.
    rng: RefCell<Pcg64Mcg>,
    /// Wakes the stepping when there is work_available.
    work_available: Notify,
}

/// A request to take in.
pub struct NewRequest<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The caller's mark.
    pub mark: &'a str,
    /// The priority; lower numbers go first.
    pub priority: u8,
    /// Tokens that the answer will have.
    pub output_length: u32,
    /// The prompt_tokens.
    pub text: &'a [u8],
}

/// One request.
pub struct Request {
    /// The caller's mark.
    pub mark: String,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated so far.
    pub generated: Cell<u32>,
    /// Whether it was stopped.
    pub cancelled: Cell<bool>,
    /// When it ended_at.
    pub ended_at: Cell<Option<Instant>>,
    /// Wakes its streams.
    pub changed: Notify,
    counters: Arc<RequestCounters>,
    priority: u8,
    output_length: u32,
    /// Prompt tokens still to compute.
    prefill_left: Cell<u32>,
}

/// Steps the batch for as long as there is work_available.
pub async fn run_steps(batch: Rc<Batch>, stop: StopSignal) {
    let mut due = tokio::time::Instant::now();
    while !stop.is_triggered() || !batch.is_idle() {
        batch.fill_batch();
        if batch.is_idle() {
            tokio::select! {
                () = batch.work_available.notified() => {}
                () = stop.wait() => {}
            }
            due = tokio::time::Instant::now();
            continue;
        }

        // The timer is coarser than a step. Steps due by an absolute schedule
        // take as long as they should on average, whatever one of them takes.
        // An engine without step time makes tokens as fast as it can.
        let step = batch.step_duration();
        if step.is_zero() {
            tokio::task::yield_now().await;
            batch.execute_step();
            continue;
        }
        due = due.max(tokio::time::Instant::now() - MAX_STEP_LAG) + step;
        tokio::time::sleep_until(due).await;
        batch.execute_step();
    }
}

/// Notes the load again and again, for reports that lag.
pub async fn sample_load(batch: Rc<Batch>, stop: StopSignal) {
    while !stop.is_triggered() {
        batch.record_load();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

impl Batch {
    /// Makes an is_idle engine.
    #[must_use]
    pub fn new(settings: Settings, faults: FaultControl<Faults>, ledger: Ledger) -> Rc<Self> {
        let seed = u128::from(settings.listen.port()) << 1 | 1;
        Rc::new(Self {
            cache: RefCell::new(Cache::new(settings.cache_tokens)),
            settings,
            faults,
            ledger,
            requests: RefCell::default(),
            running: RefCell::default(),
            waiting: RefCell::default(),
            load_samples: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::new(seed)),
            work_available: Notify::new(),
        })
    }

    /// Takes in a request.
    pub fn submit(&self, job: &NewRequest<'_>) -> Rc<Request> {
        let prompt_tokens = u32::try_from(job.text.len() / 4).unwrap_or(u32::MAX).max(1);
        let cached_tokens = self.cache.borrow_mut().admit(job.text, Instant::now());
        let counters = self.ledger.counters(job.mark);
        RequestCounters::add(&counters.runs, 1);

        let request = Rc::new(Request {
            mark: job.mark.to_owned(),
            prompt_tokens,
            cached_tokens,
            generated: Cell::new(0),
            cancelled: Cell::new(false),
            ended_at: Cell::new(None),
            changed: Notify::new(),
            counters,
            priority: job.priority,
            output_length: job.output_length,
            // The last token of a prompt_tokens is computed in any case.
            prefill_left: Cell::new(prompt_tokens.saturating_sub(cached_tokens).max(1)),
        });
        let id = job.id.to_owned();
        self.requests.borrow_mut().insert(id, Rc::clone(&request));

        let mut waiting = self.waiting.borrow_mut();
        let at = waiting.partition_point(|r| r.priority <= request.priority);
        waiting.insert(at, Rc::clone(&request));
        self.work_available.notify_one();
        request
    }

    /// Finds a request that runs or ended_at lately.
    pub fn find(&self, id: &str) -> Option<Rc<Request>> {
        self.requests.borrow().get(id).cloned()
    }

    /// Stops a request.
    pub fn cancel(&self, id: &str) {
        if let Some(request) = self.requests.borrow_mut().remove(id) {
            request.cancelled.set(true);
            request.changed.notify_waiters();
        }
    }

    /// The load as the faults let it be known.
    pub fn report(&self) -> LoadReport {
        let lag = self.faults.get().report_lag.0;
        let load_samples = self.load_samples.borrow();
        let old = load_samples
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        match old {
            Some((_, report)) if !lag.is_zero() => *report,
            _ if lag.is_zero() => self.current_load(),
            _ => LoadReport::default(),
        }
    }

    /// Cache events as the faults let them be known.
    pub fn cache_events(&self, from: u64) -> CacheEvents {
        let faults = self.faults.get();
        let now = Instant::now();
        let until = now.checked_sub(faults.event_lag.0).unwrap_or(now);
        let mut events = self.cache.borrow().events(from, until);
        let next_seq = events.last().map_or(from, |e| e.seq + 1);
        let mut rng = self.rng.borrow_mut();
        events.retain(|_| rng.random::<f64>() >= faults.event_loss);
        CacheEvents { next_seq, events }
    }

    /// Notes the load as it is now.
    fn record_load(&self) {
        let now = self.current_load();
        let mut load_samples = self.load_samples.borrow_mut();
        load_samples.push_back((Instant::now(), now));
        if load_samples.len() > MAX_SAMPLES {
            load_samples.pop_front();
        }
    }

    /// Whether nothing runs or waits.
    fn is_idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    fn current_load(&self) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let step = self.step_duration();
        LoadReport {
            running: count(self.running.borrow().len()),
            waiting: count(self.waiting.borrow().len()),
            slots: count(self.settings.slots),
            step_us: u32::try_from(step.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Fills the batch from those that wait.
    fn fill_batch(&self) {
        let mut running = self.running.borrow_mut();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|r| !r.cancelled.get());
        while running.len() < self.settings.slots {
            let Some(request) = waiting.pop_front() else {
                return;
            };
            running.push(request);
        }
    }

    /// How long the next step takes.
    fn step_duration(&self) -> Duration {
        let size = self.running.borrow().len().max(1);
        let extra = u32::try_from(size - 1).unwrap_or(0);
        let took = self.settings.step_time.0 + self.settings.request_overhead.0 * extra;
        took.mul_f64(self.faults.get().slowdown.clamp(0.01, 1000.0))
    }

    /// Does one step's work_available.
    fn execute_step(&self) {
        let mut budget = self.settings.prefill_tokens;
        let mut running = self.running.borrow_mut();
        running.sort_by_key(|r| r.priority);
        for request in running.iter().filter(|r| !r.cancelled.get()) {
            let left = request.prefill_left.get();
            if left > 0 {
                let part = left.min(budget);
                budget -= part;
                request.prefill_left.set(left - part);
                RequestCounters::add(&request.counters.prompt_tokens, part);
                continue;
            }
            request.generate_token();
        }
        running.retain(|r| r.ended_at.get().is_none() && !r.cancelled.get());
        drop(running);

        let window = self.settings.resume_window.0;
        let resumable = |r: &Rc<Request>| r.ended_at.get().is_none_or(|at| at.elapsed() < window);
        self.requests.borrow_mut().retain(|_, r| resumable(r));
    }
}

impl Request {
    /// Makes one token.
    fn generate_token(&self) {
        self.generated.set(self.generated.get() + 1);
        RequestCounters::add(&self.counters.output_tokens, 1);
        if self.generated.get() >= self.output_length {
            self.ended_at.set(Some(Instant::now()));
            RequestCounters::add(&self.counters.completed_runs, 1);
        }
        self.changed.notify_waiters();
    }
}
