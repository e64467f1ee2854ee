//! Who holds a duty.

use std::sync::Arc;

use borageshore_base::rank_by_rendezvous;

/// The holder of a duty among the daemons that take work: the last one goes on as long as it is among them, so that
/// a daemon that comes back does not take turns with another one; else the first by rendezvous.
pub fn select_holder<'a>(
    duty: &str,
    previous: Option<&'a Arc<str>>,
    candidates: &'a [Arc<str>],
) -> Option<&'a str> {
    match previous {
        Some(previous) if candidates.contains(previous) => Some(previous),
        _ => {
            let names = candidates.iter().map(|name| &**name);
            rank_by_rendezvous(duty, names).into_iter().next()
        }
    }
}
