//! What a backend server should have loaded, and the next step towards it.

use std::collections::BTreeSet;

/// What should be loaded, or is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model's version.
    pub version: String,
    /// The adapters.
    pub adapters: BTreeSet<String>,
}

/// One step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadStep {
    /// Load a version of the model.
    LoadVersion(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Unload an adapter.
    UnloadAdapter(String),
}

/// The next step from what `is` loaded to what is wanted: the version first,
/// since adapters belong to it; adapters are unloaded last, as requests for
/// them may still run. An empty version wants nothing.
#[must_use]
pub fn next_step(wanted: &LoadedModel, is: &LoadedModel) -> Option<LoadStep> {
    if wanted.version.is_empty() {
        return None;
    }
    if wanted.version != is.version {
        return Some(LoadStep::LoadVersion(wanted.version.clone()));
    }
    let missing = wanted.adapters.difference(&is.adapters).next();
    if let Some(adapter) = missing {
        return Some(LoadStep::LoadAdapter(adapter.clone()));
    }
    let extra = is.adapters.difference(&wanted.adapters).next();
    extra.map(|adapter| LoadStep::UnloadAdapter(adapter.clone()))
}
