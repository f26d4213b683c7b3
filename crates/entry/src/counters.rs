//! What placement counts. No label grows with the number of workspaces.

use base::ids::Tier;
use metrics::counter;
use spdlog::warn;

use crate::state::Server;

/// Counts a request that started to run.
pub fn count_grant(tier: Tier) {
    counter!("pimentocart_grants_total", "tier" => tier.to_string()).increment(1);
}

/// Counts a reservation given up because another sidecar was taken.
pub fn count_cancelled_hedge() {
    counter!("pimentocart_hedges_cancelled_total").increment(1);
}

/// Counts a held slot left waiting for a better one, and whether that came.
pub fn count_grace_period(better: bool) {
    let outcome = if better { "better" } else { "in_vain" };
    counter!("pimentocart_grace_total", "outcome" => outcome).increment(1);
}

/// Counts an ejection.
pub fn count_ejection(server: &Server) {
    warn!("server ejected", kv: { peer = server.info.addr.to_string().as_str() });
    counter!("pimentocart_ejections_total").increment(1);
}

/// Counts tokens that were made for an answer which was then made anew.
pub fn count_wasted_tokens(tokens: u64) {
    counter!("pimentocart_wasted_tokens_total").increment(tokens);
}
