//! Refuses calls while the endpoints of their service are overloaded.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_net::Clock;
use borageshore_routing::{
    CallTerms, LoadReport, LoadSummary, OverloadControl, OverloadDecision, OverloadReason,
};
use borageshore_topology::Residency;

use crate::endpoints::Endpoints;

/// How long the summary of a service's load is used, with the calls that were admitted since. Bounds the cost where a
/// daemon gets many calls for a service of thousands of endpoints.
const SUMMARY_AGE_MS: u64 = 10;

#[derive(Debug)]
struct CachedSummary {
    summary: LoadSummary,
    at_ms: u64,
}

/// A call that is refused for the load of its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OverloadRefusal {
    pub(crate) reason: OverloadReason,
    pub(crate) retry_after_ms: u64,
    pub(crate) summary: LoadSummary,
}

/// Decides about the calls of services that have contention; other services are not touched.
#[derive(Debug)]
pub(crate) struct Overload {
    endpoints: Rc<Endpoints>,
    clock: Clock,
    control: RefCell<OverloadControl>,
    /// By service and the regions whose endpoints count.
    summaries: RefCell<SortedMap<(Arc<str>, Residency), CachedSummary>>,
}

impl Overload {
    pub(crate) fn open(endpoints: Rc<Endpoints>, clock: Clock) -> Self {
        Self {
            endpoints,
            clock,
            control: RefCell::default(),
            summaries: RefCell::default(),
        }
    }

    /// Decides about a call before it is sent; `None` if it may be sent.
    pub(crate) fn refuse(
        &self,
        service: &Arc<str>,
        residency: &Residency,
        terms: CallTerms<'_>,
    ) -> Option<OverloadRefusal> {
        if !self.endpoints.has_contention(service) {
            return None;
        }
        let summary = self.summary(service, residency);
        let (now_ms, random) = (self.clock.now_ms(), self.endpoints.random());
        let mut control = self.control.borrow_mut();
        match control.decide(service, summary, terms, now_ms, random) {
            OverloadDecision::Admit => {
                let key = (service.clone(), residency.clone());
                if let Some(cached) = self.summaries.borrow_mut().get_mut(&key) {
                    cached.summary.on_admitted();
                }
                None
            }
            OverloadDecision::Refuse {
                reason,
                retry_after_ms,
            } => Some(OverloadRefusal {
                reason,
                retry_after_ms,
                summary,
            }),
        }
    }

    /// Records an admitted call that no endpoint ran; returns when it should be repeated, if the service has contention.
    pub(crate) fn on_not_run(
        &self,
        service: &Arc<str>,
        residency: &Residency,
        terms: CallTerms<'_>,
    ) -> Option<u64> {
        if !self.endpoints.has_contention(service) {
            return None;
        }
        let summary = self.summary(service, residency);
        let (now_ms, random) = (self.clock.now_ms(), self.endpoints.random());
        let mut control = self.control.borrow_mut();
        Some(control.on_not_run(service, summary, terms, now_ms, random))
    }

    /// Records the answer of an endpoint, which took `took_ms`, with its load report.
    pub(crate) fn on_answer(&self, service: &Arc<str>, took_ms: u64, load: Option<LoadReport>) {
        if self.endpoints.has_contention(service) {
            let mut control = self.control.borrow_mut();
            control.on_answer(service, took_ms, load);
        }
    }

    fn summary(&self, service: &Arc<str>, residency: &Residency) -> LoadSummary {
        let key = (service.clone(), residency.clone());
        let now_ms = self.clock.now_ms();
        let mut summaries = self.summaries.borrow_mut();
        let is_current = |cached: &CachedSummary| now_ms < cached.at_ms + SUMMARY_AGE_MS;
        if let Some(cached) = summaries.get(&key).filter(|cached| is_current(cached)) {
            return cached.summary;
        }
        summaries.retain(|_, cached| is_current(cached));
        let summary = self.endpoints.load_summary(service, residency);
        let cached = CachedSummary {
            summary,
            at_ms: now_ms,
        };
        summaries.insert(key, cached);
        summary
    }
}
