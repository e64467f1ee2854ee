//! How far the groups of running submissions are, which decides the start order of their reward calls.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;

/// A submission and one of its groups.
type GroupKey = (Arc<str>, Arc<str>);

/// The unfinished items of a group that this daemon runs.
#[derive(Debug, Default)]
pub(super) struct Group {
    generating: Cell<u64>,
    unfinished: Cell<u64>,
}

impl Group {
    /// Whether any text of the group is incomplete.
    pub(super) fn is_generating(&self) -> bool {
        self.generating.get() > 0
    }

    /// The number of items without a result.
    pub(super) fn unfinished(&self) -> u64 {
        self.unfinished.get()
    }
}

/// The groups of which this daemon runs items.
#[derive(Debug, Default)]
pub(super) struct Groups {
    groups: RefCell<SortedMap<GroupKey, Rc<Group>>>,
}

impl Groups {
    /// Counts an item as generating until [`GroupMember::on_text_complete`], and as unfinished until the member is
    /// dropped.
    pub(super) fn join(self: &Rc<Self>, submission: &Arc<str>, group: &Arc<str>) -> GroupMember {
        let key = (submission.clone(), group.clone());
        let mut groups = self.groups.borrow_mut();
        let group = groups.get_or_insert_with(key.clone(), Rc::default).clone();
        group.generating.set(group.generating.get() + 1);
        group.unfinished.set(group.unfinished.get() + 1);
        GroupMember {
            groups: self.clone(),
            key,
            group,
            is_generating: Cell::new(true),
        }
    }
}

/// A running item, counted in its group.
#[derive(Debug)]
pub(crate) struct GroupMember {
    groups: Rc<Groups>,
    key: GroupKey,
    group: Rc<Group>,
    is_generating: Cell<bool>,
}

impl GroupMember {
    /// Counts the item's text as complete.
    pub(crate) fn on_text_complete(&self) {
        if self.is_generating.replace(false) {
            let generating = &self.group.generating;
            generating.set(generating.get() - 1);
        }
    }

    pub(super) fn group(&self) -> &Rc<Group> {
        &self.group
    }
}

impl Drop for GroupMember {
    fn drop(&mut self) {
        self.on_text_complete();
        let unfinished = &self.group.unfinished;
        unfinished.set(unfinished.get() - 1);
        if unfinished.get() == 0 {
            self.groups.groups.borrow_mut().remove(&self.key);
        }
    }
}
