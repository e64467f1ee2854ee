//! Submissions, their items and their results.

use std::{borrow::Cow, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::packed_item::PackedItem;

/// A batch of generation requests, accepted at once and run asynchronously.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Submission {
    /// Id chosen by the trainer, unique within its organisation.
    pub id: Arc<str>,
    /// The organisation that owns it; `None` where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Arc<str>>,
    /// The host of its route.
    pub host: Arc<str>,
    /// The request path; selects the route together with the host.
    pub path: Arc<str>,
    /// The model that the trainer trains with it.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may generate its tokens.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for; all groups if `None`.
    pub target_groups: Option<usize>,
    /// The items, in the order of the request.
    pub items: Vec<PackedItem>,
}

impl Submission {
    /// Identifies the trainer: the model if there is one, else the submission's own id.
    pub fn trainer(&self) -> &Arc<str> {
        self.model.as_ref().unwrap_or(&self.id)
    }

    /// The key under which an item's text is stored; items of different organisations never share one.
    pub fn scoped_item_id(&self, item: &Arc<str>) -> Arc<str> {
        match &self.organisation {
            Some(organisation) => format!("{organisation}/{item}").into(),
            None => item.clone(),
        }
    }

    /// About the memory that the submission takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        let items_bytes: usize = self.items.iter().map(PackedItem::held_bytes).sum();
        size_of::<Self>() + items_bytes
    }

    /// Sum of the items' length hints in tokens; an item without a hint counts as 1.
    pub fn expected_tokens(&self) -> u64 {
        let hints = self.items.iter().map(PackedItem::length_hint_tokens);
        hints.map(|hint| hint.unwrap_or(1)).sum()
    }
}

/// One generation request; borrows from the record that it was decoded from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<'r> {
    /// Its id.
    #[serde(borrow)]
    pub id: Cow<'r, str>,
    /// The group; its items share a prompt.
    #[serde(borrow)]
    pub group: Cow<'r, str>,
    /// Path and query of the request to the engine.
    #[serde(borrow)]
    pub path: Cow<'r, str>,
    /// Headers of the request to the engine.
    #[serde(borrow)]
    pub headers: Vec<Header<'r>>,
    /// The body as received, in base64.
    #[serde(borrow)]
    pub body_base64: Cow<'r, str>,
    /// The trainer's estimate of the length in tokens; often inaccurate.
    pub length_hint_tokens: Option<u64>,
    /// The call that scores the finished text.
    #[serde(borrow)]
    pub reward: Option<RewardCall<'r>>,
}

/// The name and the value of a header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header<'r>(
    #[serde(borrow)] pub Cow<'r, str>,
    #[serde(borrow)] pub Cow<'r, str>,
);

/// A call that scores a finished text; it may be sent more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall<'r> {
    /// The request id of the call.
    #[serde(borrow)]
    pub id: Cow<'r, str>,
    /// The host of its route.
    #[serde(borrow)]
    pub host: Cow<'r, str>,
    /// Path and query.
    #[serde(borrow)]
    pub path: Cow<'r, str>,
    /// The body as received, in base64.
    #[serde(borrow)]
    pub body_base64: Cow<'r, str>,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The text is complete, and scored if the item has a reward call.
    Done,
    /// The item was abandoned and will not be finished.
    GivenUp,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub item: Arc<str>,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds.
    pub output: String,
    /// The versions of the weights that generated any event of the text, ascending.
    pub versions: Vec<u64>,
    /// The signature of the endpoint that scored it.
    pub score: Option<Arc<str>>,
}

impl ItemResult {
    /// About the memory that the result takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        let score_bytes = self.score.as_ref().map_or(0, |score| score.len());
        let texts_bytes = self.item.len() + self.output.len() + score_bytes;
        size_of::<Self>() + texts_bytes + size_of_val(&*self.versions)
    }
}

/// A version of a model's weights, as published by its trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
}
