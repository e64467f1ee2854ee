//! Rendezvous (highest random weight) hashing.
//!
//! Processes with the same member list compute the same ranking without communication, and a member
//! that joins or leaves moves only the keys that it owns.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `member` for `key`; the member with the highest weight owns the key.
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Ranks `members` for `key`, the owner first; equal weights are ordered by name.
pub fn rank_by_rendezvous<'m, Members>(key: &str, members: Members) -> Vec<&'m str>
where
    Members: IntoIterator<Item = &'m str>,
{
    let mut ranked: Vec<(u64, &str)> = members
        .into_iter()
        .map(|member| (rendezvous_weight(key, member), member))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the owner of `key` among `members`, the first that [`rank_by_rendezvous`] returns, without sorting them.
pub fn first_by_rendezvous<'m, Members>(key: &str, members: Members) -> Option<&'m str>
where
    Members: IntoIterator<Item = &'m str>,
{
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let weight = |member: &'m str| xxh3_64_with_seed(member.as_bytes(), seed);
    let weighted = members.into_iter().map(|member| (weight(member), member));
    let first = weighted.max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)));
    first.map(|(_, member)| member)
}

/// Returns the rank of `own` among `members` for `key` if it is below `limit`; `own` need not be a
/// member.
///
/// Stops after `limit` members of a higher rank, so that for most keys few members are examined.
pub fn rank_within<'m, Members>(
    key: &str,
    own: &str,
    members: Members,
    limit: usize,
) -> Option<usize>
where
    Members: IntoIterator<Item = &'m str>,
{
    let own_weight = rendezvous_weight(key, own);
    let comes_before = |member: &&str| {
        let weight = rendezvous_weight(key, member);
        weight > own_weight || (weight == own_weight && *member < own)
    };
    let before = members.into_iter().filter(comes_before).take(limit).count();
    (before < limit).then_some(before)
}
