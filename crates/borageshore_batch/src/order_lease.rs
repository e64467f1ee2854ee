//! Leases on engines for orders to load weights, and on the subjects of other duties.

use std::sync::Arc;

use borageshore_duty::DutyLeases;

use crate::{instance::endpoint_id, swaps::SwapRound};

/// The last holder that sent orders to each engine, from the rounds in the store.
///
/// Engines accept orders from any holder, so orders of two holders to one engine must be a lease apart. Leases are
/// kept by endpoint id, not by instance: an order sent before a restart may still arrive after it.
#[derive(Debug)]
pub struct OrderLeases {
    duties: DutyLeases,
}

impl OrderLeases {
    /// Creates a table without rounds, which permits no order before [`Self::on_loaded`]. `takeover_delay_ms` is the lease
    /// plus the longest time from the announcement of an order to its arrival. The clock must count time spent suspended.
    pub fn open(takeover_delay_ms: u64) -> Self {
        Self {
            duties: DutyLeases::open(takeover_delay_ms),
        }
    }

    /// Records that the rounds stored so far were loaded at `now_ms` and applied.
    pub fn on_loaded(&mut self, now_ms: u64) {
        self.duties.on_loaded(now_ms);
    }

    /// Applies a round that was read at `now_ms`.
    pub fn on_round(&mut self, round: &SwapRound, now_ms: u64) {
        let engines = round.orders.iter().map(|(engine, ..)| engine);
        let (engines, others) = (endpoint_ids(engines), endpoint_ids(&round.others_ordered));
        self.duties
            .on_announcement(&round.holder, &engines, &others, now_ms);
    }

    /// The holder that announced the newest round.
    pub fn newest_holder(&self) -> Option<&Arc<str>> {
        self.duties.newest_holder()
    }

    /// Returns whether `holder` may send an order to an engine at `now_ms`.
    pub fn may_order(&self, holder: &str, engine: &str, now_ms: u64) -> bool {
        self.duties.may_act(holder, endpoint_id(engine), now_ms)
    }

    /// The subjects that `holder` may not act on at `now_ms`, engines by endpoint id, for
    /// [`SwapRound::others_ordered`].
    pub fn held_by_others(&self, holder: &str, now_ms: u64) -> Vec<Arc<str>> {
        self.duties.held_by_others(holder, now_ms)
    }

    /// Resets the table after rounds were missed; they have to be loaded again.
    pub fn reset(&mut self) {
        self.duties.reset();
    }

    /// The underlying leases of all duties; engines are subjects by endpoint id.
    pub fn duties(&self) -> &DutyLeases {
        &self.duties
    }

    /// The underlying leases, to apply announcements of duties other than weight loading.
    pub fn duties_mut(&mut self) -> &mut DutyLeases {
        &mut self.duties
    }
}

fn endpoint_ids<'e, Engines>(engines: Engines) -> Vec<Arc<str>>
where
    Engines: IntoIterator<Item = &'e Arc<str>>,
{
    engines
        .into_iter()
        .map(|engine| endpoint_id(engine).into())
        .collect()
}
