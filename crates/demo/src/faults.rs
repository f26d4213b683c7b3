//! Faults injected at set times of a run.

use std::thread;
use std::time::{Duration, Instant};

use base::settings::HumanDuration;
use serde::{Deserialize, Serialize};

use crate::changes::Change;
use crate::cluster::{Cluster, Faults, Server};

/// Time between a daemon's stop and its start in a rolling restart.
const RESTART_DELAY: Duration = Duration::from_millis(50);

/// The faults of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// The faults with their times.
    pub events: Vec<ScheduledFault>,
}

/// A fault and its time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// Time of the fault, from the start of the load.
    pub at: HumanDuration,
    /// The fault.
    pub fault: Fault,
}

/// A fault. Backend servers are given by their index, model engines first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Fault {
    /// A model engine's steps take `pace` times as long.
    Straggler {
        /// The backend server.
        server: usize,
        /// The factor; 1 ends the fault.
        pace: f64,
    },
    /// The load reports of all engines are delayed.
    ReportLag {
        /// The delay.
        lag: HumanDuration,
    },
    /// Cache events of all engines are delayed, and some are dropped.
    CacheEvents {
        /// The delay.
        lag: HumanDuration,
        /// Share of events that are dropped.
        gap: f64,
    },
    /// A backend server crashes; its sidecar keeps running.
    CrashBackend {
        /// The backend server.
        server: usize,
        /// Time after the crash at which it restarts; `None` for never.
        #[serde(rename = "back")]
        restart_after: Option<HumanDuration>,
    },
    /// A backend server's host crashes, including the sidecar.
    CrashHost {
        /// The backend server.
        server: usize,
        /// Time after the crash at which it restarts; `None` for never.
        #[serde(rename = "back")]
        restart_after: Option<HumanDuration>,
    },
    /// A sidecar's thread is blocked.
    PauseSidecar {
        /// The sidecar's backend server.
        server: usize,
        /// Duration.
        time: HumanDuration,
    },
    /// Open connections to a sidecar stop carrying data, without being closed.
    SilenceSidecar {
        /// The sidecar's backend server.
        server: usize,
    },
    /// Open connections to a backend server stop carrying data, without being
    /// closed.
    SilenceBackend {
        /// The backend server.
        server: usize,
    },
    /// An entry stops gracefully and a new one takes its place.
    ReplaceEntry {
        /// The entry.
        entry: u8,
    },
    /// The platform's list of hosts is faulty.
    HostList {
        /// The faults of the list; no faults end it.
        faults: standin::hosts::Faults,
    },
    /// The log answers no requests.
    LogOutage {
        /// Duration.
        time: HumanDuration,
    },
    /// Appends to the log take effect, but their replies are lost.
    LogLosesReplies {
        /// Number of appends.
        count: u32,
    },
    /// An operator publishes a changed bundle.
    Publish,
    /// Two operators publish different bundles at once.
    RacePublish,
    /// An operator rolls back to the first version of the bundle.
    Rollback,
    /// All sidecars and then all entries are restarted gracefully, one at a
    /// time.
    RollingRestart,
}

impl FaultPlan {
    /// Whether the plan silences connections, which needs forwarders.
    #[must_use]
    pub fn needs_forwarders(&self) -> bool {
        let silence = |e: &ScheduledFault| {
            matches!(
                e.fault,
                Fault::SilenceSidecar { .. } | Fault::SilenceBackend { .. }
            )
        };
        self.events.iter().any(silence)
    }

    /// Injects the faults at their times; returns after the last.
    pub fn run(&self, cluster: &Cluster) {
        let start = Instant::now();
        thread::scope(|scope| {
            for event in &self.events {
                scope.spawn(move || {
                    thread::sleep(event.at.0.saturating_sub(start.elapsed()));
                    eprintln!(
                        "fault at={:.1}s {:?}",
                        start.elapsed().as_secs_f64(),
                        event.fault
                    );
                    event.fault.apply(cluster);
                });
            }
        });
    }
}

impl Fault {
    fn apply(&self, cluster: &Cluster) {
        let server = |i: &usize| cluster.servers.get(*i);
        match self {
            Self::Straggler { server: i, pace } => {
                if let Some(Faults::Engine(faults)) = server(i).map(|s| &s.faults) {
                    faults.change(|f| f.slowdown = *pace);
                }
            }
            Self::ReportLag { lag } => change_engines(cluster, |f| f.report_lag = *lag),
            Self::CacheEvents { lag, gap } => change_engines(cluster, |f| {
                f.event_lag = *lag;
                f.event_loss = *gap;
            }),
            Self::CrashBackend {
                server: i,
                restart_after,
            } => {
                if let Some(server) = server(i) {
                    crash_and_restart(&[&server.backend], *restart_after);
                }
            }
            Self::CrashHost {
                server: i,
                restart_after,
            } => {
                if let Some(server) = server(i) {
                    crash_and_restart(&[&server.backend, &server.sidecar], *restart_after);
                }
            }
            Self::PauseSidecar { server: i, time } => {
                if let Some(server) = server(i) {
                    server.sidecar.pause(time.0);
                }
            }
            Self::SilenceSidecar { server: i } => silence_link(server(i).map(|s| &s.sidecar_link)),
            Self::SilenceBackend { server: i } => silence_link(server(i).map(|s| &s.backend_link)),
            Self::ReplaceEntry { entry } => {
                if let Some(line) = cluster.replace_entry(*entry) {
                    eprintln!("{line}");
                }
            }
            Self::HostList { faults } => cluster.hosts.1.control.change(|f| *f = *faults),
            Self::LogOutage { time } => {
                cluster.log_faults().change(|f| f.down = true);
                thread::sleep(time.0);
                cluster.log_faults().change(|f| f.down = false);
            }
            Self::LogLosesReplies { count } => {
                cluster.log_faults().change(|f| f.lost_replies = *count)
            }
            Self::Publish => eprintln!("{}", cluster.apply_change(Change::Publish)),
            Self::RacePublish => eprintln!("{}", cluster.apply_change(Change::Race)),
            Self::Rollback => eprintln!("{}", cluster.apply_change(Change::Rollback)),
            Self::RollingRestart => rolling_restart(cluster),
        }
    }
}

fn change_engines(cluster: &Cluster, change: impl Fn(&mut standin::engine::Faults)) {
    for Server { faults, .. } in &cluster.servers {
        if let Faults::Engine(faults) = faults {
            faults.change(&change);
        }
    }
}

fn crash_and_restart(daemons: &[&crate::daemon::Daemon], restart_after: Option<HumanDuration>) {
    daemons.iter().for_each(|daemon| daemon.crash());
    if let Some(delay) = restart_after {
        thread::sleep(delay.0);
        daemons.iter().for_each(|daemon| daemon.restart());
    }
}

type Link = Option<(
    crate::daemon::Daemon,
    standin::FaultControl<standin::proxy::Faults>,
)>;

fn silence_link(link: Option<&Link>) {
    if let Some(Some((_, faults))) = link {
        faults.change(|f| f.silence_generation += 1);
    }
}

fn rolling_restart(cluster: &Cluster) {
    let sidecars = cluster.servers.iter().map(|s| &s.sidecar);
    for daemon in sidecars.chain(&cluster.entries) {
        daemon.stop();
        thread::sleep(RESTART_DELAY);
        daemon.restart();
    }
}
