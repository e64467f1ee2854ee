//! Hedging: a second attempt beside one that takes long.

use std::{future::Future, pin::pin};

use futures_util::future::{Either, select};

use crate::event_loop::within_ms;

/// Runs an attempt and, if it is still running after `after_ms`, the one that `start_second` returns as well.
///
/// The first success counts, and the other attempt is dropped. Fails when no attempt is left, with the greater of the
/// failures.
pub async fn hedged<Attempt, Second, Success, Failure>(
    first: Attempt,
    after_ms: Option<u64>,
    start_second: Second,
) -> Result<Success, Failure>
where
    Attempt: Future<Output = Result<Success, Failure>>,
    Second: FnOnce() -> Option<Attempt>,
    Failure: Ord,
{
    let mut first = pin!(first);
    let Some(after_ms) = after_ms else {
        return first.await;
    };
    if let Some(result) = within_ms(after_ms, first.as_mut()).await {
        return result;
    }
    let Some(second) = start_second() else {
        return first.await;
    };
    match select(first, pin!(second)).await {
        Either::Left((Err(failure), other)) | Either::Right((Err(failure), other)) => {
            other.await.map_err(|last| last.max(failure))
        }
        Either::Left((success, _)) | Either::Right((success, _)) => success,
    }
}
