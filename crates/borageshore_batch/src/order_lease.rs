//! Which engines a holder may give orders to.

use std::sync::Arc;

use borageshore_duty::DutyLeases;

use crate::{incarnation::endpoint_id, swaps::SwapRound};

/// The last orders to each engine, as the rounds in the store tell of them.
///
/// Engines do not check who orders. They count by their id, whatever their incarnation: an engine that starts again
/// may still be reached by an order that another holder sent it before.
#[derive(Debug)]
pub struct OrderLeases {
    duties: DutyLeases,
}

impl OrderLeases {
    /// Opens the table of a process that begins to read rounds at `now_ms`; `wait_ms` is the lease and
    /// the time that an order may take from its announcement to its engine. Times are those of a
    /// clock that counts suspensions.
    pub fn open(now_ms: u64, wait_ms: u64) -> Self {
        Self {
            duties: DutyLeases::open(now_ms, wait_ms),
        }
    }

    /// Takes over a round that was read at `now_ms`.
    pub fn on_round(&mut self, round: &SwapRound, now_ms: u64) {
        let engines = round.orders.iter().map(|(engine, ..)| engine);
        let (engines, others) = (endpoint_ids(engines), endpoint_ids(&round.others_ordered));
        self.duties
            .on_round(&round.holder, &engines, &others, now_ms);
    }

    /// Who announced the newest round.
    pub fn newest_holder(&self) -> Option<&Arc<str>> {
        self.duties.newest_holder()
    }

    /// Says whether `holder` may order an engine at `now_ms`.
    pub fn may_order(&self, holder: &str, engine: &str, now_ms: u64) -> bool {
        self.duties.may_act(holder, endpoint_id(engine), now_ms)
    }

    /// The engines that `holder` may not order at `now_ms`, for its next round.
    pub fn ordered_by_others(&self, holder: &str, now_ms: u64) -> Vec<Arc<str>> {
        self.duties.held_by_others(holder, now_ms)
    }

    /// Begins anew after rounds were missed.
    pub fn begin_again(&mut self, now_ms: u64) {
        self.duties.begin_again(now_ms);
    }

    /// The leases of all duties, engines among their subjects by id.
    pub fn duties(&self) -> &DutyLeases {
        &self.duties
    }

    /// The leases of all duties, for announcements of other ones.
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
