//! Host membership as one entry sees it, and leases on a backend server.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use base::clock::{Clock, ManualClock};
use base::ids::{Incarnation, Offset};
use base::settings::HumanDuration;
use policy::lease::{Lease, LeaseClaim, current_claim};
use policy::membership::{Host, HostKind, Membership, MembershipLimits};
use policy::subset::SubsetSize;

use crate::CommandOutput;
use crate::command::Args;

/// An entry's membership, and the leases on one backend server.
#[derive(Default)]
pub(crate) struct Hosts {
    membership: Option<Membership>,
    /// Lease claims in log order: time in milliseconds, holder and duration in
    /// milliseconds.
    claims: Vec<(u64, String, u64)>,
    /// The latest lease that each holder has acquired, which may have expired.
    leases: BTreeMap<String, Lease>,
    /// The highest fencing token that the backend server has seen.
    highest_token: Offset,
}

impl Hosts {
    pub(crate) fn run(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        match args.name.as_str() {
            "member" => self.member(args),
            "list" => self.list(clock, args),
            "answered" => self.answered(clock, args),
            "known" => self.known(clock),
            "lease" => self.lease(clock, args),
            _ => self.order(clock, args),
        }
    }

    /// Creates an entry's membership: `member zone=z total=8 far=2 forget=60s`.
    fn member(&mut self, args: &Args) -> CommandOutput {
        let subset_size = SubsetSize {
            total: args.named_or("total", 8)?,
            other_zones: args.named_or("far", 2)?,
        };
        let limits = MembershipLimits {
            subset_size,
            forget_after: args.named_or("forget", HumanDuration::secs(60))?.0,
        };
        let zone = args.named("zone").unwrap_or("z");
        self.membership = Some(Membership::new("entry", zone, limits));
        Ok(String::new())
    }

    /// Applies a host list, in which `!` marks leaving hosts: `list a b !c
    /// zone=z`.
    fn list(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let zone = args.named("zone").unwrap_or("z");
        let host = |word: &str| Host {
            name: word.trim_start_matches('!').to_owned(),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: zone.to_owned(),
            kind: HostKind::Sidecar {
                serves: "m".to_owned(),
            },
            leaving: word.starts_with('!'),
        };
        let hosts: Vec<Host> = args.positional().map(host).collect();
        let membership = self
            .membership
            .as_mut()
            .ok_or("no membership; use `member` first")?;
        Ok(format!(
            "{:?}\n",
            membership.apply_list(clock.now(), &hosts)
        ))
    }

    /// Records an answer from sidecars; `life` is their incarnation: `answered a
    /// b life=1`.
    fn answered(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let incarnation = Incarnation(args.named_or("life", 1)?);
        let membership = self
            .membership
            .as_mut()
            .ok_or("no membership; use `member` first")?;
        for name in args.positional() {
            membership.note_answer(clock.now(), name, incarnation);
        }
        Ok(String::new())
    }

    /// Prints the known sidecars, and how many hosts were forgotten: `known`.
    fn known(&mut self, clock: &ManualClock) -> CommandOutput {
        let membership = self
            .membership
            .as_mut()
            .ok_or("no membership; use `member` first")?;
        let forgotten = membership.sweep(clock.now());
        let mut out = String::new();
        for host in membership.chosen_sidecars() {
            let status = if membership.is_leaving(&host.name) {
                "leaving"
            } else {
                "open"
            };
            write!(out, "{}={status} ", host.name)?;
        }
        Ok(format!("{}forgotten={forgotten}\n", out))
    }

    /// A sidecar claims the lease of the backend server: `lease s1 ttl=10s`.
    fn lease(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let (holder, ttl) = (
            args.at(0)?,
            args.named_or("ttl", HumanDuration::secs(10))?.0,
        );
        let ttl_ms = u64::try_from(ttl.as_millis())?;
        self.claims
            .push((clock.wall_ms(), holder.to_owned(), ttl_ms));

        let claims = self
            .claims
            .iter()
            .enumerate()
            .map(|(at, (time_ms, holder, ttl_ms))| LeaseClaim {
                offset: Offset(at as u64 + 1),
                time_ms: *time_ms,
                holder,
                ttl_ms: *ttl_ms,
            });
        let current = current_claim(claims).ok_or("the log has no lease claim")?;
        if current.holder == holder {
            let lease = Lease::new(
                current.offset,
                clock.now(),
                Duration::from_millis(current.ttl_ms),
            );
            self.leases.insert(holder.to_owned(), lease);
        }
        Ok(format!(
            "{} holds it with number {}\n",
            current.holder, current.offset
        ))
    }

    /// A sidecar sends an order with the fencing token of its latest lease:
    /// `order s1`.
    fn order(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let holder = args.at(0)?;
        let lease = self
            .leases
            .get(holder)
            .ok_or("the sidecar never held the lease")?;
        let Some(token) = lease.fencing_token(clock.now()) else {
            return Ok(format!("{holder} gives no order: its lease lapsed\n"));
        };
        if token < self.highest_token {
            return Ok(format!(
                "{holder} is refused: {} was seen\n",
                self.highest_token
            ));
        }
        self.highest_token = token;
        Ok(format!("{holder} orders with number {token}\n"))
    }
}
