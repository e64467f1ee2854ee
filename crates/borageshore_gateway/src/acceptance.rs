//! The memory of submissions while they are accepted. One that finds none is refused before anything of it is stored.

use std::{cell::Cell, rc::Rc};

use borageshore_base::{Fault, ResultCode};
use borageshore_batch::{HeldKind, ReceivedSubmission, WorkHold, WorkMemory};
use borageshore_diagnostics::Instruments;
use borageshore_net::{
    Clock, Deadline, EdgeResponse, HeldBodyError, ReceivedBody, discard_body, read_body_while,
};
use borageshore_platform::refusal;
use borageshore_routing::MAX_RETRY_AFTER_PART;
use bytes::Bytes;
use hyper::body::Body;

use crate::{ledger_view::LedgerView, server::server_limits, submissions::MAX_APPEND_BYTES};

/// The rest of a refused body is received for this long, so that the trainer gets the refusal.
const DISCARD_MS: u64 = 5_000;
/// What an item takes at the daemon that runs it, beside its encoded text: its place there and its result.
const ITEM_BYTES: usize = 512;
/// What an item takes beside its text while its submission is decoded.
const DECODED_ITEM_BYTES: usize = 40;
/// The shortest retry delay given where other submissions are being accepted.
const MIN_RETRY_AFTER_MS: u64 = 400;
/// The retry delay given where submissions that run have the memory: some of their items end in this time.
const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// The delays of trainers that are refused one after the other differ by this, and repeat after some.
const RETRY_SPREAD_MS: u64 = 60;
/// See [`RETRY_SPREAD_MS`].
const RETRY_SPREAD_STEPS: u64 = 10;

/// Holds memory for submissions while they are accepted.
#[derive(Debug)]
pub(crate) struct Acceptance {
    memory: WorkMemory,
    view: Rc<LedgerView>,
    clock: Clock,
    instruments: Rc<Instruments>,
    /// How long the last acceptance took.
    last_ms: Cell<u64>,
    refused: Cell<u64>,
}

/// The body of a submission, with the memory that its acceptance takes. Without `Debug`, as headers of its items may
/// contain credentials.
pub(crate) struct AcceptedBody<'a> {
    pub(crate) bytes: Bytes,
    hold: WorkHold,
    acceptance: &'a Acceptance,
    started_at_ms: u64,
}

impl Acceptance {
    pub(crate) fn open(
        memory: WorkMemory,
        view: Rc<LedgerView>,
        clock: Clock,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        Rc::new(Self {
            memory,
            view,
            clock,
            instruments,
            last_ms: Cell::default(),
            refused: Cell::default(),
        })
    }

    /// Reads the body of a submission: not at all if its stated length finds no memory, otherwise as far as it does.
    pub(crate) async fn read(
        &self,
        mut body: ReceivedBody,
    ) -> Result<AcceptedBody<'_>, HeldBodyError> {
        let started_at_ms = self.clock.now_ms();
        let limits = server_limits();
        let stated_bytes = body.size_hint().lower().min(limits.body_bytes as u64);
        let mut hold = self.memory.hold(HeldKind::Acceptance, 0);
        let read = match self.hold_more(&mut hold, stated_bytes) {
            true => {
                let may_hold = |bytes| bytes <= hold.bytes() || self.hold_more(&mut hold, bytes);
                read_body_while(&mut body, limits, may_hold).await
            }
            false => Err(HeldBodyError::OverMemory),
        };
        if matches!(read, Err(HeldBodyError::OverMemory)) {
            discard_body(body, limits.body_bytes, DISCARD_MS);
        }
        read.map(|bytes| AcceptedBody {
            bytes,
            hold,
            acceptance: self,
            started_at_ms,
        })
    }

    fn hold_more(&self, hold: &mut WorkHold, bytes: u64) -> bool {
        hold.try_set(bytes)
            || (self.view.make_room(bytes.saturating_sub(hold.bytes())) && hold.try_set(bytes))
    }

    /// Refuses a submission of which nothing has been stored.
    pub(crate) fn refuse(&self, submission: &str, deadline: Deadline) -> EdgeResponse {
        let refused = self.refused.get() + 1;
        self.refused.set(refused);
        let is_accepting = self.memory.held_bytes(HeldKind::Acceptance) > 0;
        let expected_ms = match is_accepting {
            true => self
                .last_ms
                .get()
                .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
            false => MAX_RETRY_AFTER_MS,
        };
        // Trainers that are refused together return one after the other.
        let spread_ms = refused % RETRY_SPREAD_STEPS * RETRY_SPREAD_MS;
        let longest_ms = deadline.remaining_ms() / MAX_RETRY_AFTER_PART;
        let again_ms = (expected_ms + spread_ms).min(longest_ms).max(1);
        self.instruments.count("submission", "over_memory");
        let memory = &self.memory;
        log::warn!(
            submission, again_ms, limit_bytes = memory.limit_bytes(),
            acceptance_bytes = memory.held_bytes(HeldKind::Acceptance),
            records_bytes = memory.held_bytes(HeldKind::Records),
            started_bytes = memory.held_bytes(HeldKind::Started),
            sends_bytes = memory.held_bytes(HeldKind::Sends),
            texts_bytes = memory.held_bytes(HeldKind::Texts);
            "submission refused: no memory for it beside other accepted work"
        );
        refusal(&Fault::new(ResultCode::OverMemory, ""), Some(again_ms))
    }
}

impl AcceptedBody<'_> {
    /// Holds what storing the decoded submission takes; returns whether there is memory for that, and for the submission
    /// at a daemon that runs it.
    pub(crate) fn admit(&mut self, submission: &ReceivedSubmission) -> bool {
        let sizes = submission.sizes;
        let run_bytes = sizes.encoded_bytes + sizes.items * ITEM_BYTES;
        // The chunks of one append, and the request with them.
        let append_bytes = 2 * sizes.encoded_bytes.min(MAX_APPEND_BYTES);
        let bytes = self.bytes.len()
            + append_bytes
            + sizes.largest_bytes
            + sizes.items * DECODED_ITEM_BYTES;
        let Acceptance { memory, .. } = self.acceptance;
        run_bytes as u64 <= memory.limit_bytes()
            && self.acceptance.hold_more(&mut self.hold, bytes as u64)
    }
}

impl Drop for AcceptedBody<'_> {
    fn drop(&mut self) {
        let Acceptance { clock, last_ms, .. } = self.acceptance;
        last_ms.set(clock.now_ms() - self.started_at_ms);
    }
}
