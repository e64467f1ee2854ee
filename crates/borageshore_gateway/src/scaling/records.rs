//! Records of announced orders for endpoints.

use std::{cell::RefCell, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_platform::KeyedRecord;
use borageshore_scaling::{AnnouncedOrder, SpotOrder};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The prefix of an order's key and subject; the service and the zone follow.
const ORDER_PREFIX: &str = "scale/";

/// The subject of orders for a service in a zone, which is also the key of their announcements.
pub(super) fn order_subject(service: &str, zone: &str) -> Arc<str> {
    format!("{ORDER_PREFIX}{service}/{zone}").into()
}

/// The announcement of an order that the holder is about to send.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OrderRecord {
    /// The VM that sends it.
    pub(crate) holder: Arc<str>,
    /// Subjects of duties that other holders may be acting on.
    pub(crate) others: Vec<Arc<str>>,
    service: Arc<str>,
    zone: Arc<str>,
    /// The number of spot endpoints that the zone should have.
    count: u64,
}

impl OrderRecord {
    /// The subject that the order acts on.
    pub(crate) fn subject(&self) -> Arc<str> {
        order_subject(&self.service, &self.zone)
    }
}

/// The newest announced order for each service and zone.
#[derive(Debug, Default)]
pub(crate) struct EndpointOrders {
    newest: RefCell<SortedMap<Arc<str>, AnnouncedOrder>>,
}

impl EndpointOrders {
    /// Decodes a record of the duties' partition if it is an order for endpoints.
    pub(crate) fn decode(record: &KeyedRecord) -> Option<Result<OrderRecord, serde_json::Error>> {
        let value = record.value.as_ref()?;
        let is_order = record.key.starts_with(ORDER_PREFIX);
        is_order.then(|| serde_json::from_slice(value))
    }

    /// Applies an order whose announcement is read at `now_ms`.
    pub(crate) fn on_order(&self, record: &OrderRecord, now_ms: u64) {
        let announced = AnnouncedOrder {
            count: record.count,
            at_ms: now_ms,
        };
        let mut newest = self.newest.borrow_mut();
        newest.insert(record.subject(), announced);
    }

    pub(super) fn newest(&self, service: &str, zone: &str) -> Option<AnnouncedOrder> {
        let newest = self.newest.borrow();
        newest.get(&order_subject(service, zone)).copied()
    }

    /// The records that announce orders.
    pub(super) fn announcement(
        holder: &Arc<str>,
        others: &[Arc<str>],
        orders: &[SpotOrder],
    ) -> Vec<(Arc<str>, Bytes)> {
        let record = |order: &SpotOrder| {
            let record = OrderRecord {
                holder: holder.clone(),
                others: others.to_vec(),
                service: order.service.clone(),
                zone: order.zone.clone(),
                count: order.count,
            };
            let value = serde_json::to_vec(&record).expect("plain data");
            (record.subject(), value.into())
        };
        orders.iter().map(record).collect()
    }
}
