//! Budget of calls that are repeated at a second server.
//!
//! The limit holds for the sum over all entries, without coordination. It is therefore
//! built from parts that add up, whichever entry counts them and however often entries
//! restart:
//!
//! - Each call adds a credit of a part of the allowed ratio, which expires soon. A repeat
//!   uses credit of one call only, so that callers who change entries and entries that
//!   restart cannot have it counted twice.
//! - A fixed number of additional repeats is allowed, of which each entry has an equal
//!   part: with less than one call per second, credit alone never suffices for a repeat. A
//!   part that was used returns after a window. An entry that has just started does not
//!   know what it used before and has no part for a window.
//!
//! See docs/incidents/2026-12-04-registry-grown-repeats.md.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The credit that a call adds, as a share of the allowed ratio. Repeats in a window use
/// credit of calls in one and a half windows: `1.5 * CREDIT_SHARE` is at most 1.
const CREDIT_SHARE: f64 = 2.0 / 3.0;

/// Time for which credit is usable, as a share of the window. Together with
/// [`SEND_DELAY`] it is half of a window.
const CREDIT_TTL: f64 = 0.4;

/// Time from taking a repeat to its arrival at a server that is covered, as a share of
/// the window.
const SEND_DELAY: f64 = 0.1;

/// The share of the slack that is divided among the entries. The rest covers entries
/// that have not learned of a new one.
const USED_SLACK: f64 = 0.95;

/// Time slices in which the credit of calls is summed up, per window.
const SLICES: u32 = 20;

/// Tolerance for the rounding error of sums of small parts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Limit on the repeats of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimit {
    /// Allowed repeats per call.
    pub ratio: f64,
    /// The time window over which calls and repeats are counted.
    pub window: Duration,
    /// Additional repeats per window that all entries together may make.
    pub slack: f64,
}

/// Counts the calls and repeats of each service.
#[derive(Debug)]
pub struct RepeatBudget {
    limit: RepeatLimit,
    /// When the entry may use its part of the slack: a window after its start.
    slack_from: Instant,
    /// Number of entries that share the slack; 0 while unknown.
    entries: usize,
    services: HashMap<Rc<str>, Account>,
}

/// What is left for repeats of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBalance {
    /// Number of entries that share the slack; 0 while unknown.
    pub entries: usize,
    /// Repeats that the credit of calls allows.
    pub credit: f64,
    /// Repeats that the entry's part of the slack allows.
    pub slack: f64,
}

/// The credit of one service and the uses of slack.
#[derive(Debug, Default)]
struct Account {
    /// Credit by the start of the time slice of its calls.
    credits: VecDeque<(Instant, f64)>,
    /// Parts of the slack in use, each with the time at which it returns.
    slack_uses: VecDeque<(Instant, f64)>,
}

impl RepeatBudget {
    /// Creates the budget of an entry that starts now.
    #[must_use]
    pub fn new(now: Instant, limit: RepeatLimit) -> Self {
        Self {
            limit,
            slack_from: now + limit.window.mul_f64(1.0 + SEND_DELAY),
            entries: 0,
            services: HashMap::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Counts a call, when it is first sent.
    pub fn record_call(&mut self, now: Instant, service: &Rc<str>) {
        let RepeatLimit { ratio, window, .. } = self.limit;
        let account = self.account(now, service);
        let credit = ratio * CREDIT_SHARE;
        match account.credits.back_mut() {
            Some((start, sum)) if now < *start + window / SLICES => *sum += credit,
            _ => account.credits.push_back((now, credit)),
        }
    }

    /// Counts one repeat if the limit allows it; returns whether it does.
    pub fn take_repeat(&mut self, now: Instant, service: &Rc<str>) -> bool {
        let balance = self.balance(now, service);
        if balance.credit + balance.slack + ROUNDING_TOLERANCE < 1.0 {
            return false;
        }
        let returned_at = now + self.limit.window.mul_f64(1.0 + SEND_DELAY);
        let account = self.account(now, service);
        let from_slack = account.use_credit(1.0);
        if from_slack > 0.0 {
            account.slack_uses.push_back((returned_at, from_slack));
        }
        true
    }

    /// What is left for repeats of a service.
    pub fn balance(&mut self, now: Instant, service: &Rc<str>) -> BudgetBalance {
        let entries = self.entries;
        let part = match entries {
            0 => 0.0,
            _ if now < self.slack_from => 0.0,
            entries => self.limit.slack * USED_SLACK / entries as f64,
        };
        let account = self.account(now, service);
        let used: f64 = account.slack_uses.iter().map(|(_, part)| part).sum();
        BudgetBalance {
            entries,
            credit: account.credits.iter().map(|(_, credit)| credit).sum(),
            slack: (part - used).max(0.0),
        }
    }

    /// The account of a service, without credit that has expired and with the slack that
    /// has returned.
    fn account(&mut self, now: Instant, service: &Rc<str>) -> &mut Account {
        let ttl = self.limit.window.mul_f64(CREDIT_TTL);
        if !self.services.contains_key(service) {
            self.services.insert(Rc::clone(service), Account::default());
        }
        let account = self.services.get_mut(service).expect("inserted above");
        let expired = |(start, _): &(Instant, f64)| now >= *start + ttl;
        while account.credits.front().is_some_and(expired) {
            account.credits.pop_front();
        }
        let returned = |(at, _): &(Instant, f64)| now >= *at;
        while account.slack_uses.front().is_some_and(returned) {
            account.slack_uses.pop_front();
        }
        account
    }
}

impl Account {
    /// Uses up to `amount` of the credit that expires first; returns what is missing.
    fn use_credit(&mut self, amount: f64) -> f64 {
        let mut missing = amount;
        while let Some((_, credit)) = self.credits.front_mut() {
            if *credit > missing {
                *credit -= missing;
                return 0.0;
            }
            missing -= *credit;
            self.credits.pop_front();
        }
        missing
    }
}
