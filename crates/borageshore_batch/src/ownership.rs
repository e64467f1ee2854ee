//! Which submissions go to the same daemon.

use std::sync::Arc;

use borageshore_base::rendezvous_weight;

/// The engine slots whose items one daemon runs. With 228 slots and three trainers it takes 0.05
/// cores in the mean, a tenth of its VM's share.
const SLOTS_PER_DAEMON: u64 = 600;

/// The key that decides which daemon runs a trainer's submissions.
///
/// All trainers of a service go to one daemon as long as its engines are few enough: it knows every
/// item at every engine. Daemons that place items side by side learn of each other's by reports that
/// are a tenth of a second old; at the start of a step they sent a hundred items to engines that were
/// full, and preempted the texts there for half a second.
///
/// More engines are shared by several daemons, trainer by trainer.
pub fn work_key(service: &str, trainer: &str, slots: u64) -> Arc<str> {
    let daemons = slots.div_ceil(SLOTS_PER_DAEMON).max(1);
    let number = rendezvous_weight("trainers", trainer) % daemons;
    format!("{service}/{number}").into()
}
