//! The `settings` commands.

use std::{path::Path, sync::Arc};

use borageshore_api::{Explanation, KeyView, SettingsView};
use borageshore_base::{Fault, ResultCode};
use borageshore_settings::{
    AuditEntry, Edit, FileSetting, SettingValue, SettingsChange, check_settings_file,
    parse_settings_file,
};

use crate::{
    arguments::{ChangeArguments, Connection, SettingsCommand, WhoArguments},
    client::{CommandError, get, post, read_file},
    show,
};

const SETTINGS_PATH: &str = "/v1/admin/settings";

/// Runs a command and returns its output.
pub(crate) async fn run(
    connection: &Connection,
    command: SettingsCommand,
) -> Result<String, CommandError> {
    match command {
        SettingsCommand::Get { node, key } => {
            let view = filter_view(get(connection, SETTINGS_PATH).await?, node, key)?;
            Ok(show::render(connection, &view, show::settings))
        }
        SettingsCommand::Set {
            node,
            key,
            value,
            change,
        } => {
            let value = Some(SettingValue::from_text(&value));
            change_key(connection, node, key, value, change).await
        }
        SettingsCommand::Unset { node, key, change } => {
            change_key(connection, node, key, None, change).await
        }
        SettingsCommand::Explain { node, key } => explain(connection, &node, key).await,
        SettingsCommand::Diff { file } => diff(connection, &file).await,
        SettingsCommand::History { node, key } => history(connection, &node, key).await,
        SettingsCommand::Check { file } => {
            let name = file.display().to_string();
            let settings =
                check_settings_file(&name, &read_file(&file)?).map_err(CommandError::Files)?;
            Ok(show::render_message(
                connection,
                format!("{name}: {} settings, no faults", settings.len()),
            ))
        }
        SettingsCommand::Apply { file, who } => apply(connection, &file, who).await,
    }
}

fn filter_view(
    mut view: SettingsView,
    node: Option<Arc<str>>,
    key: Option<Arc<str>>,
) -> Result<SettingsView, CommandError> {
    if let Some(node) = &node {
        view.nodes.retain(|found| found.node == *node);
    }
    if let Some(key) = &key {
        for found in &mut view.nodes {
            found.keys.retain(|found| found.key == *key);
        }
    }
    if node.is_some() && view.nodes.is_empty() {
        let detail = node.as_deref().unwrap_or_default();
        return Err(CommandError::Fault(Fault::new(
            ResultCode::MissingNode,
            detail,
        )));
    }
    Ok(view)
}

fn find<'v>(view: &'v SettingsView, node: &str, key: &str) -> Option<&'v KeyView> {
    let node = view.nodes.iter().find(|found| &*found.node == node)?;
    node.keys.iter().find(|found| &*found.key == key)
}

async fn change_key(
    connection: &Connection,
    node: Arc<str>,
    key: Arc<str>,
    value: Option<SettingValue>,
    change: ChangeArguments,
) -> Result<String, CommandError> {
    let based_on = match change.based_on {
        Some(revision) => revision,
        None => {
            let view: SettingsView = get(connection, SETTINGS_PATH).await?;
            find(&view, &node, &key).map_or(0, |found| found.revision)
        }
    };
    propose(
        connection,
        vec![Edit {
            node,
            key,
            value,
            based_on,
        }],
        change.who,
    )
    .await
}

async fn propose(
    connection: &Connection,
    edits: Vec<Edit>,
    who: WhoArguments,
) -> Result<String, CommandError> {
    let change = SettingsChange {
        actor: who.actor,
        reason: who.reason,
        edits,
    };
    let entry: AuditEntry = post(connection, SETTINGS_PATH, &change).await?;
    Ok(show::render(connection, &entry, show::accepted))
}

async fn explain(
    connection: &Connection,
    node: &str,
    key: Option<Arc<str>>,
) -> Result<String, CommandError> {
    let path = format!("/v1/admin/explain?node={node}");
    let mut explained: Vec<Explanation> = get(connection, &path).await?;
    explained.retain(|found| key.as_ref().is_none_or(|key| found.key == *key));
    Ok(show::render(connection, &explained, |explained| {
        show::explained(explained)
    }))
}

fn parse(file: &Path) -> Result<Vec<FileSetting>, CommandError> {
    let text = read_file(file)?;
    parse_settings_file(&file.display().to_string(), &text).map_err(CommandError::Files)
}

/// Returns the edits that apply a file to the tree, each with the value that it replaces.
async fn edits_of(
    connection: &Connection,
    file: &Path,
) -> Result<Vec<(Edit, Option<SettingValue>)>, CommandError> {
    let settings = parse(file)?;
    let view: SettingsView = get(connection, SETTINGS_PATH).await?;
    let edits = settings.into_iter().filter_map(|setting| {
        let present = find(&view, &setting.node, &setting.key);
        let before = present.and_then(|present| present.value.clone());
        let differs = before.as_ref() != Some(&setting.value);
        let based_on = present.map_or(0, |present| present.revision);
        let edit = Edit {
            node: setting.node,
            key: setting.key,
            value: Some(setting.value),
            based_on,
        };
        differs.then_some((edit, before))
    });
    Ok(edits.collect())
}

async fn diff(connection: &Connection, file: &Path) -> Result<String, CommandError> {
    let edits = edits_of(connection, file).await?;
    Ok(show::render(connection, &edits, |edits| {
        show::difference(edits)
    }))
}

async fn apply(
    connection: &Connection,
    file: &Path,
    who: WhoArguments,
) -> Result<String, CommandError> {
    let edits = edits_of(connection, file).await?;
    if edits.is_empty() {
        return Ok(show::render_message(connection, "nothing to change".into()));
    }
    propose(
        connection,
        edits.into_iter().map(|(edit, _)| edit).collect(),
        who,
    )
    .await
}

async fn history(
    connection: &Connection,
    node: &str,
    key: Option<Arc<str>>,
) -> Result<String, CommandError> {
    let mut entries: Vec<AuditEntry> = get(connection, "/v1/admin/audit?limit=20000").await?;
    let concerns = |entry: &AuditEntry| {
        let mut edits = entry.edits.iter();
        edits.any(|edit| &*edit.node == node && key.as_ref().is_none_or(|key| edit.key == *key))
    };
    entries.retain(concerns);
    Ok(show::render(connection, &entries, |entries| {
        show::audit(entries)
    }))
}
