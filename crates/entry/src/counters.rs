//! Metrics of placement. No label has a value per workspace, so that the number
//! of series does not grow with the number of workspaces.

use base::ids::Tier;
use metrics::counter;
use spdlog::warn;

use crate::state::Server;

/// Counts a request that was started.
pub fn count_grant(tier: Tier) {
    counter!("pimentocart_grants_total", "tier" => tier.to_string()).increment(1);
}

/// Counts a reservation that was cancelled unused, for example because another
/// sidecar was chosen.
pub fn count_cancelled_hedge() {
    counter!("pimentocart_hedges_cancelled_total").increment(1);
}

/// Counts a grace period in which a held slot waited for a better one, and
/// whether a better one was offered.
pub fn count_grace_period(better: bool) {
    let outcome = if better { "better" } else { "in_vain" };
    counter!("pimentocart_grace_total", "outcome" => outcome).increment(1);
}

/// Counts and logs the ejection of a server.
pub fn count_ejection(server: &Server) {
    warn!("server ejected", kv: { peer = server.info.addr.to_string().as_str() });
    counter!("pimentocart_ejections_total").increment(1);
}

/// Counts tokens of a failed run whose request was then retried.
pub fn count_wasted_tokens(tokens: u64) {
    counter!("pimentocart_wasted_tokens_total").increment(tokens);
}
