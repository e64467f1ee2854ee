//! Rendezvous (highest random weight) hashing.
//!
//! Every process that knows the same members ranks them the same way without talking, and a member
//! that joins or leaves moves only the keys it wins or held.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `member` for `key`; the highest weight owns the key.
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Ranks `members` for `key`, the owner first; ties go to the smaller name.
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

/// The rank of `own` among `members` for `key` if it is below `limit`; `own` need not be listed.
///
/// Stops at the first `limit` members that come before, so a member that is far from the front, as
/// most are for most keys, looks at a few others only.
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
