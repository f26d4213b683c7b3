//! `standin`: runs simulated platform components.

use std::path::PathBuf;

use base::settings;
use bpaf::Bpaf;
use standin::hosts::Registry;
use standin::{FaultControl, Ledger};

use crate::{CommandResult, daemon};

/// Run a simulated component of the platform.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(standin))]
pub(crate) struct Standin {
    #[bpaf(external)]
    component: Component,
}

#[derive(Debug, Clone, Bpaf)]
enum Component {
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// The host list
    #[bpaf(command)]
    Hosts {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// The append-only log
    #[bpaf(command)]
    Log {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// The weight store
    #[bpaf(command)]
    Weights {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// The control endpoint of a model engine, which executes orders
    #[bpaf(command)]
    Orders {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// A plain service
    #[bpaf(command)]
    Plain {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

impl Standin {
    pub(crate) fn run(self) -> CommandResult {
        match self.component {
            Component::Engine { settings } => {
                let settings = settings::load(&settings)?;
                daemon::run(|stop| standin::engine::run(settings, Ledger::default(), stop))
            }
            Component::Hosts { settings } => {
                let settings: standin::hosts::Settings = settings::load(&settings)?;
                let registry = Registry::new(settings.hosts.clone());
                daemon::run(|stop| standin::hosts::run(settings, registry, stop))
            }
            Component::Log { settings } => {
                let settings: standin::log::Settings = settings::load(&settings)?;
                let control = FaultControl::new(settings.faults.clone());
                daemon::run(|stop| standin::log::run(settings, control, stop))
            }
            Component::Weights { settings } => {
                let settings = settings::load(&settings)?;
                let store = standin::weights::WeightStore::default();
                daemon::run(|stop| standin::weights::run(settings, store, stop))
            }
            Component::Orders { settings } => {
                let settings = settings::load(&settings)?;
                let record = standin::orders::OrderState::default();
                daemon::run(|stop| standin::orders::run(settings, record, stop))
            }
            Component::Plain { settings } => {
                let settings = settings::load(&settings)?;
                daemon::run(|stop| standin::plain::run(settings, Ledger::default(), stop))
            }
        }
    }
}
