//! Assignment of submissions to daemons.

use std::sync::Arc;

use borageshore_base::rendezvous_weight;

/// Engine slots whose items one daemon can run within its share of a VM's processor time. With 228 slots and three
/// trainers a daemon uses 0.05 cores in the mean, a tenth of its VM's share.
const SLOTS_PER_DAEMON: u64 = 600;

/// The key that decides which daemon runs a trainer's submissions.
///
/// All trainers of a service share one daemon while its engines are few enough, because that daemon knows the exact
/// load of each engine. Several daemons see each other's load only through delayed reports and would overload engines
/// at the start of a step, which preempts running texts. One such start sent a hundred items to full engines and
/// stopped the texts there for half a second.
///
/// With more slots, trainers are distributed over several daemons.
pub fn work_key(service: &str, trainer: &str, slots: u64) -> Arc<str> {
    let daemons = slots.div_ceil(SLOTS_PER_DAEMON).max(1);
    let number = rendezvous_weight("trainers", trainer) % daemons;
    format!("{service}/{number}").into()
}
