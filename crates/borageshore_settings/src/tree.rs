//! The settings tree: nodes, their own values and inheritance.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

use crate::{
    schema::{Inheritance, KeySpec, NodeKind, key_spec},
    value::SettingValue,
};

/// The name of the root node, which always exists.
pub const ROOT: &str = "root";

/// A value set at a node, with the change that set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value; `None` is a tombstone of an unset key, so that a concurrent change conflicts.
    pub value: Option<SettingValue>,
    /// The revision of the change: its record's offset plus 1.
    pub revision: u64,
    /// When the change was appended, by the log service's clock.
    pub at_ms: u64,
    /// The operator who made the change.
    pub actor: Arc<str>,
}

/// A node's own entries by key.
pub type Node = SortedMap<Arc<str>, Entry>;

/// The effective value of a key at a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EffectiveSetting {
    /// The value.
    pub value: SettingValue,
    /// The node that sets it; `None` for the schema's default.
    pub from_node: Option<Arc<str>>,
    /// The revision of the change that set it; 0 for the schema's default.
    pub revision: u64,
}

/// All nodes with the values set at them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTree {
    pub(crate) nodes: SortedMap<Arc<str>, Node>,
}

impl SettingsTree {
    /// Returns whether a node exists: it is the root or has a parent.
    pub fn exists(&self, node: &str) -> bool {
        node == ROOT || self.parent(node).is_some()
    }

    /// Returns the parent of a node; `None` for the root and for nodes that do not exist.
    pub fn parent(&self, node: &str) -> Option<&Arc<str>> {
        self.own(node, "parent")?.as_text()
    }

    /// Returns the value that the node itself sets for a key.
    pub fn own(&self, node: &str, key: &str) -> Option<&SettingValue> {
        self.entry(node, key)?.value.as_ref()
    }

    /// Returns the node's own entry for a key, also if the key was unset.
    pub fn entry(&self, node: &str, key: &str) -> Option<&Entry> {
        self.nodes.get(node)?.get(key)
    }

    /// Returns the revision that last changed a key at a node, or 0.
    pub fn revision(&self, node: &str, key: &str) -> u64 {
        self.entry(node, key).map_or(0, |entry| entry.revision)
    }

    /// Iterates over the names of the existing nodes in order, without the root.
    pub fn node_names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.nodes
            .keys()
            .filter(|name| &***name != ROOT && self.exists(name))
    }

    /// Iterates over all nodes with their own entries in order, unset keys included.
    pub fn all_entries(&self) -> impl Iterator<Item = (&Arc<str>, &Node)> {
        self.nodes.iter()
    }

    /// Iterates over the node's own entries that hold a value, in key order.
    pub fn own_entries(&self, node: &str) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let entries = self
            .nodes
            .get(node)
            .into_iter()
            .flat_map(|node| node.iter());
        entries.filter(|(_, entry)| entry.value.is_some())
    }

    /// Returns the kind of a node.
    pub fn kind(&self, node: &str) -> NodeKind {
        let own = self.own(node, "kind").and_then(SettingValue::as_text);
        own.and_then(|name| NodeKind::from_name(name))
            .unwrap_or(NodeKind::Folder)
    }

    /// Iterates over the names of the nodes of one kind, in order.
    pub fn nodes_of_kind(&self, kind: NodeKind) -> impl Iterator<Item = &Arc<str>> {
        self.node_names()
            .filter(move |name| self.kind(name) == kind)
    }

    /// Returns the effective value: the node's own, else the nearest ancestor's, else the default.
    pub fn effective(&self, node: &str, key: &str) -> Option<EffectiveSetting> {
        let spec = key_spec(key)?;
        let mut at: &str = node;
        // A valid tree has no cycle; the bound prevents an endless loop in a tree under validation.
        for _ in 0..=self.nodes.len() {
            if let Some(Entry {
                value: Some(value),
                revision,
                ..
            }) = self.entry(at, key)
            {
                let from_node = Some(Arc::from(at));
                return Some(EffectiveSetting {
                    value: value.clone(),
                    from_node,
                    revision: *revision,
                });
            }
            if spec.inheritance == Inheritance::NodeOnly {
                break;
            }
            match self.parent(at) {
                Some(parent) => at = parent,
                None if at != ROOT => at = ROOT,
                None => break,
            }
        }
        schema_default(spec)
    }

    /// Returns the effective value of an integer key.
    ///
    /// # Panics
    ///
    /// Panics if the key is not an integer key with a default, which is a programming error.
    pub fn integer(&self, node: &str, key: &str) -> u64 {
        let found = self
            .effective(node, key)
            .and_then(|setting| setting.value.as_integer());
        found.unwrap_or_else(|| panic!("{key} is not an integer key with a default"))
    }

    /// Returns the effective value of a text key.
    pub fn text(&self, node: &str, key: &str) -> Option<Arc<str>> {
        self.effective(node, key)?.value.as_text().cloned()
    }
}

fn schema_default(spec: &KeySpec) -> Option<EffectiveSetting> {
    let value = SettingValue::from_text(spec.default?);
    Some(EffectiveSetting {
        value,
        from_node: None,
        revision: 0,
    })
}
