//! `entry`, `sidecar`, `forward` and `admission`: run one of the daemons.

use std::path::PathBuf;
use std::rc::Rc;

use base::task::supervise;
use base::{logging, settings};
use bpaf::Bpaf;
use forward::reload::SettingsReloader;
use platform::client::PlatformClient;
use platform::engine::EngineClient;
use platform::headers::HeaderCodec;

use crate::{CommandResult, daemon};

/// Run the daemon on an entry host.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(entry))]
pub(crate) struct Entry {
    /// JSON settings
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Fixed bundle to use instead of the one in the platform's log
    #[bpaf(argument("FILE"))]
    bundle: Option<PathBuf>,
}

impl Entry {
    pub(crate) fn run(self) -> CommandResult {
        let settings: entry::Settings = settings::load(&self.settings)?;
        let bundle = self.bundle.as_deref().map(settings::load).transpose()?;
        logging::init_daemon(settings.log_level)?;
        daemon::run(|stop| entry::run(settings, bundle, stop))
    }
}

/// Run the daemon beside one backend server.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(sidecar))]
pub(crate) struct Sidecar {
    /// JSON settings
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

impl Sidecar {
    pub(crate) fn run(self) -> CommandResult {
        let settings: sidecar::Settings = settings::load(&self.settings)?;
        logging::init_daemon(settings.log_level)?;
        daemon::run(|stop| sidecar::run(settings, stop))
    }
}

/// Run the daemon that forwards routed calls on the users' platform.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(forward))]
pub(crate) struct Forward {
    /// JSON settings
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

impl Forward {
    pub(crate) fn run(self) -> CommandResult {
        let settings: forward::Settings = settings::load(&self.settings)?;
        settings.check()?;
        logging::init_daemon(settings.log_level)?;
        daemon::run(async |stop| {
            let client = PlatformClient {
                store: settings.store,
            };
            let reload = SettingsReloader::new(self.settings, &settings);
            let end = stop.clone();
            supervise("reload settings", stop.clone(), move || {
                reload.clone().watch(end.clone())
            });
            forward::run(settings, Rc::new(HeaderCodec), client, stop).await
        })
    }
}

/// Run the daemon beside an engine that decides which routed calls it admits
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(admission))]
pub(crate) struct Admission {
    /// JSON settings
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

impl Admission {
    pub(crate) fn run(self) -> CommandResult {
        let settings: admission::Settings = settings::load(&self.settings)?;
        settings.check()?;
        logging::init_daemon(settings.log_level)?;
        daemon::run(async |stop| {
            let engine = EngineClient::new(settings.engine);
            admission::run(settings, engine, stop).await
        })
    }
}
