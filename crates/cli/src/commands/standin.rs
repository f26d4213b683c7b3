//! `standin`: stand-ins for parts of the platform.

use std::path::PathBuf;

use base::settings;
use bpaf::Bpaf;
use standin::hosts::Registry;
use standin::{FaultControl, Ledger};

use crate::{Outcome, daemon};

/// Run a stand-in for a part of the platform.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(standin))]
pub(crate) struct Standin {
    #[bpaf(external)]
    part: Part,
}

#[derive(Debug, Clone, Bpaf)]
enum Part {
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// The list of hosts
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
    /// The side of a model engine that takes orders
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
    pub(crate) fn run(self) -> Outcome {
        match self.part {
            Part::Engine { settings } => {
                let settings = settings::load(&settings)?;
                daemon::run(|stop| standin::engine::run(settings, Ledger::default(), stop))
            }
            Part::Hosts { settings } => {
                let settings: standin::hosts::Settings = settings::load(&settings)?;
                let registry = Registry::new(settings.hosts.clone());
                daemon::run(|stop| standin::hosts::run(settings, registry, stop))
            }
            Part::Log { settings } => {
                let settings: standin::log::Settings = settings::load(&settings)?;
                let control = FaultControl::new(settings.faults.clone());
                daemon::run(|stop| standin::log::run(settings, control, stop))
            }
            Part::Weights { settings } => {
                let settings = settings::load(&settings)?;
                let store = standin::weights::WeightStore::default();
                daemon::run(|stop| standin::weights::run(settings, store, stop))
            }
            Part::Orders { settings } => {
                let settings = settings::load(&settings)?;
                let record = standin::orders::OrderState::default();
                daemon::run(|stop| standin::orders::run(settings, record, stop))
            }
            Part::Plain { settings } => {
                let settings = settings::load(&settings)?;
                daemon::run(|stop| standin::plain::run(settings, Ledger::default(), stop))
            }
        }
    }
}
