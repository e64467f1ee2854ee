//! Orders for endpoints: announced by the holder of the duties and sent to the platform.

mod orders;
mod records;

pub(crate) use self::{
    orders::{EndpointScaler, ScalerParts},
    records::{EndpointOrders, OrderRecord},
};
