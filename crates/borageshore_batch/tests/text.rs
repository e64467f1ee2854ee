//! Texts assembled from the events of several runs.

use borageshore_batch::{Text, TextError};

fn text(events: &[(u64, &'static str, Option<u64>)]) -> Text {
    let mut text = Text::default();
    for (id, data, version) in events {
        text.push(*id, (*data).into(), *version).unwrap();
    }
    text
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    events_join_in_order_with_every_version_once => {
        let text = text(&[(1, "a", Some(6)), (2, "b", Some(6)), (3, "c", Some(7))]);
        assert_eq!(text.output(), "a\nb\nc");
        assert_eq!(text.versions(), [6, 7]);
    }

    an_event_that_is_there_already_is_left_out => {
        let text = text(&[(1, "a", Some(6)), (2, "b", Some(6)), (2, "again", Some(7))]);
        assert_eq!(text.output(), "a\nb");
        assert_eq!(text.versions(), [6]);
    }

    a_missing_event_is_an_error => {
        let mut text = text(&[(1, "a", Some(6))]);
        assert_eq!(text.push(3, "c".into(), Some(6)), Err(TextError::Gap));
    }

    an_event_of_an_unknown_version_is_not_taken => {
        let mut text = Text::default();
        assert_eq!(text.push(1, "a".into(), None), Err(TextError::NoVersion));
        assert!(text.is_empty());
    }

    // Guards against a result that fits into no append to the store and blocks all results behind it: a text of many runs,
    // or of bytes that take more room when they are escaped.
    a_text_is_limited_by_its_size_in_a_result => {
        for (event, most_events) in [(vec![b'a'; 10_000], 99), (vec![1; 10_000], 16), (vec![0xff; 10_000], 33)] {
            let mut text = Text::default();
            let mut pushed = Ok(());
            while pushed.is_ok() {
                pushed = text.push(text.last_event() + 1, event.clone().into(), Some(6));
            }
            assert_eq!(pushed, Err(TextError::TooLong));
            assert_eq!(text.last_event(), most_events);
            assert!(serde_json::to_string(&text.output()).unwrap().len() < 1_000_000);
        }
    }

    // Guards against endless retries after an engine is lost between the last event and the end of its stream: the
    // engine that resumes the text generates nothing and reports no version.
    a_run_that_goes_on_after_the_last_event_needs_no_version => {
        let mut text = text(&[(1, "a", Some(6)), (2, "b", Some(6))]);
        text.mark_complete();
        assert!(text.is_complete());
        assert_eq!(text.output(), "a\nb");
    }
}
