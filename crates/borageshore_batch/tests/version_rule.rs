//! The model versions that may generate a text.

use borageshore_batch::VersionRule;

const SINGLE: VersionRule = VersionRule {
    min_version: 6,
    is_single: true,
};
const ANY: VersionRule = VersionRule {
    min_version: 6,
    is_single: false,
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a text that is pinned only once it is resumed: its first engine changes its version in between.
    a_text_is_pinned_from_its_first_event_on => {
        assert!(SINGLE.allows_next(&[], 6) && SINGLE.allows_next(&[], 7));
        assert!(SINGLE.allows_next(&[6], 6));
        assert!(!SINGLE.allows_next(&[6], 7));
        assert!(!SINGLE.allows_next(&[7], 6));
        assert!(ANY.allows_next(&[6], 7));
        assert!(!ANY.allows_next(&[], 5) && !SINGLE.allows_next(&[], 5));
    }

    // Guards against delivering a text that was stored under another rule.
    a_text_of_several_versions_fits_only_where_these_are_allowed => {
        assert!(ANY.allows(&[6, 7]) && ANY.allows(&[]));
        assert!(!ANY.allows(&[5, 6]), "an event is older");
        assert!(SINGLE.allows(&[7]) && SINGLE.allows(&[]));
        assert!(!SINGLE.allows(&[6, 7]));
        assert!(!SINGLE.allows(&[5]));
    }
}
