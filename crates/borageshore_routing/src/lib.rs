//! Routing of requests: choice of endpoint, admission, retries, request keys and outcomes.
//!
//! This crate does no I/O: time and random numbers are arguments.
//!
//! ```
//! use borageshore_routing::RetryBudget;
//!
//! let mut budget = RetryBudget::open(20);
//! assert!(budget.try_retry(), "a budget starts with a small reserve");
//! ```

mod abandoned_attempts;
mod admission;
mod attempt;
mod budget;
mod budget_shares;
mod choice;
mod cold_endpoints;
mod crash_reports;
mod endpoint;
mod evacuation_records;
mod evacuations;
mod fingerprint;
mod keys;
mod longest_durations;
mod overload;
mod quarantine;
mod registry;
mod request_attempts;
mod residency;
mod routes;
mod send_gate;
mod send_log;
mod subset;
mod view_certainty;

pub use self::{
    abandoned_attempts::AbandonedAttempts,
    admission::{Admission, AdmissionDecision, AdmissionLimits, Ticket, TicketId, Workload},
    attempt::{Attempt, AttemptEvent, AttemptState, Idempotent, Outcome, attempt_chart},
    budget::RetryBudget,
    budget_shares::MemberStanding,
    choice::{CallingDaemon, ChoiceRequest, choose_endpoint, choose_from_subset},
    cold_endpoints::{ColdBounds, ColdEndpoints, ColdLimits, MAX_COLD_MS},
    crash_reports::{CrashReport, CrashReports},
    endpoint::{Endpoint, EndpointListing, EndpointState, EndpointTable, LoadReport},
    evacuation_records::EvacuationRecords,
    evacuations::Evacuations,
    fingerprint::{Fingerprint, ParseFingerprintError, RequestContent},
    keys::{KeyDecision, KeyPrefix, KeyTable, StoredAnswer},
    longest_durations::LongestDurations,
    overload::{
        CallTerms, LoadSummary, MAX_RETRY_AFTER_PART, OverloadControl, OverloadDecision,
        OverloadReason,
    },
    quarantine::{Crash, CrashEffect, HoldDecision, Quarantine, RequestKind},
    registry::{EndpointRegistry, EntryEffect},
    request_attempts::RequestAttempts,
    residency::{UnservableRoute, regions_without_zones, residencies, unservable_routes},
    routes::{Route, RouteKind, RouteTable, RouteTarget},
    send_gate::SendGate,
    subset::subset_of,
    view_certainty::ViewReading,
};
