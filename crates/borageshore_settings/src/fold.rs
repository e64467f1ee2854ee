//! The state machine that applies the records of the settings stream.

use std::{collections::VecDeque, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_log::{Envelope, Fold, WriterTable};
use serde::{Deserialize, Serialize};

use crate::{
    audit::{AuditEntry, AuditedEdit, Verdict},
    change::{Edit, SettingsChange, SettingsRecord},
    tree::{Entry, Node, SettingsTree},
    validate::{check_tree, check_value},
};

/// The maximum number of audit entries in memory; older ones are read from the log.
const MAX_AUDIT_ENTRIES: usize = 20_000;
/// The maximum number of audit entries in a snapshot.
const MAX_SNAPSHOT_AUDIT_ENTRIES: usize = 50;
/// How long an unset key is kept, so that a change concurrent with the unset is rejected.
const UNSET_TTL_MS: u64 = 86_400_000;
/// The number of records between two removals of expired unset keys.
const EXPIRY_INTERVAL_RECORDS: u64 = 1_024;

/// A serializable copy of the state of a [`SettingsFold`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsSnapshot {
    tree: SettingsTree,
    writers: WriterTable,
    records: u64,
    audit: Vec<AuditEntry>,
}

/// The settings tree and audit trail after all records so far.
#[derive(Debug, Clone, Default)]
pub struct SettingsFold {
    tree: SettingsTree,
    writers: WriterTable,
    records: u64,
    audit: VecDeque<AuditEntry>,
}

impl SettingsFold {
    /// Returns the current tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Iterates over the audit entries in memory, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// Returns the audit entry of a writer's record, if it was applied and is still in memory.
    pub fn verdict(&self, writer: &str, sequence: u64) -> Option<&AuditEntry> {
        self.audit
            .iter()
            .rev()
            .find(|entry| &*entry.writer == writer && entry.sequence == sequence)
    }

    /// Validates a change against the current tree without applying it.
    pub fn check(&self, change: &SettingsChange) -> Result<(), Fault> {
        let mut copy = self.tree.clone();
        apply_change(&mut copy, change, u64::MAX, 0)
    }

    fn expire_unset(&mut self, at_ms: u64) {
        for (_, node) in self.tree.nodes.iter_mut() {
            node.retain(|_, entry| entry.value.is_some() || entry.at_ms + UNSET_TTL_MS >= at_ms);
        }
        self.tree.nodes.retain(|_, node| !node.is_empty());
    }

    fn record_audit(&mut self, entry: AuditEntry) {
        if self.audit.len() == MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
        self.audit.push_back(entry);
    }
}

impl Fold for SettingsFold {
    type Body = SettingsRecord;
    type Snapshot = SettingsSnapshot;

    fn apply(&mut self, offset: u64, at_ms: u64, envelope: &Envelope<SettingsRecord>) {
        if !self
            .writers
            .admit(&envelope.writer, envelope.sequence, at_ms)
        {
            return;
        }
        self.records += 1;
        if self.records.is_multiple_of(EXPIRY_INTERVAL_RECORDS) {
            self.expire_unset(at_ms);
        }
        let SettingsRecord::Change(change) = &envelope.body else {
            return;
        };
        let edits = change
            .edits
            .iter()
            .map(|edit| audited_edit(&self.tree, edit))
            .collect();
        // Revision 0 means "never set", so the record at offset 0 has revision 1.
        let revision = offset + 1;
        let verdict = match apply_change(&mut self.tree, change, revision, at_ms) {
            Ok(()) => Verdict::Accepted,
            Err(fault) => Verdict::Rejected(fault),
        };
        self.record_audit(AuditEntry {
            offset,
            at_ms,
            writer: envelope.writer.clone(),
            sequence: envelope.sequence,
            actor: change.actor.clone(),
            reason: change.reason.clone(),
            edits,
            verdict,
        });
    }

    fn snapshot(&self) -> SettingsSnapshot {
        let skipped = self.audit.len().saturating_sub(MAX_SNAPSHOT_AUDIT_ENTRIES);
        SettingsSnapshot {
            tree: self.tree.clone(),
            writers: self.writers.clone(),
            records: self.records,
            audit: self.audit.iter().skip(skipped).cloned().collect(),
        }
    }

    fn restore(&mut self, snapshot: SettingsSnapshot) {
        self.tree = snapshot.tree;
        self.writers = snapshot.writers;
        self.records = snapshot.records;
        self.audit = snapshot.audit.into();
    }

    fn embedded_snapshot(body: SettingsRecord) -> Option<(u64, SettingsSnapshot)> {
        match body {
            SettingsRecord::Snapshot {
                next_offset,
                snapshot,
            } => Some((next_offset, snapshot)),
            SettingsRecord::Change(_) => None,
        }
    }
}

fn audited_edit(tree: &SettingsTree, edit: &Edit) -> AuditedEdit {
    AuditedEdit {
        node: edit.node.clone(),
        key: edit.key.clone(),
        based_on: edit.based_on,
        before: tree.own(&edit.node, &edit.key).cloned(),
        after: edit.value.clone(),
    }
}

/// Applies the whole change, or none of it on an error.
fn apply_change(
    tree: &mut SettingsTree,
    change: &SettingsChange,
    revision: u64,
    at_ms: u64,
) -> Result<(), Fault> {
    check_change(tree, change)?;
    let mut undo: Vec<(Arc<str>, Arc<str>, Option<Entry>)> = Vec::with_capacity(change.edits.len());
    for edit in &change.edits {
        let node = tree
            .nodes
            .get_or_insert_with(edit.node.clone(), Node::default);
        let actor = change.actor.clone();
        let entry = Entry {
            value: edit.value.clone(),
            revision,
            at_ms,
            actor,
        };
        let before = node.insert(edit.key.clone(), entry);
        undo.push((edit.node.clone(), edit.key.clone(), before));
    }
    check_tree(tree, &change.edits).inspect_err(|_| roll_back(tree, undo))
}

fn check_change(tree: &SettingsTree, change: &SettingsChange) -> Result<(), Fault> {
    if change.actor.trim().is_empty() || change.reason.trim().is_empty() {
        return Err(Fault::new(ResultCode::MissingReason, "actor and reason"));
    }
    for edit in &change.edits {
        if let Some(value) = &edit.value {
            check_value(&edit.node, &edit.key, value)?;
        }
        let current = tree.revision(&edit.node, &edit.key);
        if current != edit.based_on {
            return Err(conflict(tree, edit, current));
        }
    }
    Ok(())
}

fn conflict(tree: &SettingsTree, edit: &Edit, current: u64) -> Fault {
    let (node, key) = (&edit.node, &edit.key);
    let last_actor = tree.entry(node, key).map_or("nobody", |entry| &entry.actor);
    let detail = format!(
        "{node}.{key}: based on revision {}, but {last_actor} changed it at revision {current}",
        edit.based_on
    );
    Fault::new(ResultCode::RevisionConflict, detail)
}

fn roll_back(tree: &mut SettingsTree, undo: Vec<(Arc<str>, Arc<str>, Option<Entry>)>) {
    for (node, key, before) in undo.into_iter().rev() {
        let Some(entries) = tree.nodes.get_mut(&node) else {
            continue;
        };
        match before {
            Some(entry) => {
                entries.insert(key, entry);
            }
            None => {
                entries.remove(&key);
            }
        }
        if entries.is_empty() {
            tree.nodes.remove(&node);
        }
    }
}
