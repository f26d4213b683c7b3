//! Requests of an engine, and the steps that execute them.

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

/// Interval between two load samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of load samples, enough for a report lag of one minute.
const MAX_SAMPLES: usize = 1200;

/// Maximum delay behind the schedule that the following steps make up for. Delay
/// beyond it is dropped from the schedule.
const MAX_STEP_LAG: Duration = Duration::from_millis(50);

/// Queue and batch of an engine.
pub struct Batch {
    /// Settings of the engine.
    pub settings: Settings,
    /// Faults of the engine.
    pub faults: FaultControl<Faults>,
    /// Counts of executed requests.
    pub ledger: Ledger,
    /// Requests by id, including recently completed ones.
    requests: RefCell<HashMap<String, Rc<Request>>>,
    /// Requests in the batch.
    running: RefCell<Vec<Rc<Request>>>,
    /// Queued requests, ordered by priority.
    waiting: RefCell<VecDeque<Rc<Request>>>,
    cache: RefCell<Cache>,
    /// Past load reports, used to serve reports with a lag.
    load_samples: RefCell<VecDeque<(Instant, LoadReport)>>,
    /// Random generator that selects the cache events to drop.
    rng: RefCell<Pcg64Mcg>,
    /// Notifies the step loop of a new request.
    work_available: Notify,
}

/// Parameters of a request to submit.
pub struct NewRequest<'a> {
    /// Request id.
    pub id: &'a str,
    /// Mark that identifies the request in the ledger.
    pub mark: &'a str,
    /// Priority; lower numbers are scheduled first.
    pub priority: u8,
    /// Number of tokens to generate.
    pub output_length: u32,
    /// Text of the prompt.
    pub text: &'a [u8],
}

/// A queued, running or recently completed request.
pub struct Request {
    /// Mark that identifies the request in the ledger.
    pub mark: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated so far.
    pub generated: Cell<u32>,
    /// Whether the request was cancelled.
    pub cancelled: Cell<bool>,
    /// Time of completion.
    pub ended_at: Cell<Option<Instant>>,
    /// Notifies the request's event streams of a change.
    pub changed: Notify,
    counters: Arc<RequestCounters>,
    priority: u8,
    output_length: u32,
    /// Prompt tokens that remain to be computed.
    prefill_left: Cell<u32>,
}

/// Step loop: executes steps until `stop` is triggered and all requests have
/// ended.
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

        // The timer's resolution is coarser than a step. Scheduling steps at
        // absolute times keeps their average duration correct. With a step time
        // of zero, tokens are generated as fast as possible.
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

/// Records the load at regular intervals, to serve reports with a lag.
pub async fn sample_load(batch: Rc<Batch>, stop: StopSignal) {
    while !stop.is_triggered() {
        batch.record_load();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

impl Batch {
    /// Creates an engine without requests.
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

    /// Adds a request to the queue.
    pub fn submit(&self, new: &NewRequest<'_>) -> Rc<Request> {
        let prompt_tokens = u32::try_from(new.text.len() / 4).unwrap_or(u32::MAX).max(1);
        let cached_tokens = self.cache.borrow_mut().admit(new.text, Instant::now());
        let counters = self.ledger.counters(new.mark);
        RequestCounters::add(&counters.runs, 1);

        let request = Rc::new(Request {
            mark: new.mark.to_owned(),
            prompt_tokens,
            cached_tokens,
            generated: Cell::new(0),
            cancelled: Cell::new(false),
            ended_at: Cell::new(None),
            changed: Notify::new(),
            counters,
            priority: new.priority,
            output_length: new.output_length,
            // The last prompt token is always computed.
            prefill_left: Cell::new(prompt_tokens.saturating_sub(cached_tokens).max(1)),
        });
        let id = new.id.to_owned();
        self.requests.borrow_mut().insert(id, Rc::clone(&request));

        let mut waiting = self.waiting.borrow_mut();
        let position = waiting.partition_point(|r| r.priority <= request.priority);
        waiting.insert(position, Rc::clone(&request));
        self.work_available.notify_one();
        request
    }

    /// Finds a queued, running or recently completed request.
    pub fn find(&self, id: &str) -> Option<Rc<Request>> {
        self.requests.borrow().get(id).cloned()
    }

    /// Cancels a request.
    pub fn cancel(&self, id: &str) {
        if let Some(request) = self.requests.borrow_mut().remove(id) {
            request.cancelled.set(true);
            request.changed.notify_waiters();
        }
    }

    /// Returns the latest load report that is at least as old as the configured lag,
    /// or an empty report when there is none.
    pub fn report(&self) -> LoadReport {
        let lag = self.faults.get().report_lag.0;
        let load_samples = self.load_samples.borrow();
        let sample = load_samples
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        match sample {
            Some((_, report)) if !lag.is_zero() => *report,
            _ if lag.is_zero() => self.current_load(),
            _ => LoadReport::default(),
        }
    }

    /// Returns cache events from the sequence number `from` on, subject to the
    /// configured lag and loss.
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

    /// Records a sample of the current load.
    fn record_load(&self) {
        let load = self.current_load();
        let mut load_samples = self.load_samples.borrow_mut();
        load_samples.push_back((Instant::now(), load));
        if load_samples.len() > MAX_SAMPLES {
            load_samples.pop_front();
        }
    }

    /// Whether there are no queued or running requests.
    fn is_idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    /// Returns the current load.
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

    /// Moves queued requests into the free slots of the batch.
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

    /// Returns the duration of the next step.
    fn step_duration(&self) -> Duration {
        let size = self.running.borrow().len().max(1);
        let further = u32::try_from(size - 1).unwrap_or(0);
        let duration = self.settings.step_time.0 + self.settings.request_overhead.0 * further;
        duration.mul_f64(self.faults.get().slowdown.clamp(0.01, 1000.0))
    }

    /// Executes one step.
    fn execute_step(&self) {
        let mut budget = self.settings.prefill_tokens;
        let mut running = self.running.borrow_mut();
        running.sort_by_key(|r| r.priority);
        for request in running.iter().filter(|r| !r.cancelled.get()) {
            let remaining = request.prefill_left.get();
            if remaining > 0 {
                let computed = remaining.min(budget);
                budget -= computed;
                request.prefill_left.set(remaining - computed);
                RequestCounters::add(&request.counters.prompt_tokens, computed);
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
    /// Generates one token.
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
