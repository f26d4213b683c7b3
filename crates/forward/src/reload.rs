//! Reading the settings again.
//!
//! Only the level of logs takes effect in a running entry. A change of
//! anything else needs a restart, and the log says so.

use std::path::PathBuf;

use base::logging;
use base::settings;
use base::stop::StopSignal;
use spdlog::{info, warn};

use crate::Settings;

/// Reads the settings of one entry again when told to.
#[derive(Debug)]
pub struct SettingsReloader {
    path: PathBuf,
    held: Settings,
}

impl SettingsReloader {
    /// Makes a reload of the settings at `path`, which are `held` now.
    #[must_use]
    pub fn new(path: PathBuf, held: &Settings) -> Self {
        Self {
            path,
            held: held.clone(),
        }
    }

    /// Reads the settings each time that `stop` says so.
    pub async fn watch(mut self, stop: StopSignal) {
        loop {
            stop.wait_reload().await;
            self.read();
        }
    }

    fn read(&mut self) {
        let read = settings::load::<Settings>(&self.path);
        let read = read.and_then(|new| new.check().map(|()| new));
        match read {
            Ok(new) => self.take(new),
            // The file may be half written; what is held stays in force.
            Err(e) => warn!("settings kept", kv: { cause = e.to_string().as_str() }),
        }
    }

    fn take(&mut self, new: Settings) {
        let same = new == self.held;
        if new.log_level != self.held.log_level {
            logging::set_level(new.log_level);
        }
        let level = new.log_level;
        let apart = Settings {
            log_level: self.held.log_level,
            ..new
        };
        let restart = apart != self.held;
        self.held.log_level = level;
        info!("settings read", kv: { same, restart });
    }
}
