//! CPU time by thread and resident memory of the process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Linux truncates thread names to this number of bytes.
const THREAD_NAME_LIMIT: usize = 15;

/// CPU time used so far by all threads whose name starts with `prefix`.
#[must_use]
pub fn cpu_time(prefix: &str) -> Duration {
    let prefix = &prefix[..prefix.len().min(THREAD_NAME_LIMIT)];
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let paths = threads.flatten().map(|thread| thread.path());
    let named = paths.filter(|path| {
        fs::read_to_string(path.join("comm")).is_ok_and(|name| name.starts_with(prefix))
    });
    named
        .filter_map(|path| fs::read_to_string(path.join("schedstat")).ok())
        .filter_map(|text| text.split(' ').next()?.parse().ok())
        .map(Duration::from_nanos)
        .sum()
}

/// Resident memory of the process, in bytes; 0 if it cannot be read.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
