//! Authorization, and the age of the view that each outcome needs.

use borageshore_access::{
    Access, Credentials, KeyDigest, KeyView, Organisation, Organisations, authorize, scoped,
};
use borageshore_topology::Residency;

const MAX_AGE_MS: u64 = 5_000;

fn organisations(list: &[(&str, &[&str])]) -> Organisations {
    let organisation = |(name, keys): &(&str, &[&str])| {
        let organisation = Organisation {
            name: (*name).into(),
            priority: None,
            residency: Residency::anywhere(),
        };
        let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        (organisation, keys.collect())
    };
    Organisations::open(list.iter().map(organisation).collect())
}

fn with_key(key: &str) -> Credentials {
    Credentials {
        key: Some(KeyDigest::of(key.as_bytes())),
        is_public: false,
    }
}

const NO_KEY: Credentials = Credentials {
    key: None,
    is_public: false,
};

fn aged(age_ms: u64) -> KeyView {
    KeyView {
        age_ms: Some(age_ms),
        max_age_ms: Some(MAX_AGE_MS),
    }
}

fn name(access: Access) -> Option<String> {
    match access {
        Access::Granted(owner) => Some(owner.map_or("-".into(), |owner| owner.name.to_string())),
        _ => None,
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    without_organisations_nobody_needs_a_key => {
        let none = Organisations::default();
        assert_eq!(name(authorize(&none, NO_KEY, aged(60_000))).as_deref(), Some("-"));
        assert_eq!(name(authorize(&none, with_key("k"), aged(60_000))).as_deref(), Some("-"));
    }

    a_key_names_its_organisation => {
        let table = organisations(&[("mill", &["k1", "k2"]), ("farm", &["k3"])]);
        for (key, owner) in [("k1", "mill"), ("k2", "mill"), ("k3", "farm")] {
            assert_eq!(name(authorize(&table, with_key(key), aged(0))).as_deref(), Some(owner));
        }
    }

    // Guards against a partitioned VM that keeps accepting a revoked key from an old view.
    a_known_key_is_good_only_while_the_view_is_new => {
        let table = organisations(&[("mill", &["k1"])]);
        assert!(name(authorize(&table, with_key("k1"), aged(MAX_AGE_MS))).is_some());
        assert_eq!(authorize(&table, with_key("k1"), aged(MAX_AGE_MS + 1)), Access::ViewTooOld);
        let never_read = KeyView { age_ms: None, max_age_ms: None };
        assert_eq!(authorize(&table, with_key("k1"), never_read), Access::ViewTooOld);
    }

    without_a_bound_a_known_key_stays_good => {
        let table = organisations(&[("mill", &["k1"])]);
        let view = KeyView { age_ms: Some(3_600_000), max_age_ms: None };
        assert!(name(authorize(&table, with_key("k1"), view)).is_some());
    }

    // Guards against denying a key that was just added, from a view that is older than the key.
    a_denial_needs_a_view_that_was_just_asked_for => {
        let table = organisations(&[("mill", &["k1"])]);
        for asked in [with_key("k9"), NO_KEY] {
            assert_eq!(authorize(&table, asked, aged(0)), Access::Denied);
            assert_eq!(authorize(&table, asked, aged(2_000)), Access::Unconfirmed);
            assert_eq!(authorize(&table, asked, aged(60_000)), Access::Unconfirmed);
        }
    }

    a_public_route_asks_for_no_key => {
        let table = organisations(&[("mill", &["k1"])]);
        let public = |asked: Credentials| Credentials { is_public: true, ..asked };
        assert_eq!(name(authorize(&table, public(NO_KEY), aged(60_000))).as_deref(), Some("-"));
        assert_eq!(name(authorize(&table, public(with_key("k9")), aged(0))).as_deref(), Some("-"));
        assert_eq!(name(authorize(&table, public(with_key("k1")), aged(0))).as_deref(), Some("mill"));
    }

    a_key_of_two_organisations_belongs_to_neither => {
        let table = organisations(&[("mill", &["k1", "k2"]), ("farm", &["k2"])]);
        assert!(table.owner_of(&KeyDigest::of(b"k2")).is_none());
        assert!(table.owner_of(&KeyDigest::of(b"k1")).is_some());
    }

    a_key_that_is_named_twice_stays_good => {
        let table = organisations(&[("mill", &["k1", "k1"])]);
        assert!(table.owner_of(&KeyDigest::of(b"k1")).is_some());
    }

    neither_key_nor_digest_is_shown => {
        let table = organisations(&[("mill", &["secret-1"])]);
        let digest = format!("{:?}", KeyDigest::of(b"secret-1"));
        assert_eq!(digest, format!("{:?}", KeyDigest::of(b"secret-2")));
        assert!(!format!("{table:?}").contains("secret-1"));
    }

    names_of_two_organisations_never_collide => {
        let all = [
            scoped(None, "a"), scoped(Some("mill"), "a"), scoped(Some("farm"), "a"),
            scoped(Some("mill/a"), "a"), scoped(Some(""), "a"), scoped(Some("mill.a"), "a"),
        ];
        for (at, one) in all.iter().enumerate() {
            assert!(one.is_some() && !all[..at].contains(one), "{one:?}");
        }
        assert_eq!(scoped(None, "mill~a"), None);
        assert_eq!(scoped(Some("farm"), "mill~a"), None);
    }

    // Random tables against a linear search: a key belongs to the only organisation that has it.
    lookups_agree_with_a_plain_list => {
        bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|pairs| {
            let organisation = |name: u8| Organisation { name: name.to_string().into(), priority: None, residency: Residency::anywhere() };
            let listed = pairs.iter().map(|(name, key)| (organisation(*name), vec![KeyDigest::of(&[*key])]));
            let table = Organisations::open(listed.collect());
            for asked in 0..=u8::MAX {
                let mut owners: Vec<u8> = pairs.iter().filter(|(_, key)| *key == asked).map(|(name, _)| *name).collect();
                owners.sort_unstable();
                owners.dedup();
                let only = (owners.len() == 1).then(|| owners[0].to_string());
                let found = table.owner_of(&KeyDigest::of(&[asked]));
                assert_eq!(found.map(|owner| owner.name.to_string()), only);
            }
        });
    }
}
