//! The closed sets of reasons, so that each has a counter and none can be
//! made up on the way. See docs/OPERATORS.md for how to read them.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran, as told to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The request did not run and never will.
    No,
    /// The request may have run; its outcome cannot be told.
    Unknown,
    /// Part of the answer was made.
    Partial,
}

impl Executed {
    /// The word used in answers and labels.
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

/// Why a request was refused or ended without its whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The body or a header could not be understood.
    BadRequest,
    /// The body is larger than the settings allow.
    TooLarge,
    /// No token, or one that no workspace owns.
    BadToken,
    /// The class is not declared in the bundle.
    UnknownClass,
    /// The model or service is not declared in the bundle.
    UnknownTarget,
    /// The workspace may not use the class.
    NotEntitled,
    /// No bundle has been accepted yet.
    NoBundle,
    /// The class's target cannot be met with what is queued.
    TargetUnreachable,
    /// The queue is full and this request stands last.
    Shed,
    /// The run was stopped for a request of a higher tier.
    Preempted,
    /// The target passed while the request was waiting.
    Expired,
    /// No backend server can take the request.
    NoServer,
    /// The retry budget of the class is spent.
    RetryBudget,
    /// This process is draining.
    Draining,
    /// The backend server failed.
    BackendFailed,
    /// The backend server's outcome cannot be told.
    OutcomeUnknown,
    /// The answer broke off after its first piece.
    #[serde(rename = "broken_off")]
    Truncated,
    /// Backend servers crash when they run the request.
    CrashesServers,
    /// All backend servers have asked for fewer requests or for none.
    ServersBusy,
    /// The platform's log is needed and cannot be reached.
    #[serde(rename = "log_down")]
    LogUnavailable,
    /// The idempotency key is in use by another entry.
    #[serde(rename = "key_taken")]
    KeyInUse,
    /// The idempotency key was used with another request body.
    KeyReused,
    /// The caller went away.
    CallerGone,
}

impl Refusal {
    /// Every reason, for setting up counters.
    pub const ALL: [Self; 23] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::BadToken,
        Self::UnknownClass,
        Self::UnknownTarget,
        Self::NotEntitled,
        Self::NoBundle,
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
        Self::LogUnavailable,
        Self::KeyInUse,
        Self::KeyReused,
        Self::CallerGone,
    ];

    /// The word used in answers, labels and logs.
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
            Self::LogUnavailable => "log_down",
            Self::KeyInUse => "key_taken",
            Self::KeyReused => "key_reused",
            Self::CallerGone => "caller_gone",
        }
    }

    /// The HTTP status that goes with the reason.
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
            | Self::NoServer
            | Self::RetryBudget
            | Self::Draining
            | Self::CrashesServers
            | Self::ServersBusy
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

/// Why a request was granted again, or a call repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The sidecar could not be reached before the start.
    Unreachable,
    /// The connection went silent and was dialled anew.
    Silent,
    /// The sidecar refused the reservation.
    Refused,
    /// The reservation lapsed before the start.
    #[serde(rename = "lapsed")]
    ReservationExpired,
    /// The sidecar started a new life since the reservation.
    #[serde(rename = "incarnation")]
    SidecarRestarted,
    /// The backend server failed before the first piece.
    BackendFailed,
    /// The outcome is unknown and the request may be repeated.
    Unknown,
    /// The sidecar is draining.
    Draining,
    /// The request was preempted for a higher tier.
    Preempted,
}

impl RetryReason {
    /// Every reason, for setting up counters.
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

    /// The word used in labels and logs.
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
