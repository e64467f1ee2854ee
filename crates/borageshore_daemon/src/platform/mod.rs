//! Clients of external systems, one module each.

pub mod engine;
pub(crate) mod log_service;
pub(crate) mod plain;
pub(crate) mod vm_list;
