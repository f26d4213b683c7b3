//! The words of the scripts.

use std::error::Error;
use std::str::FromStr;

use base::settings::HumanDuration;

/// One command, by the part of the world that it goes to.
#[derive(Debug)]
pub(crate) enum Command {
    /// Lets time pass.
    Clock(HumanDuration),
    /// For the sidecars.
    Server(Words),
    /// For an entry's decisions.
    Route(Words),
    /// For the log's readers.
    Records(Words),
    /// For membership and leases.
    Hosts(Words),
}

/// A command's name and arguments.
#[derive(Debug)]
pub(crate) struct Words {
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
        let words = Words {
            name: command.name.clone(),
            args: command.args.clone(),
        };
        let name = words.name.as_str();
        if name == "clock" {
            return Ok(Self::Clock(words.parse(0)?));
        }
        let to = [
            (&SERVER[..], Self::Server as fn(Words) -> Self),
            (&ROUTE[..], Self::Route),
            (&RECORDS[..], Self::Records),
            (&HOSTS[..], Self::Hosts),
        ];
        let part = to.iter().find(|(names, _)| names.contains(&name));
        let (_, part) = part.ok_or_else(|| format!("no command {name:?}"))?;
        Ok(part(words))
    }
}

impl Words {
    /// The arguments without a key.
    pub(crate) fn plain(&self) -> impl Iterator<Item = &str> {
        self.args.iter().filter_map(|arg| match arg {
            goldenscript::Argument::Positional(value) => Some(value.as_str()),
            _ => None,
        })
    }

    /// The argument without a key at a place.
    pub(crate) fn at(&self, place: usize) -> Result<&str, Box<dyn Error>> {
        let found = self.plain().nth(place);
        found.ok_or_else(|| format!("{} needs more arguments", self.name).into())
    }

    /// The same, as a value.
    pub(crate) fn parse<T: FromStr>(&self, place: usize) -> Result<T, Box<dyn Error>> {
        let text = self.at(place)?;
        text.parse()
            .map_err(|_| format!("{}: bad value {text:?}", self.name).into())
    }

    /// The argument with a key.
    pub(crate) fn key(&self, key: &str) -> Option<&str> {
        self.args.iter().find_map(|arg| match arg {
            goldenscript::Argument::KeyValue(k, value) if k == key => Some(value.as_str()),
            _ => None,
        })
    }

    /// The same, as a value.
    pub(crate) fn get<T: FromStr>(&self, key: &str, other: T) -> Result<T, Box<dyn Error>> {
        let Some(text) = self.key(key) else {
            return Ok(other);
        };
        text.parse()
            .map_err(|_| format!("{}: bad value {key}={text}", self.name).into())
    }
}
