//! The relay tree through which the daemons of a zone read the log.

use borageshore_base::rank_by_rendezvous;

/// How many daemons of a zone read from the log directly.
const ROOT_READERS: usize = 2;
/// How many daemons read from one relay, which bounds what it sends to this multiple of what it receives.
const FANOUT: usize = 2;

/// The source from which a daemon reads the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelaySource<'m> {
    /// The log service.
    Log,
    /// The daemon of this name.
    Peer(&'m str),
}

/// The source of `own` among the usable daemons of its zone, after `failures` failed attempts in a row.
///
/// Rendezvous order arranges the daemons as a tree whose first two read from the log; no election is
/// needed. Guards against dead relays, against loops between daemons with different member lists and
/// against an outage of the log: failed attempts alternate between the log and changing peers.
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
