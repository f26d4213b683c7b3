//! Settings that are well-formed but out of range.

use rstest::rstest;

use crate::process::{Daemon, Process, unique_ip};

/// Guards against a panic of a process whose settings name a period that cannot be
/// represented.
#[rstest]
#[case::grace(&["grace_s"], 1e300)]
#[case::window(&["repeat_window_s"], 1e20)]
#[case::usage_window(&["duties", "window_s"], 1e20)]
#[case::usage_deadline(&["duties", "due_s"], 1e300)]
#[case::call_rate(&["duties", "rate"], 1e-300)]
fn period_out_of_range(#[case] path: &[&str], #[case] value: f64) {
    let ip = unique_ip();
    let mut settings = Daemon::Forward.settings(ip);
    path.iter()
        .fold(&mut settings, |at, key| &mut at[*key])
        .clone_from(&value.into());
    let mut process = Process::start_with(Daemon::Forward, ip, &settings);
    assert_eq!(process.wait(), Some(2), "{}", process.output());
    let expected = format!("step=check_settings key={}: found ", path.join("."));
    let output = process.output();
    assert!(output.contains(&expected), "{output}");
}
