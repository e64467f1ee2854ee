//! Who reads a stream of the log from whom.

use borageshore_base::rank_by_rendezvous;

/// How many daemons of a zone read the log itself.
const ROOT_READERS: usize = 2;
/// How many daemons read from one other. Two keeps what a daemon sends to twice what it receives.
const FANOUT: usize = 2;

/// Where a daemon reads from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelaySource<'m> {
    /// The log itself.
    Log,
    /// The daemon of this name.
    Peer(&'m str),
}

/// The source of `own` among the usable daemons of its zone after some failed attempts.
///
/// Rendezvous order lays the daemons of a zone out as a tree: the first two read the log, each other
/// one reads from the one half as far from the front. Nobody is elected; daemons that see different
/// members only read from other places. Guards against a dead relay, a loop of such different views
/// and an outage of the log alike: after a failure the log and ever other peers take turns.
pub fn relay_source<'m, Members>(own: &str, members: Members, failures: usize) -> RelaySource<'m>
where
    Members: IntoIterator<Item = &'m str>,
{
    let ranked = rank_by_rendezvous("relay", members);
    let position = ranked.iter().position(|name| *name == own);
    let parent = match position {
        Some(position) if position >= ROOT_READERS => Some((position - ROOT_READERS) / FANOUT),
        _ => None,
    };
    let Some(parent) = parent else {
        return if failures.is_multiple_of(2) {
            RelaySource::Log
        } else {
            other_peer(own, &ranked, failures)
        };
    };
    match failures {
        0 => RelaySource::Peer(ranked[parent]),
        _ if failures % 2 == 1 => RelaySource::Log,
        _ => other_peer(own, &ranked, failures),
    }
}

fn other_peer<'m>(own: &str, ranked: &[&'m str], failures: usize) -> RelaySource<'m> {
    let others: Vec<&str> = ranked.iter().copied().filter(|name| *name != own).collect();
    match others.len() {
        0 => RelaySource::Log,
        count => RelaySource::Peer(others[failures / 2 % count]),
    }
}
