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
use crate::control::Control;
use crate::ledger::{Account, Ledger};

/// How often the load is observed for reports.
const OBSERVE: Duration = Duration::from_millis(50);

/// Observations that are kept, enough for a lag of a minute.
const OBSERVED: usize = 1200;

/// How far the steps may lag behind their schedule and still catch up; an
/// engine that was held up longer goes on from now.
const CATCH_UP: Duration = Duration::from_millis(50);

/// A running engine.
pub struct Batch {
    /// What it was set up with.
    pub settings: Settings,
    /// What is wrong with it.
    pub faults: Control<Faults>,
    /// What is noted for judging the router.
    pub ledger: Ledger,
    /// Requests by their id, those that ended lately among them.
    requests: RefCell<HashMap<String, Rc<Request>>>,
    /// Requests that run.
    running: RefCell<Vec<Rc<Request>>>,
    /// Requests that wait for room in the batch, by priority.
    waiting: RefCell<VecDeque<Rc<Request>>>,
    cache: RefCell<Cache>,
    /// Load as it was, for reports that lag.
    observed: RefCell<VecDeque<(Instant, LoadReport)>>,
    /// Draws which cache events get lost.
    rng: RefCell<Pcg64Mcg>,
    /// Wakes the stepping when there is work.
    work: Notify,
}

/// A request to take in.
pub struct Job<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The caller's mark.
    pub mark: &'a str,
    /// The priority; lower numbers go first.
    pub priority: u8,
    /// Tokens that the answer will have.
    pub length: u32,
    /// The prompt.
    pub text: &'a [u8],
}

/// One request.
pub struct Request {
    /// The caller's mark.
    pub mark: String,
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens found in the cache.
    pub cached: u32,
    /// Tokens made so far.
    pub made: Cell<u32>,
    /// Whether it was stopped.
    pub cancelled: Cell<bool>,
    /// When it ended.
    pub ended: Cell<Option<Instant>>,
    /// Wakes its streams.
    pub changed: Notify,
    account: Arc<Account>,
    priority: u8,
    length: u32,
    /// Prompt tokens still to compute.
    prefill: Cell<u32>,
}

/// Steps the batch for as long as there is work.
pub async fn step(batch: Rc<Batch>, stop: StopSignal) {
    let mut due = tokio::time::Instant::now();
    while !stop.is_triggered() || !batch.idle() {
        batch.fill();
        if batch.idle() {
            tokio::select! {
                () = batch.work.notified() => {}
                () = stop.wait() => {}
            }
            due = tokio::time::Instant::now();
            continue;
        }

        // The timer is coarser than a step. Steps due by an absolute schedule
        // take as long as they should on average, whatever one of them takes.
        // An engine without step time makes tokens as fast as it can.
        let step = batch.step_time();
        if step.is_zero() {
            tokio::task::yield_now().await;
            batch.advance();
            continue;
        }
        due = due.max(tokio::time::Instant::now() - CATCH_UP) + step;
        tokio::time::sleep_until(due).await;
        batch.advance();
    }
}

/// Notes the load again and again, for reports that lag.
pub async fn observe(batch: Rc<Batch>, stop: StopSignal) {
    while !stop.is_triggered() {
        batch.note_load();
        tokio::time::sleep(OBSERVE).await;
    }
}

