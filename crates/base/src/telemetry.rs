//! The metrics recorder of one daemon.
//!
//! Each daemon lives on a thread of its own, so that several of them fit into
//! one process (the demo) without mixing their counters: the recorder is the
//! thread's local one.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Runs `body` with a fresh recorder as the thread's own; `body` gets the
/// handle that renders what was counted.
pub fn with_recorder<T>(body: impl FnOnce(PrometheusHandle) -> T) -> T {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || body(handle))
}
