//! Whether the caller is told that the request ran, after several attempts.

use base::reason::{Executed, Refusal};
use entry::dispatch::Attempts;
use entry::error::RequestError;
use rstest::rstest;

/// The caller must not be told "not run" after the engine generated tokens. This
/// happens when a run is preempted by a higher tier before any chunk is delivered,
/// and the next sidecar refuses the request because too little time is left: it
/// did not run there, but it did before. Found by the demo with a burst and a
/// straggler (fleet teranga, seed 1), in 2 of 3,325 requests.
#[rstest]
#[case::never_ran(&[], Executed::No, Executed::No)]
#[case::preempted_then_refused(&[Executed::Partial], Executed::No, Executed::Partial)]
#[case::unknown_then_refused(&[Executed::Unknown], Executed::No, Executed::Unknown)]
#[case::refused_then_refused(&[Executed::No], Executed::No, Executed::No)]
#[case::partial_then_unknown(&[Executed::Partial, Executed::Unknown], Executed::No, Executed::Partial)]
#[case::last_attempt_ran(&[Executed::Unknown], Executed::Partial, Executed::Partial)]
fn final_error_merges_attempts(
    #[case] earlier: &[Executed],
    #[case] last: Executed,
    #[case] expected: Executed,
) {
    let mut attempts = Attempts::default();
    earlier.iter().for_each(|ran| attempts.record(*ran));
    let mut error = RequestError::not_run(Refusal::TargetUnreachable, "no time");
    error.ran = last;
    assert_eq!(attempts.final_error(error).ran, expected);
}
