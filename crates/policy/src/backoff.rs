//! Exponential backoff before asking a rate-limited service again.

use std::time::Duration;

/// Maximum of the exponential delay.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// The delay before attempt number `attempt`, counted from 1; `random` is a
/// uniform random number between 0 and 1.
///
/// Many sidecars ask for the same new version at once. The whole delay is
/// random (full jitter), so that their requests spread out evenly. The delay
/// demanded by the service (`retry_after`) is added to it, since asking
/// earlier would be refused.
#[must_use]
pub fn delay(attempt: u32, base: Duration, retry_after: Duration, random: f64) -> Duration {
    let exponential = base.saturating_mul(2_u32.saturating_pow(attempt.saturating_sub(1).min(16)));
    retry_after + exponential.min(MAX_DELAY).mul_f64(random.clamp(0.0, 1.0))
}
