//! Validation of single edits and of the whole tree.

use std::sync::Arc;

use borageshore_base::{Fault, ResultCode};

use crate::{
    change::Edit,
    schema::{Inheritance, KeySpec, NodeKind, SCHEMA, ValueSpec, key_spec},
    tree::{ROOT, SettingsTree},
    value::SettingValue,
};

/// Checks a key and its value against the schema, without the rest of the tree.
pub(crate) fn check_value(node: &str, key: &str, value: &SettingValue) -> Result<(), Fault> {
    let Some(spec) = key_spec(key) else {
        return Err(Fault::new(
            ResultCode::UnknownKey,
            format!("{node}.{key}{}", unit_suggestion(key)),
        ));
    };
    if node == ROOT && matches!(key, "parent" | "kind") {
        return Err(Fault::new(
            ResultCode::WrongNodeKind,
            format!("{node}.{key}: the root is fixed"),
        ));
    }
    if node != ROOT && spec.inheritance == Inheritance::RootOnly {
        let detail = format!("{node}.{key}: the key is set at the root only");
        return Err(Fault::new(ResultCode::WrongNodeKind, detail));
    }
    check_spec(spec, value)
        .map_err(|fault| Fault::new(fault.code, format!("{node}.{key}: {}", fault.detail)))
}

fn check_spec(spec: &KeySpec, value: &SettingValue) -> Result<(), Fault> {
    match (spec.values, value) {
        (ValueSpec::Integer { minimum, maximum }, SettingValue::Integer(number)) => {
            if (minimum..=maximum).contains(number) {
                return Ok(());
            }
            let detail = format!("{number} is not within {minimum} to {maximum}");
            Err(Fault::new(ResultCode::OutOfRange, detail))
        }
        (ValueSpec::Integer { .. }, other) => {
            let detail = format!("'{other}' is not a whole number{}", unit_hint(spec.name));
            Err(Fault::new(ResultCode::WrongType, detail))
        }
        (ValueSpec::Choice(words), SettingValue::Text(text)) if words.contains(&&**text) => Ok(()),
        (ValueSpec::Choice(words), other) => {
            let detail = format!("'{other}' is not one of {}", words.join(", "));
            Err(Fault::new(ResultCode::OutOfRange, detail))
        }
        (ValueSpec::Text { max_bytes }, SettingValue::Text(text)) if text.len() > max_bytes => {
            let detail = format!("{} bytes are more than {max_bytes}", text.len());
            Err(Fault::new(ResultCode::OutOfRange, detail))
        }
        (_, SettingValue::Text(_)) => Ok(()),
        (_, other) => Err(Fault::new(
            ResultCode::WrongType,
            format!("'{other}' is not text"),
        )),
    }
}

fn unit_hint(key: &str) -> &'static str {
    if key.ends_with("_ms") {
        return " of milliseconds without a unit";
    }
    if key.ends_with("_percent") {
        return " of percent without a sign";
    }
    ""
}

/// Suggests the key that differs from an unknown one only in its unit suffix.
fn unit_suggestion(key: &str) -> String {
    let stem = key.rsplit_once('_').map_or(key, |(stem, _)| stem);
    let similar = SCHEMA.iter().find(|spec| {
        spec.name == stem
            || spec
                .name
                .rsplit_once('_')
                .is_some_and(|(known, _)| known == stem || known == key)
    });
    match similar {
        Some(spec) => format!(": the unit is wrong, the key is {}", spec.name),
        None => String::new(),
    }
}

/// Keys whose edits can invalidate other nodes, which inherit from the edited node or refer to it.
const STRUCTURAL_KEYS: &[&str] = &["kind", "parent", "scorer", "service"];

/// Checks the nodes that a set of edits can have made invalid.
///
/// The other nodes are checked only after an edit of a structural key; most changes set a number
/// and cannot invalidate them.
pub(crate) fn check_tree(tree: &SettingsTree, edits: &[Edit]) -> Result<(), Fault> {
    for edit in edits {
        check_node(tree, &edit.node)?;
    }
    if !edits
        .iter()
        .any(|edit| STRUCTURAL_KEYS.contains(&&*edit.key))
    {
        return Ok(());
    }
    for name in tree.node_names() {
        check_node(tree, name)?;
    }
    Ok(())
}

fn check_node(tree: &SettingsTree, node: &Arc<str>) -> Result<(), Fault> {
    let Some(parent) = tree.parent(node) else {
        if **node != *ROOT && tree.own_entries(node).next().is_some() {
            let detail = format!("{node} has keys but no parent");
            return Err(Fault::new(ResultCode::MissingNode, detail));
        }
        return Ok(());
    };
    if !tree.exists(parent) {
        let detail = format!("{node}.parent: {parent}");
        return Err(Fault::new(ResultCode::MissingParent, detail));
    }
    check_cycle(tree, node)?;
    check_references(tree, node)?;
    if tree.kind(node) == NodeKind::Job && tree.text(node, "service").is_none() {
        let detail = format!("{node}.service: a job needs a service");
        return Err(Fault::new(ResultCode::MissingReference, detail));
    }
    Ok(())
}

fn check_cycle(tree: &SettingsTree, node: &Arc<str>) -> Result<(), Fault> {
    let mut path = vec![node];
    let mut at = node;
    while let Some(parent) = tree.parent(at) {
        if path.contains(&parent) {
            let names: Vec<&str> = path.iter().map(|name| &***name).collect();
            let detail = format!("{node}.parent: {} -> {parent}", names.join(" -> "));
            return Err(Fault::new(ResultCode::ParentCycle, detail));
        }
        path.push(parent);
        at = parent;
    }
    Ok(())
}

fn check_references(tree: &SettingsTree, node: &Arc<str>) -> Result<(), Fault> {
    for key in ["scorer", "service"] {
        let Some(SettingValue::Text(service)) = tree.own(node, key) else {
            continue;
        };
        if !tree.exists(service) || tree.kind(service) != NodeKind::Service {
            let detail = format!("{node}.{key}: {service} is no service");
            return Err(Fault::new(ResultCode::MissingReference, detail));
        }
    }
    Ok(())
}
