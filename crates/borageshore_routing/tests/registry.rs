//! The endpoint registry: restarts under the same id, late entries and entries of other writers.

use std::sync::Arc;

use borageshore_routing::{EndpointRegistry, EntryEffect};

fn id() -> Arc<str> {
    "i-1".into()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    an_entry_without_a_start_time_is_accepted => {
        let mut registry = EndpointRegistry::default();
        assert_eq!(registry.on_entry(&id(), None, "a"), EntryEffect::Accepted);
        assert_eq!(registry.on_entry(&id(), None, "b"), EntryEffect::Accepted);
        assert_eq!(registry.get("i-1"), Some(&"b"));
    }

    // Guards against using the load and weights of the previous incarnation after a crash and restart before
    // the entry expired.
    a_restart_under_the_same_id_is_detected => {
        let mut registry = EndpointRegistry::default();
        registry.on_entry(&id(), Some(1_000), "first");
        assert_eq!(registry.on_entry(&id(), Some(1_000), "first"), EntryEffect::Accepted);
        assert_eq!(registry.on_entry(&id(), Some(2_000), "second"), EntryEffect::Restarted);
        assert_eq!(registry.get("i-1"), Some(&"second"));
    }

    // Guards against calls to the address of an earlier incarnation whose last heartbeat arrives late.
    an_entry_of_an_earlier_incarnation_changes_nothing => {
        let mut registry = EndpointRegistry::default();
        registry.on_entry(&id(), Some(2_000), "second");
        assert_eq!(registry.on_entry(&id(), Some(1_000), "first"), EntryEffect::Stale);
        assert_eq!(registry.get("i-1"), Some(&"second"));
        registry.remove(&id());
        assert_eq!(registry.on_entry(&id(), Some(1_000), "first"), EntryEffect::Stale);
        assert_eq!(registry.get("i-1"), None);
    }

    an_entry_that_lost_its_start_time_is_foreign => {
        let mut registry = EndpointRegistry::default();
        registry.on_entry(&id(), Some(1_000), "own");
        assert_eq!(registry.on_entry(&id(), None, "other"), EntryEffect::Foreign);
    }

    // Guards against calls to an endpoint whose entry was replaced by an unreadable one.
    a_foreign_entry_disables_the_endpoint_until_a_valid_one_arrives => {
        let mut registry = EndpointRegistry::default();
        registry.on_entry(&id(), Some(1_000), "own");
        assert!(registry.on_foreign(&id()));
        assert_eq!(registry.get("i-1"), None);
        assert!(!registry.on_foreign(&id()), "told once");
        assert_eq!(registry.on_entry(&id(), Some(1_000), "own"), EntryEffect::Accepted);
        assert_eq!(registry.get("i-1"), Some(&"own"));
        assert!(registry.on_foreign(&id()));
    }
}
