//! The tree itself: nodes, own values and inheritance.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

use crate::{
    schema::{Inheritance, KeySpec, NodeKind, key_spec},
    value::SettingValue,
};

/// The node above all others. It always exists.
pub const ROOT: &str = "root";

/// A node's own value for a key, with the change that set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value; `None` after the key was unset, kept so that a racing change sees the conflict.
    pub value: Option<SettingValue>,
    /// The offset of the change.
    pub revision: u64,
    /// When the log took the change, by the log's clock.
    pub at_ms: u64,
    /// Who made the change.
    pub actor: Arc<str>,
}

/// A node's own entries by key.
pub type Node = SortedMap<Arc<str>, Entry>;

/// A value in force at a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EffectiveSetting {
    /// The value.
    pub value: SettingValue,
    /// The node that it comes from; `None` for the schema's default.
    pub from_node: Option<Arc<str>>,
    /// The offset of the change that set it; 0 for the schema's default.
    pub revision: u64,
}

/// All nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTree {
    pub(crate) nodes: SortedMap<Arc<str>, Node>,
}

impl SettingsTree {
    /// Says whether a node exists.
    pub fn exists(&self, node: &str) -> bool {
        node == ROOT || self.parent(node).is_some()
    }

    /// The parent of a node, `None` for the root and for nodes that do not exist.
    pub fn parent(&self, node: &str) -> Option<&Arc<str>> {
        self.own(node, "parent")?.as_text()
    }

    /// The node's own value of a key.
    pub fn own(&self, node: &str, key: &str) -> Option<&SettingValue> {
        self.entry(node, key)?.value.as_ref()
    }

    /// The node's own entry of a key, unset ones included.
    pub fn entry(&self, node: &str, key: &str) -> Option<&Entry> {
        self.nodes.get(node)?.get(key)
    }

    /// The revision of a key at a node: the offset that last changed it, or 0.
    pub fn revision(&self, node: &str, key: &str) -> u64 {
        self.entry(node, key).map_or(0, |entry| entry.revision)
    }

    /// The names of the nodes that exist, in order, without the root.
    pub fn node_names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.nodes
            .keys()
            .filter(|name| &***name != ROOT && self.exists(name))
    }

    /// Every node's own entries, unset ones included, in order.
    pub fn all_entries(&self) -> impl Iterator<Item = (&Arc<str>, &Node)> {
        self.nodes.iter()
    }

    /// The node's own entries that hold a value, in key order.
    pub fn own_entries(&self, node: &str) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let entries = self
            .nodes
            .get(node)
            .into_iter()
            .flat_map(|node| node.iter());
        entries.filter(|(_, entry)| entry.value.is_some())
    }

    /// The kind of a node.
    pub fn kind(&self, node: &str) -> NodeKind {
        let own = self.own(node, "kind").and_then(SettingValue::as_text);
        own.and_then(|name| NodeKind::from_name(name))
            .unwrap_or(NodeKind::Folder)
    }

    /// The names of the nodes of one kind, in order.
    pub fn nodes_of_kind(&self, kind: NodeKind) -> impl Iterator<Item = &Arc<str>> {
        self.node_names()
            .filter(move |name| self.kind(name) == kind)
    }

    /// The value in force: the node's own, else the nearest ancestor's, else the schema's default.
    pub fn effective(&self, node: &str, key: &str) -> Option<EffectiveSetting> {
        let spec = key_spec(key)?;
        let mut at: &str = node;
        // A tree in force has no cycle; the bound keeps a tree under validation from looping.
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

    /// The whole number in force.
    ///
    /// # Panics
    ///
    /// When the key is no number or has no default: a slip in the program, not in a setting.
    pub fn integer(&self, node: &str, key: &str) -> u64 {
        let found = self
            .effective(node, key)
            .and_then(|setting| setting.value.as_integer());
        found.unwrap_or_else(|| panic!("{key} is no number with a default"))
    }

    /// The text in force.
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
