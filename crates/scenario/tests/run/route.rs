//! An entry's routing decisions: placement, outlier ejection and retries.

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

use crate::CommandOutput;
use crate::command::Args;

/// Routing state of one entry.
#[derive(Default)]
pub(crate) struct Router {
    placement: Option<Placement>,
    fan_out: usize,
    names: Vec<String>,
    budget: RetryBudget,
}

impl Router {
    pub(crate) fn run(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        match args.name.as_str() {
            "entry" => self.entry(args),
            "join" => self.join(args),
            "heard" => self.heard(clock, args),
            "fault" => self.fault(clock, args),
            "good" => self.good(clock, args),
            "choose" => self.choose(clock, args),
            "budget" => self.budget(args),
            "retry" => self.retry(args),
            _ => decide_retry(args),
        }
    }

    /// Creates the entry; `fan` is the number of candidates for each request:
    /// `entry zone=z fan=2 mode=late_binding seed=1`.
    fn entry(&mut self, args: &Args) -> CommandOutput {
        self.fan_out = args.named_or("fan", 2)?;
        let mode = args.named("mode").unwrap_or("late_binding");
        self.placement = Some(Placement::new(PlacementOptions {
            mode: parse_enum::<PlacementMode>(mode)?,
            report_lag: args.named_or("lag", HumanDuration::ms(500))?.0,
            zone: args.named("zone").unwrap_or("z").to_owned(),
            seed: args.named_or("seed", 1)?,
        }));
        Ok(String::new())
    }

    /// Adds servers: `join a b c zone=z serves=m`.
    fn join(&mut self, args: &Args) -> CommandOutput {
        let zone = args.named("zone").unwrap_or("z").to_owned();
        let serves = args.named("serves").unwrap_or("m").to_owned();
        for name in args.positional() {
            let index = self.names.len();
            self.names.push(name.to_owned());
            self.placement()?.add_server(index, name, &zone, &serves);
        }
        Ok(String::new())
    }

    /// Records load reports from servers: `heard a b running=1 slots=8 waiting=0
    /// token=4ms first=20ms wait=0ms draining=false times=1 every=0ms`.
    fn heard(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let load = Load {
            running: args.named_or("running", 0)?,
            slots: args.named_or("slots", 8)?,
            waiting: args.named_or("waiting", 0)?,
            wait: args.named_or("wait", HumanDuration::ms(0))?.0,
            latency: TokenLatency {
                first_token: args.named_or("first", HumanDuration::ms(20))?.0,
                per_token: args.named_or("token", HumanDuration::ms(4))?.0,
            },
            draining: args.named_or("draining", false)?,
        };
        let mut out = String::new();
        for _ in 0..args.named_or("times", 1)? {
            for name in args.positional() {
                let index = self.index(name)?;
                if self.placement()?.record_load(clock.now(), index, load, 0.3) {
                    writeln!(out, "{name} ejected")?;
                }
            }
            clock.advance(args.named_or("every", HumanDuration::ms(0))?.0);
        }
        Ok(out)
    }

    /// Records failures of a server; at most `share` of all servers are ejected:
    /// `fault a link times=2 every=200ms share=0.3`.
    fn fault(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let fault = match args.at(1)? {
            "link" => Fault::Unreachable,
            "run" => Fault::RunFailed,
            _ => Fault::Slow,
        };
        let index = self.index(args.at(0)?)?;
        let share = args.named_or("share", 0.3)?;
        let every = args.named_or("every", HumanDuration::ms(200))?.0;
        for _ in 0..args.named_or("times", 1)? {
            clock.advance(every);
            if self
                .placement()?
                .record_fault(clock.now(), index, fault, share)
            {
                return Ok(format!("{} ejected\n", args.at(0)?));
            }
        }
        Ok(String::new())
    }

    /// Records a success of a server: `good a link`.
    fn good(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let success = match args.at(1)? {
            "link" => Success::Reachable,
            "run" => Success::RunCompleted,
            _ => Success::NormalPace,
        };
        let index = self.index(args.at(0)?)?;
        self.placement()?.record_good(clock.now(), index, success);
        Ok(String::new())
    }

    /// Chooses servers `times` times and counts how often each was chosen;
    /// `tried` is excluded: `choose m prefix=0 times=100 tried=a`.
    fn choose(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let prefix_hash = args.named_or("prefix", 0)?;
        let excluded = match args.named("tried") {
            Some(name) => vec![self.index(name)?],
            None => Vec::new(),
        };
        let target = args.at(0)?.to_owned();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..args.named_or("times", 100)? {
            let request = PlacementRequest {
                target: &target,
                prefix_hash,
                excluded: &excluded,
                fan_out: self.fan_out,
            };
            let chosen = self.placement()?.choose(clock.now(), &request);
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

    /// Adds `grants` times `share` to the retry budget of a class and prints it:
    /// `budget class grants=100 share=0.1`.
    fn budget(&mut self, args: &Args) -> CommandOutput {
        for _ in 0..args.named_or("grants", 0)? {
            self.budget.earn(args.at(0)?, args.named_or("share", 0.1)?);
        }
        Ok(format!(
            "left={:.1}\n",
            self.budget.retries_left(args.at(0)?)
        ))
    }

    /// Takes retries from the budget and counts those allowed: `retry class
    /// times=50`.
    fn retry(&mut self, args: &Args) -> CommandOutput {
        let class = args.at(0)?;
        let taken = (0..args.named_or("times", 1)?)
            .filter(|_| self.budget.take(class))
            .count();
        Ok(format!("taken={taken}\n"))
    }

    fn placement(&mut self) -> Result<&mut Placement, Box<dyn Error>> {
        self.placement
            .as_mut()
            .ok_or_else(|| "no entry; use `entry` first".into())
    }

    fn index(&self, name: &str) -> Result<ServerIndex, Box<dyn Error>> {
        let found = self.names.iter().position(|n| n == name);
        found.ok_or_else(|| format!("unknown server {name:?}").into())
    }
}

/// Decides whether a failed attempt is retried: `judge cause=unknown ran=unknown
/// delivered=false repeatable=true left=1s need=100ms`.
fn decide_retry(args: &Args) -> CommandOutput {
    let failure = FailedAttempt {
        cause: parse_enum::<RetryReason>(args.named("cause").unwrap_or("unknown"))?,
        ran: parse_enum::<Executed>(args.named("ran").unwrap_or("no"))?,
        delivered: args.named_or("delivered", false)?,
    };
    let remaining: Duration = args.named_or("left", HumanDuration::secs(1))?.0;
    let required: Duration = args.named_or("need", HumanDuration::ms(100))?.0;
    Ok(format!(
        "{:?}\n",
        failure.decide(args.named_or("repeatable", true)?, remaining, required)
    ))
}

/// Parses the serialized name of an enum variant.
fn parse_enum<T: DeserializeOwned>(text: &str) -> Result<T, Box<dyn Error>> {
    Ok(serde_json::from_value(Value::String(text.to_owned()))?)
}
