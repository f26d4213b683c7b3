//! Which hosts there are, and who may give orders.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use base::clock::{Clock, ManualClock};
use base::ids::{Incarnation, Offset};
use base::settings::HumanDuration;
use policy::lease::{Lease, LeaseClaim, current_claim};
use policy::membership::{Host, HostKind, Membership, MembershipLimits};
use policy::subset::SubsetSize;

use crate::Said;
use crate::words::Words;

/// An entry's membership, and the leases of one backend server.
#[derive(Default)]
pub(crate) struct Hosts {
    member: Option<Membership>,
    /// Claims in the log's order: when, who, for how long in milliseconds.
    claims: Vec<(u64, String, u64)>,
    /// What each holder believes.
    leases: BTreeMap<String, Lease>,
    /// The highest number that the backend server has seen.
    fence: Offset,
}

impl Hosts {
    pub(crate) fn run(&mut self, clock: &ManualClock, words: &Words) -> Said {
        match words.name.as_str() {
            "member" => self.member(words),
            "list" => self.list(clock, words),
            "answered" => self.answered(clock, words),
            "known" => self.known(clock),
            "lease" => self.lease(clock, words),
            _ => self.order(clock, words),
        }
    }

    /// Makes an entry's membership: `member zone=z total=8 far=2 forget=60s`.
    fn member(&mut self, words: &Words) -> Said {
        let subset_size = SubsetSize {
            total: words.get("total", 8)?,
            other_zones: words.get("far", 2)?,
        };
        let limits = MembershipLimits {
            subset_size,
            forget_after: words.get("forget", HumanDuration::secs(60))?.0,
        };
        let zone = words.key("zone").unwrap_or("z");
        self.member = Some(Membership::new("entry", zone, limits));
        Ok(String::new())
    }

    /// Takes a list over, with `!` before those that leave: `list a b !c
    /// zone=z`.
    fn list(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let zone = words.key("zone").unwrap_or("z");
        let host = |word: &str| Host {
            name: word.trim_start_matches('!').to_owned(),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: zone.to_owned(),
            kind: HostKind::Sidecar {
                serves: "m".to_owned(),
            },
            leaving: word.starts_with('!'),
        };
        let hosts: Vec<Host> = words.plain().map(host).collect();
        let member = self.member.as_mut().ok_or("make a member first")?;
        Ok(format!("{:?}\n", member.apply_list(clock.now(), &hosts)))
    }

    /// Sidecars answer: `answered a b life=1`.
    fn answered(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let life = Incarnation(words.get("life", 1)?);
        let member = self.member.as_mut().ok_or("make a member first")?;
        for name in words.plain() {
            member.note_answer(clock.now(), name, life);
        }
        Ok(String::new())
    }

    /// Says which sidecars may get new work: `known`.
    fn known(&mut self, clock: &ManualClock) -> Said {
        let member = self.member.as_mut().ok_or("make a member first")?;
        let forgotten = member.sweep(clock.now());
        let mut out = String::new();
        for host in member.chosen_sidecars() {
            let stands = if member.is_leaving(&host.name) {
                "leaving"
            } else {
                "open"
            };
            write!(out, "{}={stands} ", host.name)?;
        }
        Ok(format!("{}forgotten={forgotten}\n", out))
    }

    /// A sidecar claims the lease of the backend server: `lease s1 ttl=10s`.
    fn lease(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let (holder, ttl) = (words.at(0)?, words.get("ttl", HumanDuration::secs(10))?.0);
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
        let held = current_claim(claims).ok_or("no claim")?;
        if held.holder == holder {
            let lease = Lease::new(held.offset, clock.now(), Duration::from_millis(held.ttl_ms));
            self.leases.insert(holder.to_owned(), lease);
        }
        Ok(format!(
            "{} holds it with number {}\n",
            held.holder, held.offset
        ))
    }

    /// A sidecar gives an order that was decided some time ago: `order s1`.
    fn order(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let holder = words.at(0)?;
        let lease = self.leases.get(holder).ok_or("it never had the lease")?;
        let Some(fence) = lease.fencing_token(clock.now()) else {
            return Ok(format!("{holder} gives no order: its lease lapsed\n"));
        };
        if fence < self.fence {
            return Ok(format!("{holder} is refused: {} was seen\n", self.fence));
        }
        self.fence = fence;
        Ok(format!("{holder} orders with number {fence}\n"))
    }
}
