//! The closed sets of refusal and retry reasons.
//!
//! As enums, all reasons are known in advance, so that each has a counter.
//! See docs/OPERATORS.md for their meaning to operators.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Whether a request was executed, as far as this process knows. Reported to
/// the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The request was not executed and never will be.
    No,
    /// The request may have been executed; its outcome is unknown.
    Unknown,
    /// Part of the response was generated.
    Partial,
}

impl Executed {
    /// The name used in responses and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        }
    }
}

impl Display for Executed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused or ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The body or a header is malformed.
    BadRequest,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The API token is missing or belongs to no workspace.
    BadToken,
    /// The class is not declared in the bundle.
    UnknownClass,
    /// The model or service is not declared in the bundle.
    UnknownTarget,
    /// The workspace may not use the class.
    NotEntitled,
    /// No bundle has been accepted yet.
    NoBundle,
    /// The catalog lacks the route or the API key, but may be out of date.
    OldCatalog,
    /// The latency target of the class cannot be met given the current queue.
    TargetUnreachable,
    /// The queue is full and this request has the lowest rank in it.
    Shed,
    /// The running request was stopped in favour of one of a higher tier.
    Preempted,
    /// The deadline passed while the request was queued.
    Expired,
    /// No backend server can accept the request.
    NoServer,
    /// The retry budget of the class is exhausted.
    RetryBudget,
    /// This process is draining.
    Draining,
    /// The backend server failed.
    BackendFailed,
    /// The outcome at the backend server is unknown.
    OutcomeUnknown,
    /// The response was cut off after its first chunk.
    #[serde(rename = "broken_off")]
    Truncated,
    /// The request crashes the backend servers that run it.
    CrashesServers,
    /// All backend servers asked for fewer requests or none (backpressure).
    ServersBusy,
    /// The software version that began the stream is not known.
    VersionUnknown,
    /// The workspace is above its share of a service that rejects calls.
    OverShare,
    /// The process holds as many bytes or connections as its host allows.
    Overloaded,
    /// The platform's log is required and unreachable.
    #[serde(rename = "log_down")]
    LogUnavailable,
    /// The idempotency key is in use by another entry.
    #[serde(rename = "key_taken")]
    KeyInUse,
    /// The idempotency key was used with a different request body.
    KeyReused,
    /// The caller disconnected.
    CallerGone,
}

impl Refusal {
    /// Every reason, to initialise the counters.
    pub const ALL: [Self; 27] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::BadToken,
        Self::UnknownClass,
        Self::UnknownTarget,
        Self::NotEntitled,
        Self::NoBundle,
        Self::OldCatalog,
        Self::TargetUnreachable,
        Self::Shed,
        Self::Preempted,
        Self::Expired,
        Self::NoServer,
        Self::RetryBudget,
        Self::Draining,
        Self::BackendFailed,
        Self::OutcomeUnknown,
        Self::Truncated,
        Self::CrashesServers,
        Self::ServersBusy,
        Self::VersionUnknown,
        Self::OverShare,
        Self::Overloaded,
        Self::LogUnavailable,
        Self::KeyInUse,
        Self::KeyReused,
        Self::CallerGone,
    ];

    /// The name used in responses, metric labels and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::BadToken => "bad_token",
            Self::UnknownClass => "unknown_class",
            Self::UnknownTarget => "unknown_target",
            Self::NotEntitled => "not_entitled",
            Self::NoBundle => "no_bundle",
            Self::OldCatalog => "old_catalog",
            Self::TargetUnreachable => "target_unreachable",
            Self::Shed => "shed",
            Self::Preempted => "preempted",
            Self::Expired => "expired",
            Self::NoServer => "no_server",
            Self::RetryBudget => "retry_budget",
            Self::Draining => "draining",
            Self::BackendFailed => "backend_failed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Truncated => "broken_off",
            Self::CrashesServers => "crashes_servers",
            Self::ServersBusy => "servers_busy",
            Self::VersionUnknown => "version_unknown",
            Self::OverShare => "over_share",
            Self::Overloaded => "overloaded",
            Self::LogUnavailable => "log_down",
            Self::KeyInUse => "key_taken",
            Self::KeyReused => "key_reused",
            Self::CallerGone => "caller_gone",
        }
    }

    /// The HTTP status code for the reason.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::UnknownClass => 400,
            Self::BadToken => 401,
            Self::NotEntitled => 403,
            Self::UnknownTarget => 404,
            Self::KeyInUse | Self::KeyReused => 409,
            Self::TooLarge => 413,
            Self::TargetUnreachable | Self::Shed | Self::Preempted => 429,
            Self::BackendFailed | Self::Truncated => 502,
            Self::NoBundle
            | Self::OldCatalog
            | Self::NoServer
            | Self::RetryBudget
            | Self::Draining
            | Self::CrashesServers
            | Self::ServersBusy
            | Self::VersionUnknown
            | Self::OverShare
            | Self::Overloaded
            | Self::LogUnavailable => 503,
            Self::Expired | Self::OutcomeUnknown => 504,
            Self::CallerGone => 499,
        }
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was scheduled again or a call was repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The sidecar was unreachable before the request started.
    Unreachable,
    /// The connection stopped responding and was replaced.
    Silent,
    /// The sidecar refused the reservation.
    Refused,
    /// The reservation expired before the request started.
    #[serde(rename = "lapsed")]
    ReservationExpired,
    /// The sidecar restarted after the reservation, under a new incarnation.
    #[serde(rename = "incarnation")]
    SidecarRestarted,
    /// The backend server failed before the first chunk.
    BackendFailed,
    /// The outcome is unknown and the request may be repeated.
    Unknown,
    /// The sidecar is draining.
    Draining,
    /// The request was preempted by one of a higher tier.
    Preempted,
}

impl RetryReason {
    /// Every reason, to initialise the counters.
    pub const ALL: [Self; 9] = [
        Self::Unreachable,
        Self::Silent,
        Self::Refused,
        Self::ReservationExpired,
        Self::SidecarRestarted,
        Self::BackendFailed,
        Self::Unknown,
        Self::Draining,
        Self::Preempted,
    ];

    /// The name used in metric labels and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Refused => "refused",
            Self::ReservationExpired => "lapsed",
            Self::SidecarRestarted => "incarnation",
            Self::BackendFailed => "backend_failed",
            Self::Unknown => "unknown",
            Self::Draining => "draining",
            Self::Preempted => "preempted",
        }
    }
}

impl Display for RetryReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
