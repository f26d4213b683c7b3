//! What a caller is told about having run, after several tries.

use base::reason::{Ran, Refusal};
use entry::dispatch::Tries;
use entry::refuse::Refused;
use rstest::rstest;

/// The caller hears "not run", yet the engine made tokens for its request.
/// A lower-tier run is stopped for a higher tier before any piece reached the
/// caller; the next sidecar refuses the request for want of time, and says
/// truly that it did not run there. Only all tries together tell the truth.
/// Found by the demo with a burst and a straggler, teranga, seed 1: 2 of 3,325.
#[rstest]
#[case::never_ran(&[], Ran::No, Ran::No)]
#[case::preempted_then_refused(&[Ran::Partial], Ran::No, Ran::Partial)]
#[case::unknown_then_refused(&[Ran::Unknown], Ran::No, Ran::Unknown)]
#[case::refused_then_refused(&[Ran::No], Ran::No, Ran::No)]
#[case::partial_outlives_unknown(&[Ran::Partial, Ran::Unknown], Ran::No, Ran::Partial)]
#[case::last_try_tells_more(&[Ran::Unknown], Ran::Partial, Ran::Partial)]
fn tell_all_tries(#[case] earlier: &[Ran], #[case] last: Ran, #[case] told: Ran) {
    let mut tries = Tries::default();
    earlier.iter().for_each(|ran| tries.note(*ran));
    let mut refused = Refused::not_run(Refusal::TargetUnreachable, "no time");
    refused.ran = last;
    assert_eq!(tries.tell(refused).ran, told);
}
