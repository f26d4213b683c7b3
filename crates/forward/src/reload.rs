//! Reloads the settings.
//!
//! Only the log level takes effect in a running entry. Any other change needs a restart,
//! which is logged.

use std::path::PathBuf;

use base::logging;
use base::settings;
use base::stop::StopSignal;
use spdlog::{info, warn};

use crate::Settings;

/// Reloads the settings of an entry on request.
#[derive(Debug, Clone)]
pub struct SettingsReloader {
    path: PathBuf,
    current: Settings,
}

impl SettingsReloader {
    /// Creates a reloader for the settings file at `path`; `current` is in force.
    #[must_use]
    pub fn new(path: PathBuf, current: &Settings) -> Self {
        Self {
            path,
            current: current.clone(),
        }
    }

    /// Reloads the settings each time that `stop` signals a reload.
    pub async fn watch(mut self, stop: StopSignal) {
        loop {
            stop.wait_reload().await;
            self.reload();
        }
    }

    fn reload(&mut self) {
        let read = settings::load::<Settings>(&self.path);
        let read = read.and_then(|new| new.check().map(|()| new));
        match read {
            Ok(new) => self.apply(new),
            // The file may be partially written; the current settings stay in force.
            Err(e) => warn!("settings reload failed", kv: { cause = e.to_string().as_str() }),
        }
    }

    fn apply(&mut self, new: Settings) {
        let same = new == self.current;
        if new.log_level != self.current.log_level {
            logging::set_level(new.log_level);
        }
        let level = new.log_level;
        let other_settings = Settings {
            log_level: self.current.log_level,
            ..new
        };
        let restart = other_settings != self.current;
        self.current.log_level = level;
        info!("settings read", kv: { same, restart });
    }
}
