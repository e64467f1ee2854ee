//! The records that daemons read of each other: who lives, and which requests crash endpoints.
//!
//! Both stand in one topic, as a topic of its own would cost each daemon a waiting read, 550 calls a second of 680
//! daemons, for records that come on few days.

use std::rc::Rc;

use borageshore_platform::KeyedRecord;

use crate::{
    follow::Fold,
    members::Members,
    quarantine::{self, Quarantine},
};

/// Hands each record to its subject.
#[derive(Debug)]
pub(crate) struct FleetRecords {
    pub(crate) members: Rc<Members>,
    pub(crate) quarantine: Rc<Quarantine>,
}

impl Fold for FleetRecords {
    fn apply(&self, records: &[KeyedRecord]) {
        let is_crash = |record: &KeyedRecord| record.key.starts_with(quarantine::KEY_PREFIX);
        let (crashes, members): (Vec<KeyedRecord>, Vec<KeyedRecord>) =
            records.iter().cloned().partition(is_crash);
        if !members.is_empty() {
            self.members.apply(&members);
        }
        self.quarantine.apply(&crashes);
    }

    fn on_caught_up(&self) {
        self.members.on_caught_up();
        self.quarantine.on_caught_up();
    }

    fn on_gap(&self) {
        self.members.on_gap();
        self.quarantine.on_gap();
    }
}
