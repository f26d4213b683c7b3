//! What an entry decides: where to ask, whom to leave alone, when to retry.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::time::Duration;

use base::clock::{Clock, ManualClock};
use base::reason::{Executed, RetryReason};
use base::settings::HumanDuration;
use policy::load::{Load, TokenLatency};
use policy::outlier::{Fault, Success};
use policy::placement::{
    Placement, PlacementMode, PlacementOptions, PlacementRequest, ServerIndex,
};
use policy::retry::{FailedAttempt, RetryBudget};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::Said;
use crate::words::Words;

/// One entry's decisions.
#[derive(Default)]
pub(crate) struct Route {
    placement: Option<Placement>,
    fan: usize,
    names: Vec<String>,
    budget: RetryBudget,
}

impl Route {
    pub(crate) fn run(&mut self, clock: &ManualClock, words: &Words) -> Said {
        match words.name.as_str() {
            "entry" => self.entry(words),
            "join" => self.join(words),
            "heard" => self.heard(clock, words),
            "fault" => self.fault(clock, words),
            "good" => self.good(clock, words),
            "choose" => self.choose(clock, words),
            "budget" => self.budget(words),
            "retry" => self.retry(words),
            _ => judge(words),
        }
    }

    /// Makes the entry: `entry zone=z fan=2 mode=late_binding seed=1`.
    fn entry(&mut self, words: &Words) -> Said {
        self.fan = words.get("fan", 2)?;
        let mode = words.key("mode").unwrap_or("late_binding");
        self.placement = Some(Placement::new(PlacementOptions {
            mode: word::<PlacementMode>(mode)?,
            report_lag: words.get("lag", HumanDuration::ms(500))?.0,
            zone: words.key("zone").unwrap_or("z").to_owned(),
            seed: words.get("seed", 1)?,
        }));
        Ok(String::new())
    }

    /// Adds servers: `join a b c zone=z serves=m`.
    fn join(&mut self, words: &Words) -> Said {
        let zone = words.key("zone").unwrap_or("z").to_owned();
        let serves = words.key("serves").unwrap_or("m").to_owned();
        for name in words.plain() {
            let index = self.names.len();
            self.names.push(name.to_owned());
            self.placement()?.add_server(index, name, &zone, &serves);
        }
        Ok(String::new())
    }

    /// Hears from servers: `heard a b running=1 slots=8 waiting=0 token=4ms
    /// first=20ms wait=0ms draining=false
    /// times=1 every=0ms`.
    fn heard(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let load = Load {
            running: words.get("running", 0)?,
            slots: words.get("slots", 8)?,
            waiting: words.get("waiting", 0)?,
            wait: words.get("wait", HumanDuration::ms(0))?.0,
            latency: TokenLatency {
                first_token: words.get("first", HumanDuration::ms(20))?.0,
                per_token: words.get("token", HumanDuration::ms(4))?.0,
            },
            draining: words.get("draining", false)?,
        };
        let mut out = String::new();
        for _ in 0..words.get("times", 1)? {
            for name in words.plain() {
                let index = self.index(name)?;
                if self.placement()?.record_load(clock.now(), index, load, 0.3) {
                    writeln!(out, "{name} ejected")?;
                }
            }
            clock.advance(words.get("every", HumanDuration::ms(0))?.0);
        }
        Ok(out)
    }

    /// Finds faults: `fault a link times=2 every=200ms share=0.3`.
    fn fault(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let fault = match words.at(1)? {
            "link" => Fault::Unreachable,
            "run" => Fault::RunFailed,
            _ => Fault::Slow,
        };
        let index = self.index(words.at(0)?)?;
        let share = words.get("share", 0.3)?;
        let every = words.get("every", HumanDuration::ms(200))?.0;
        for _ in 0..words.get("times", 1)? {
            clock.advance(every);
            if self
                .placement()?
                .record_fault(clock.now(), index, fault, share)
            {
                return Ok(format!("{} ejected\n", words.at(0)?));
            }
        }
        Ok(String::new())
    }

    /// Hears a good sign: `good a link`.
    fn good(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let good = match words.at(1)? {
            "link" => Success::Reachable,
            "run" => Success::RunCompleted,
            _ => Success::NormalPace,
        };
        let index = self.index(words.at(0)?)?;
        self.placement()?.record_good(clock.now(), index, good);
        Ok(String::new())
    }

    /// Chooses servers many times and counts them: `choose m prefix=0
    /// times=100 tried=a`.
    fn choose(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let prefix_hash = words.get("prefix", 0)?;
        let tried = match words.key("tried") {
            Some(name) => vec![self.index(name)?],
            None => Vec::new(),
        };
        let target = words.at(0)?.to_owned();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..words.get("times", 100)? {
            let want = PlacementRequest {
                target: &target,
                prefix_hash,
                excluded: &tried,
                fan_out: self.fan,
            };
            let chosen = self.placement()?.choose(clock.now(), &want);
            for index in chosen {
                *counts.entry(self.names[index].clone()).or_default() += 1;
            }
        }
        let counts: Vec<_> = counts
            .iter()
            .map(|(name, n)| format!("{name}={n}"))
            .collect();
        Ok(format!("{}\n", counts.join(" ")))
    }

    /// Earns retries: `budget class grants=100 share=0.1`.
    fn budget(&mut self, words: &Words) -> Said {
        for _ in 0..words.get("grants", 0)? {
            self.budget.earn(words.at(0)?, words.get("share", 0.1)?);
        }
        Ok(format!(
            "left={:.1}\n",
            self.budget.retries_left(words.at(0)?)
        ))
    }

    /// Takes retries: `retry class times=50`.
    fn retry(&mut self, words: &Words) -> Said {
        let class = words.at(0)?;
        let taken = (0..words.get("times", 1)?)
            .filter(|_| self.budget.take(class))
            .count();
        Ok(format!("taken={taken}\n"))
    }

    fn placement(&mut self) -> Result<&mut Placement, Box<dyn Error>> {
        self.placement
            .as_mut()
            .ok_or_else(|| "make an entry first".into())
    }

    fn index(&self, name: &str) -> Result<ServerIndex, Box<dyn Error>> {
        let found = self.names.iter().position(|n| n == name);
        found.ok_or_else(|| format!("no server {name:?}").into())
    }
}

/// Judges a failed try: `judge cause=unknown ran=unknown delivered=false
/// repeatable=true left=1s need=100ms`.
fn judge(words: &Words) -> Said {
    let failure = FailedAttempt {
        cause: word::<RetryReason>(words.key("cause").unwrap_or("unknown"))?,
        ran: word::<Executed>(words.key("ran").unwrap_or("no"))?,
        delivered: words.get("delivered", false)?,
    };
    let left: Duration = words.get("left", HumanDuration::secs(1))?.0;
    let need: Duration = words.get("need", HumanDuration::ms(100))?.0;
    Ok(format!(
        "{:?}\n",
        failure.decide(words.get("repeatable", true)?, left, need)
    ))
}

/// Reads a word of a closed set.
fn word<T: DeserializeOwned>(text: &str) -> Result<T, Box<dyn Error>> {
    Ok(serde_json::from_value(Value::String(text.to_owned()))?)
}
