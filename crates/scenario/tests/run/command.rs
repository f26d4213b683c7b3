//! The commands of the scripts and their arguments.

use std::error::Error;
use std::str::FromStr;

use base::settings::HumanDuration;

/// One command, by the component that runs it.
#[derive(Debug)]
pub(crate) enum Command {
    /// Advances the clock.
    Clock(HumanDuration),
    /// For the sidecars.
    Server(Args),
    /// For an entry's routing decisions.
    Route(Args),
    /// For the readers of the log.
    Records(Args),
    /// For an entry's membership, and leases.
    Hosts(Args),
}

/// Name and arguments of a command.
#[derive(Debug)]
pub(crate) struct Args {
    pub(crate) name: String,
    args: Vec<goldenscript::Argument>,
}

const SERVER: [&str; 10] = [
    "sidecar", "call", "start", "cancel", "drain", "restart", "load", "tally", "vanish", "pull",
];
const ROUTE: [&str; 9] = [
    "entry", "join", "heard", "fault", "good", "choose", "budget", "retry", "judge",
];
const RECORDS: [&str; 9] = [
    "reader",
    "publish",
    "append",
    "read",
    "expire",
    "checkpoint",
    "force",
    "adopt",
    "claim",
];
const HOSTS: [&str; 6] = ["member", "list", "answered", "known", "lease", "order"];

impl TryFrom<&goldenscript::Command> for Command {
    type Error = Box<dyn Error>;

    fn try_from(command: &goldenscript::Command) -> Result<Self, Self::Error> {
        let args = Args {
            name: command.name.clone(),
            args: command.args.clone(),
        };
        let name = args.name.as_str();
        if name == "clock" {
            return Ok(Self::Clock(args.parse(0)?));
        }
        let components = [
            (&SERVER[..], Self::Server as fn(Args) -> Self),
            (&ROUTE[..], Self::Route),
            (&RECORDS[..], Self::Records),
            (&HOSTS[..], Self::Hosts),
        ];
        let component = components.iter().find(|(names, _)| names.contains(&name));
        let (_, component) = component.ok_or_else(|| format!("no command {name:?}"))?;
        Ok(component(args))
    }
}

impl Args {
    /// The positional arguments.
    pub(crate) fn positional(&self) -> impl Iterator<Item = &str> {
        self.args.iter().filter_map(|arg| match arg {
            goldenscript::Argument::Positional(value) => Some(value.as_str()),
            _ => None,
        })
    }

    /// The positional argument at an index.
    pub(crate) fn at(&self, index: usize) -> Result<&str, Box<dyn Error>> {
        let found = self.positional().nth(index);
        found.ok_or_else(|| format!("{} needs more arguments", self.name).into())
    }

    /// The positional argument at an index, parsed.
    pub(crate) fn parse<T: FromStr>(&self, index: usize) -> Result<T, Box<dyn Error>> {
        let text = self.at(index)?;
        text.parse()
            .map_err(|_| format!("{}: bad value {text:?}", self.name).into())
    }

    /// The argument with this key, if given.
    pub(crate) fn named(&self, key: &str) -> Option<&str> {
        self.args.iter().find_map(|arg| match arg {
            goldenscript::Argument::KeyValue(k, value) if k == key => Some(value.as_str()),
            _ => None,
        })
    }

    /// The argument with this key, parsed, or a default if it is not given.
    pub(crate) fn named_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, Box<dyn Error>> {
        let Some(text) = self.named(key) else {
            return Ok(default);
        };
        text.parse()
            .map_err(|_| format!("{}: bad value {key}={text}", self.name).into())
    }
}
