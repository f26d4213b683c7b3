//! What a caller is told about having run, after several tries.

use base::reason::{Executed, Refusal};
use entry::dispatch::Attempts;
use entry::error::RequestError;
use rstest::rstest;

/// The caller hears "not run", yet the engine made tokens for its request.
/// A lower-tier run is stopped for a higher tier before any piece reached the
/// caller; the next sidecar refuses the request for want of time, and says
/// truly that it did not run there. Only all tries together tell the truth.
/// Found by the demo with a burst and a straggler, teranga, seed 1: 2 of 3,325.
#[rstest]
#[case::never_ran(&[], Executed::No, Executed::No)]
#[case::preempted_then_refused(&[Executed::Partial], Executed::No, Executed::Partial)]
#[case::unknown_then_refused(&[Executed::Unknown], Executed::No, Executed::Unknown)]
#[case::refused_then_refused(&[Executed::No], Executed::No, Executed::No)]
#[case::partial_outlives_unknown(&[Executed::Partial, Executed::Unknown], Executed::No, Executed::Partial)]
#[case::last_try_tells_more(&[Executed::Unknown], Executed::Partial, Executed::Partial)]
fn tell_all_tries(#[case] earlier: &[Executed], #[case] last: Executed, #[case] told: Executed) {
    let mut tries = Attempts::default();
    earlier.iter().for_each(|ran| tries.record(*ran));
    let mut refused = RequestError::not_run(Refusal::TargetUnreachable, "no time");
    refused.ran = last;
    assert_eq!(tries.final_error(refused).ran, told);
}