impl Batch {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(settings: Settings, faults: Control<Faults>, ledger: Ledger) -> Rc<Self> {
        let seed = u128::from(settings.listen.port()) << 1 | 1;
        Rc::new(Self {
            cache: RefCell::new(Cache::new(settings.cache)),
            settings,
            faults,
            ledger,
            requests: RefCell::default(),
            running: RefCell::default(),
            waiting: RefCell::default(),
            observed: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::new(seed)),
            work: Notify::new(),
        })
    }

    /// Takes in a request.
    pub fn submit(&self, job: &Job<'_>) -> Rc<Request> {
        let prompt = u32::try_from(job.text.len() / 4).unwrap_or(u32::MAX).max(1);
        let cached = self.cache.borrow_mut().admit(job.text, Instant::now());
        let account = self.ledger.account(job.mark);
        Account::add(&account.runs, 1);

        let request = Rc::new(Request {
            mark: job.mark.to_owned(),
            prompt,
            cached,
            made: Cell::new(0),
            cancelled: Cell::new(false),
            ended: Cell::new(None),
            changed: Notify::new(),
            account,
            priority: job.priority,
            length: job.length,
            // The last token of a prompt is computed in any case.
            prefill: Cell::new(prompt.saturating_sub(cached).max(1)),
        });
        let id = job.id.to_owned();
        self.requests.borrow_mut().insert(id, Rc::clone(&request));

        let mut waiting = self.waiting.borrow_mut();
        let at = waiting.partition_point(|r| r.priority <= request.priority);
        waiting.insert(at, Rc::clone(&request));
        self.work.notify_one();
        request
    }

    /// Finds a request that runs or ended lately.
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
        let observed = self.observed.borrow();
        let old = observed.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        match old {
            Some((_, report)) if !lag.is_zero() => *report,
            _ if lag.is_zero() => self.now(),
            _ => LoadReport::default(),
        }
    }

    /// Cache events as the faults let them be known.
    pub fn cache_events(&self, from: u64) -> CacheEvents {
        let faults = self.faults.get();
        let now = Instant::now();
        let until = now.checked_sub(faults.event_lag.0).unwrap_or(now);
        let mut events = self.cache.borrow().events(from, until);
        let next = events.last().map_or(from, |e| e.seq + 1);
        let mut rng = self.rng.borrow_mut();
        events.retain(|_| rng.random::<f64>() >= faults.event_gap);
        CacheEvents { next, events }
    }

    /// Notes the load as it is now.
    fn note_load(&self) {
        let now = self.now();
        let mut observed = self.observed.borrow_mut();
        observed.push_back((Instant::now(), now));
        if observed.len() > OBSERVED {
            observed.pop_front();
        }
    }

    /// Whether nothing runs or waits.
    fn idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    fn now(&self) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let step = self.step_time();
        LoadReport {
            running: count(self.running.borrow().len()),
            waiting: count(self.waiting.borrow().len()),
            slots: count(self.settings.slots),
            step_us: u32::try_from(step.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Fills the batch from those that wait.
    fn fill(&self) {
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
    fn step_time(&self) -> Duration {
        let size = self.running.borrow().len().max(1);
        let extra = u32::try_from(size - 1).unwrap_or(0);
        let took = self.settings.step.0 + self.settings.extra.0 * extra;
        took.mul_f64(self.faults.get().pace.clamp(0.01, 1000.0))
    }

    /// Does one step's work.
    fn advance(&self) {
        let mut budget = self.settings.prefill;
        let mut running = self.running.borrow_mut();
        running.sort_by_key(|r| r.priority);
        for request in running.iter().filter(|r| !r.cancelled.get()) {
            let left = request.prefill.get();
            if left > 0 {
                let part = left.min(budget);
                budget -= part;
                request.prefill.set(left - part);
                Account::add(&request.account.prompt, part);
                continue;
            }
            request.make();
        }
        running.retain(|r| r.ended.get().is_none() && !r.cancelled.get());
        drop(running);

        let keep = self.settings.keep.0;
        let kept = |r: &Rc<Request>| r.ended.get().is_none_or(|at| at.elapsed() < keep);
        self.requests.borrow_mut().retain(|_, r| kept(r));
    }
}

impl Request {
    /// Makes one token.
    fn make(&self) {
        self.made.set(self.made.get() + 1);
        Account::add(&self.account.tokens, 1);
        if self.made.get() >= self.length {
            self.ended.set(Some(Instant::now()));
            Account::add(&self.account.ended, 1);
        }
        self.changed.notify_waiters();
    }
}
