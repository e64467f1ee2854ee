//! The distribution of endpoints over zones.

/// A zone that endpoints may be ordered in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Room {
    /// The maximum number of spot endpoints.
    pub(crate) max: u64,
    /// The price of an endpoint.
    pub(crate) price_permille: u64,
}

/// Distributes `count` endpoints evenly; the remainder goes to cheaper zones, and what a full zone cannot take to the
/// others. Returns the number for each zone; their sum is lower than `count` if all zones are full.
pub(crate) fn spread(count: u64, rooms: &[Room]) -> Vec<u64> {
    let mut by_price: Vec<usize> = (0..rooms.len()).collect();
    by_price.sort_by_key(|index| rooms[*index].price_permille);
    let mut counts = vec![0; rooms.len()];
    let mut remaining = count;
    loop {
        let open: Vec<usize> = by_price
            .iter()
            .copied()
            .filter(|index| counts[*index] < rooms[*index].max)
            .collect();
        if remaining == 0 || open.is_empty() {
            return counts;
        }
        let share = (remaining / open.len() as u64).max(1);
        for index in open {
            let added = share.min(rooms[index].max - counts[index]).min(remaining);
            counts[index] += added;
            remaining -= added;
        }
    }
}
