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
}
