//! What the operator allows.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// The operator's limits on the endpoints of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScalingLimits {
    /// The minimum number of endpoints in each zone, both kinds together.
    pub min: u64,
    /// The maximum number of endpoints in each zone, both kinds together.
    pub max: u64,
    /// The time from an order until the endpoints serve.
    pub boot_ms: u64,
    /// Whether spot endpoints are offered.
    pub has_spot: bool,
    /// The price of an endpoint for each zone, in thousandths.
    pub zone_price_permille: SortedMap<Arc<str>, u64>,
}

impl ScalingLimits {
    /// The price of an endpoint in a zone; a zone without a price is the most expensive.
    pub(crate) fn price_permille(&self, zone: &str) -> u64 {
        let price = self.zone_price_permille.get(zone);
        price.copied().unwrap_or(u64::MAX)
    }
}
