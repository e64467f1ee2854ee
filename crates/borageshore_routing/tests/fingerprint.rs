//! Fingerprints of requests.

use borageshore_routing::{Fingerprint, ParseFingerprintError, RequestContent};

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "shop.example",
    target: "/orders/7?page=2",
    caller: b"Bearer a",
    body: b"two stones",
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    repeats_have_the_same_fingerprint => {
        let fingerprint = Fingerprint::of(&CONTENT);
        assert_eq!(fingerprint, Fingerprint::of(&CONTENT));
        assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    }

    each_part_changes_the_fingerprint => {
        let others = [
            RequestContent { method: "PUT", ..CONTENT },
            RequestContent { host: "shop.exampl", ..CONTENT },
            RequestContent { target: "/orders/7?page=3", ..CONTENT },
            RequestContent { caller: b"Bearer b", ..CONTENT },
            RequestContent { body: b"two stone", ..CONTENT },
            // The same bytes, split differently.
            RequestContent { caller: b"Bearer at", body: b"wo stones", ..CONTENT },
        ];
        for other in others {
            assert_ne!(Fingerprint::of(&other), Fingerprint::of(&CONTENT), "{other:?}");
        }
    }

    other_texts_do_not_parse => {
        for text in ["", "12", "x0000000000000000000000000000000", "000000000000000000000000000000000"] {
            assert_eq!(text.parse::<Fingerprint>(), Err(ParseFingerprintError), "{text}");
        }
    }
}
