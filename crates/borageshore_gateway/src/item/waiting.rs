//! The wait of an item for a slot, which ends when the routes in force ask for something else.

use std::pin::pin;

use borageshore_batch::VersionRule;
use borageshore_net::within_ms;
use futures_util::future::{Either, select};

use super::ItemRun;
use crate::{
    dispatch::{EngineSlot, SlotRequest},
    mechanisms::Mechanism,
};

/// How long an item waits for a slot at an engine other than those where its last attempts failed.
const AVOID_TIMEOUT_MS: u64 = 300;
/// The interval at which an item that waits for an engine in some regions looks up whether they still are the allowed ones.
const RESIDENCY_RECHECK_MS: u64 = 1_000;
/// The same for an item that may run in any region. It is notified of changes; this bounds its timer.
const RECHECK_MS: u64 = 60_000;

impl ItemRun<'_> {
    /// Waits for a slot; `None` once the routes in force ask for something other than the request, or the item may be
    /// given up.
    pub(super) async fn acquire_slot(
        &self,
        request: &SlotRequest,
        rule: VersionRule,
    ) -> Option<EngineSlot> {
        let slot = pin!(self.wait_for_slot(request.clone()));
        let outdated = pin!(self.outdated(request, rule));
        match select(slot, outdated).await {
            Either::Left((slot, _)) => Some(slot),
            Either::Right(_) => None,
        }
    }

    /// Completes once a request for a slot is not valid any more.
    async fn outdated(&self, request: &SlotRequest, rule: VersionRule) {
        loop {
            let changed = self.context.routes.changed.notified();
            match self.valid_for_ms(request, rule) {
                Some(valid_for_ms) => within_ms(valid_for_ms, changed).await,
                None => break,
            };
        }
        log::debug!(item = &*self.item.id, service = &*request.service; "routes in force changed or time is up; the item no longer waits for this service");
    }

    /// How long a request for a slot stays valid unless the routes change; `None` if it is not valid now.
    fn valid_for_ms(&self, request: &SlotRequest, rule: VersionRule) -> Option<u64> {
        let route = self.route_in_force()?;
        let is_valid = route.sends_to(&request.service)
            && self.version_rule(Some(&route)) == rule
            && self.residency_now() == request.residency;
        let remaining_ms = self.remaining_retention_ms(&route);
        let recheck_ms = match request.residency.is_restricted() {
            true => RESIDENCY_RECHECK_MS,
            false => RECHECK_MS,
        };
        (is_valid && remaining_ms > 0).then(|| remaining_ms.min(recheck_ms))
    }

    async fn wait_for_slot(&self, request: SlotRequest) -> EngineSlot {
        let dispatch = &self.context.dispatch;
        let is_enabled = self.context.mechanisms.is_enabled(Mechanism::Avoidance);
        if request.avoid.is_empty() || !is_enabled {
            let request = SlotRequest {
                avoid: Vec::new(),
                ..request
            };
            return dispatch.wait_for_slot(request).await;
        }
        if let Some(slot) =
            within_ms(AVOID_TIMEOUT_MS, dispatch.wait_for_slot(request.clone())).await
        {
            return slot;
        }
        let avoid = Vec::new();
        dispatch
            .wait_for_slot(SlotRequest { avoid, ..request })
            .await
    }
}
