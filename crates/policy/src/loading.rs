//! Plans the next step from the model and adapters that a backend server has
//! loaded to those that it should have.

use std::collections::BTreeSet;

/// A model version and its adapters: loaded, or wanted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model's version.
    pub version: String,
    /// Names of the adapters.
    pub adapters: BTreeSet<String>,
}

/// One change to what is loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadStep {
    /// Load a version of the model.
    LoadVersion(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Unload an adapter.
    UnloadAdapter(String),
}

/// The next step from `current` to `wanted`. The version comes first, since
/// adapters belong to it; adapters are unloaded last, as requests for them may
/// still run. `None` when nothing is left to do or when `wanted` has an empty
/// version.
#[must_use]
pub fn next_step(wanted: &LoadedModel, current: &LoadedModel) -> Option<LoadStep> {
    if wanted.version.is_empty() {
        return None;
    }
    if wanted.version != current.version {
        return Some(LoadStep::LoadVersion(wanted.version.clone()));
    }
    let missing = wanted.adapters.difference(&current.adapters).next();
    if let Some(adapter) = missing {
        return Some(LoadStep::LoadAdapter(adapter.clone()));
    }
    let extra = current.adapters.difference(&wanted.adapters).next();
    extra.map(|adapter| LoadStep::UnloadAdapter(adapter.clone()))
}
