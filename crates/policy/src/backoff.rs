//! How long to wait before asking a rate-limited service again.

use std::time::Duration;

/// The longest of the doubled waits.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// The wait before attempt number `attempt`, counted from 1; `drawn` is a
/// random number between 0 and 1.
///
/// Many sidecars ask for the same new version at once. The whole wait is
/// random, so that they spread out and none is favoured; what the service
/// told (`after`) is added in front, since asking earlier is in vain.
#[must_use]
pub fn delay(attempt: u32, first: Duration, after: Duration, drawn: f64) -> Duration {
    let doubled = first.saturating_mul(2_u32.saturating_pow(attempt.saturating_sub(1).min(16)));
    after + doubled.min(MAX_DELAY).mul_f64(drawn.clamp(0.0, 1.0))
}
