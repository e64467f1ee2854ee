//! The records that daemons share about the fleet: membership, and requests that crash endpoints.
//!
//! Both are in one topic, as a second topic would cost each of 680 daemons another long poll for rare records.

use std::rc::Rc;

use borageshore_platform::KeyedRecord;

use crate::{
    endpoints::Endpoints,
    follow::RecordView,
    members::Members,
    quarantine::{self, Quarantine},
};

/// Dispatches each record to the membership or the quarantine.
#[derive(Debug)]
pub(crate) struct FleetRecords {
    pub(crate) members: Rc<Members>,
    /// Members share what cold endpoints tolerate.
    pub(crate) endpoints: Rc<Endpoints>,
    pub(crate) quarantine: Rc<Quarantine>,
}

impl RecordView for FleetRecords {
    fn apply(&self, records: &[KeyedRecord]) {
        let is_crash = |record: &KeyedRecord| record.key.starts_with(quarantine::KEY_PREFIX);
        let (crashes, members): (Vec<KeyedRecord>, Vec<KeyedRecord>) =
            records.iter().cloned().partition(is_crash);
        if !members.is_empty() {
            self.members.apply(&members);
            self.endpoints.on_member_records(&members);
        }
        self.quarantine.apply(&crashes);
    }

    fn on_caught_up(&self) {
        self.members.on_caught_up();
        self.quarantine.on_caught_up();
    }

    fn on_gap(&self) {
        self.members.on_gap();
        self.endpoints.on_members_gap();
        self.quarantine.on_gap();
    }
}
