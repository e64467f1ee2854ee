//! A budget for the memory that a server holds for callers who send or read slowly.
//!
//! The load that this answers: many callers send large bodies, or do not read large responses, before a process with
//! little memory. Request bodies are counted while they are read and used, responses until they are written out.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    body::Body,
    rt::{Read, ReadBufCursor, Write},
};
use tokio::sync::Notify;

use crate::{
    event_loop::{Clock, sleep_ms, within_ms},
    metered::ReceivedBody,
    server::{BodyError, EdgeBody, ServerLimits},
};

/// The share of the process's memory that may be held before bodies are refused, in percent. The largest body that the
/// platform allows, 32 MiB, fits a process of 160 MB.
const REFUSE_BODIES_PERCENT: u64 = 21;
/// The share of the process's memory that may be held before connections are closed, in percent. The rest is for
/// decoded bodies and the daemon's own state.
const CLOSE_CONNECTIONS_PERCENT: u64 = 35;
/// Bodies up to this size are always read: a refusal would take nearly as much, and live callers send no larger ones.
const SMALL_BODY_BYTES: u64 = 8 * 1024;
/// While bodies are refused, a response of which nothing is read for this long is dropped; longer than a caller's
/// pauses for a lost packet.
const STALLED_MS: u64 = 2_000;
/// The interval at which stalled responses are looked for.
const CHECK_INTERVAL_MS: u64 = 250;
/// A check that comes this long after the last one shows that the process did not run: its callers could not read.
const PAUSED_MS: u64 = STALLED_MS / 2;
/// The rest of a refused body is received for this long and up to this size, without being held: closing a connection
/// on which bytes arrive would destroy the response before the caller has read it.
const DISCARD_MS: u64 = 1_000;
/// See [`DISCARD_MS`].
const DISCARD_BYTES: usize = 1024 * 1024;

/// Limits on the bytes that are held for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Above this, request bodies that are not small are refused.
    pub refuse_bodies_bytes: u64,
    /// Above this, the connections whose responses are unread longest are closed.
    pub close_connections_bytes: u64,
}

impl MemoryLimits {
    /// The limits of a process that may use `memory_mb`.
    pub fn of_process(memory_mb: u64) -> Self {
        let share = |percent: u64| memory_mb.saturating_mul(1024 * 1024) / 100 * percent;
        Self {
            refuse_bodies_bytes: share(REFUSE_BODIES_PERCENT),
            close_connections_bytes: share(CLOSE_CONNECTIONS_PERCENT),
        }
    }
}

/// Why a request body was not read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeldBodyError {
    /// Too much is held for callers.
    OverMemory,
    /// The body is not acceptable.
    Body(BodyError),
}

/// A request body that counts in the budget until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    _hold: Option<BodyHold>,
}

impl HeldBody {
    /// A body that was read without a budget.
    pub fn uncounted(bytes: Bytes) -> Self {
        Self { bytes, _hold: None }
    }
}

#[derive(Debug)]
struct BudgetState {
    limits: MemoryLimits,
    clock: Clock,
    body_bytes: Cell<u64>,
    response_bytes: Cell<u64>,
    /// The connections with responses that are not written out.
    unread: RefCell<Vec<Rc<ResponseAccount>>>,
    refused_bodies: Cell<u64>,
    closed_connections: Cell<u64>,
    /// Notified when so much is held that bodies are refused.
    over_limit: Rc<Notify>,
}

/// The bytes that are held for callers, against limits; shared by its clones.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    state: Rc<BudgetState>,
}

impl MemoryBudget {
    /// Creates a budget, and closes connections with stalled responses on the current event loop.
    pub fn spawn(limits: MemoryLimits, clock: Clock) -> Self {
        let state = Rc::new(BudgetState {
            limits,
            clock,
            body_bytes: Cell::new(0),
            response_bytes: Cell::new(0),
            unread: RefCell::default(),
            refused_bodies: Cell::new(0),
            closed_connections: Cell::new(0),
            over_limit: Rc::default(),
        });
        let over_limit = state.over_limit.clone();
        monoio::spawn(watch_stalled(Rc::downgrade(&state), over_limit));
        Self { state }
    }

    /// The bytes that are held now.
    pub fn held_bytes(&self) -> u64 {
        self.state.held_bytes()
    }

    /// The bytes of responses that are not written out.
    pub fn unwritten_bytes(&self) -> u64 {
        self.state.response_bytes.get()
    }

    /// The number of bodies that were refused.
    pub fn refused_bodies(&self) -> u64 {
        self.state.refused_bodies.get()
    }

    /// The number of connections that were closed with an unread response.
    pub fn closed_connections(&self) -> u64 {
        self.state.closed_connections.get()
    }

    /// Reads a request body within the limits of the server and of the budget. A body that is not small is refused if
    /// it does not fit the budget: unread if its length is known, otherwise as soon as it does not fit.
    pub async fn read_body(
        &self,
        mut body: ReceivedBody,
        limits: ServerLimits,
    ) -> Result<HeldBody, HeldBodyError> {
        let declared_bytes = body.size_hint().lower();
        if declared_bytes > limits.body_bytes as u64 {
            return Err(HeldBodyError::Body(BodyError::TooLarge));
        }
        let mut hold = self.hold();
        let read = match hold.may_hold(declared_bytes) {
            true => {
                let may_hold = |total_bytes| hold.try_set(total_bytes);
                read_body_while(&mut body, limits, may_hold).await
            }
            false => Err(HeldBodyError::OverMemory),
        };
        if matches!(read, Err(HeldBodyError::OverMemory)) {
            let state = &self.state;
            state.refused_bodies.set(state.refused_bodies.get() + 1);
            discard_body(body, DISCARD_BYTES, DISCARD_MS);
        }
        read.map(|bytes| HeldBody {
            bytes,
            _hold: Some(hold),
        })
    }

    fn hold(&self) -> BodyHold {
        BodyHold {
            state: self.state.clone(),
            bytes: 0,
        }
    }

    /// Opens the account of a connection.
    pub(crate) fn connection(&self, remote: SocketAddr) -> ConnectionAccount {
        ConnectionAccount {
            state: self.state.clone(),
            account: Rc::new(ResponseAccount {
                remote,
                unwritten_bytes: Cell::new(0),
                progress_at_ms: Cell::new(0),
                is_closing: Cell::new(false),
                closing: Notify::new(),
            }),
        }
    }
}

impl Drop for BudgetState {
    /// Ends the task that watches it.
    fn drop(&mut self) {
        self.over_limit.notify_one();
    }
}

impl BudgetState {
    fn held_bytes(&self) -> u64 {
        self.body_bytes.get() + self.response_bytes.get()
    }

    fn check_limit(&self) {
        if self.held_bytes() > self.limits.refuse_bodies_bytes {
            self.over_limit.notify_one();
        }
    }

    /// Closes connections while too much is held; `newest` has just got its response.
    fn close_longest_unread(&self, newest: &Rc<ResponseAccount>) {
        while self.held_bytes() > self.limits.close_connections_bytes {
            let now_ms = self.clock.now_ms();
            let unread = self.unread.borrow();
            let others = unread.iter().filter(|other| !Rc::ptr_eq(other, newest));
            let longest = others.max_by_key(|other| {
                let stalled_ms = now_ms.saturating_sub(other.progress_at_ms.get());
                (stalled_ms + 1) * other.unwritten_bytes.get()
            });
            let Some(longest) = longest.cloned() else {
                return;
            };
            drop(unread);
            self.close(&longest);
        }
    }

    fn close_stalled(&self) {
        let now_ms = self.clock.now_ms();
        let is_stalled =
            |account: &&Rc<ResponseAccount>| now_ms >= account.progress_at_ms.get() + STALLED_MS;
        let stalled: Vec<_> = {
            let unread = self.unread.borrow();
            unread.iter().filter(is_stalled).cloned().collect()
        };
        for account in stalled {
            if self.held_bytes() <= self.limits.refuse_bodies_bytes {
                return;
            }
            self.close(&account);
        }
    }

    /// Gives all responses time again, after a pause in which this process could not write.
    fn restart_stalls(&self) {
        let now_ms = self.clock.now_ms();
        for account in self.unread.borrow().iter() {
            account.progress_at_ms.set(now_ms);
        }
    }

    fn close(&self, account: &Rc<ResponseAccount>) {
        let stalled_ms = self.clock.now_ms() - account.progress_at_ms.get();
        log::warn!(
            remote:% = account.remote, unread_bytes = account.unwritten_bytes.get(), stalled_ms,
            held_bytes = self.held_bytes();
            "too much is held for callers; closing a connection whose response is not read"
        );
        self.closed_connections
            .set(self.closed_connections.get() + 1);
        self.release(account);
        account.is_closing.set(true);
        account.closing.notify_waiters();
    }

    /// Ends the count of a connection's response.
    fn release(&self, account: &Rc<ResponseAccount>) {
        let unwritten_bytes = account.unwritten_bytes.take();
        if unwritten_bytes > 0 {
            let held_bytes = self.response_bytes.get() - unwritten_bytes;
            self.response_bytes.set(held_bytes);
            let mut unread = self.unread.borrow_mut();
            unread.retain(|other| !Rc::ptr_eq(other, account));
        }
    }
}

/// The bytes of one request body in the budget.
#[derive(Debug)]
struct BodyHold {
    state: Rc<BudgetState>,
    bytes: u64,
}

impl BodyHold {
    /// Whether the body may have a total of `bytes`.
    fn may_hold(&self, bytes: u64) -> bool {
        let others_bytes = self.state.held_bytes() - self.bytes;
        bytes <= SMALL_BODY_BYTES || others_bytes + bytes <= self.state.limits.refuse_bodies_bytes
    }

    /// Holds a total of `bytes` if that is allowed; returns whether it is.
    fn try_set(&mut self, bytes: u64) -> bool {
        let may_hold = self.may_hold(bytes);
        if may_hold {
            self.set(bytes);
        }
        may_hold
    }

    fn set(&mut self, bytes: u64) {
        let held_bytes = self.state.body_bytes.get() - self.bytes + bytes;
        self.state.body_bytes.set(held_bytes);
        self.bytes = bytes;
        self.state.check_limit();
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// The response of a connection that is not written out.
#[derive(Debug)]
struct ResponseAccount {
    remote: SocketAddr,
    unwritten_bytes: Cell<u64>,
    progress_at_ms: Cell<u64>,
    is_closing: Cell<bool>,
    closing: Notify,
}

/// A connection's part of the budget, released when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionAccount {
    state: Rc<BudgetState>,
    account: Rc<ResponseAccount>,
}

impl ConnectionAccount {
    /// Counts a response that is about to be written; the chunks of a streamed one are bounded by its channel. Hyper reads
    /// no request before the last response is written out, so a connection holds one response.
    pub(crate) fn on_response(&self, body: &EdgeBody) {
        let Some(bytes) = body.size_hint().exact().filter(|bytes| *bytes > 0) else {
            return;
        };
        let state = &self.state;
        state.release(&self.account);
        self.account.unwritten_bytes.set(bytes);
        self.account.progress_at_ms.set(state.clock.now_ms());
        state.response_bytes.set(state.response_bytes.get() + bytes);
        state.unread.borrow_mut().push(self.account.clone());
        state.check_limit();
        state.close_longest_unread(&self.account);
    }

    /// Waits until the connection must be closed.
    pub(crate) async fn closing(&self) {
        let closing = self.account.closing.notified();
        if !self.account.is_closing.get() {
            closing.await;
        }
    }

    fn on_written(&self, bytes: usize) {
        let unwritten_bytes = self.account.unwritten_bytes.get();
        // The head is not counted, so more may be written than was counted; the rest ends with the flush.
        let written_bytes = (bytes as u64).min(unwritten_bytes.saturating_sub(1));
        self.account
            .unwritten_bytes
            .set(unwritten_bytes - written_bytes);
        self.account.progress_at_ms.set(self.state.clock.now_ms());
        let held_bytes = self.state.response_bytes.get() - written_bytes;
        self.state.response_bytes.set(held_bytes);
    }

    fn on_flushed(&self) {
        if self.account.unwritten_bytes.get() > 0 {
            self.state.release(&self.account);
        }
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        self.state.release(&self.account);
    }
}

/// Reports what is written to a connection to its account, if it has one.
#[derive(Debug)]
pub(crate) struct AccountedIo<Io> {
    io: Io,
    account: Option<Rc<ConnectionAccount>>,
}

impl<Io> AccountedIo<Io> {
    pub(crate) fn new(io: Io, account: Option<Rc<ConnectionAccount>>) -> Self {
        Self { io, account }
    }

    fn on_written(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(account), Poll::Ready(Ok(bytes))) = (&self.account, written) {
            account.on_written(*bytes);
        }
    }
}

impl<Io> Read for AccountedIo<Io>
where
    Io: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<Io> Write for AccountedIo<Io>
where
    Io: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, buffer);
        self.on_written(&written);
        written
    }

    /// Hyper flushes only once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(context);
        if let (Some(account), Poll::Ready(Ok(()))) = (&self.account, &flushed) {
            account.on_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.on_written(&written);
        written
    }
}

/// Closes connections with stalled responses while too much is held; otherwise it takes no time.
async fn watch_stalled(budget: Weak<BudgetState>, over_limit: Rc<Notify>) {
    let mut checked_at_ms = None;
    while let Some(state) = budget.upgrade() {
        if state.held_bytes() <= state.limits.refuse_bodies_bytes {
            drop(state);
            checked_at_ms = None;
            over_limit.notified().await;
            continue;
        }
        let now_ms = state.clock.now_ms();
        let since_ms = checked_at_ms.map_or(0, |at_ms| now_ms - at_ms);
        match since_ms < PAUSED_MS {
            true => state.close_stalled(),
            false => state.restart_stalls(),
        }
        checked_at_ms = Some(now_ms);
        drop(state);
        sleep_ms(CHECK_INTERVAL_MS).await;
    }
}

/// Reads a body within the limits of the server, as long as `may_hold` allows the total of its bytes.
pub async fn read_body_while<MayHold>(
    body: &mut ReceivedBody,
    limits: ServerLimits,
    mut may_hold: MayHold,
) -> Result<Bytes, HeldBodyError>
where
    MayHold: FnMut(u64) -> bool,
{
    let declared_bytes = body.size_hint().lower();
    if declared_bytes > limits.body_bytes as u64 {
        return Err(HeldBodyError::Body(BodyError::TooLarge));
    }
    let reading = async {
        // Pages of the buffer take memory once they are written to.
        let mut bytes = BytesMut::with_capacity(declared_bytes as usize);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let malformed = BodyError::Malformed(error.to_string());
                HeldBodyError::Body(malformed)
            })?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let total_bytes = bytes.len() + chunk.len();
            if total_bytes > limits.body_bytes {
                return Err(HeldBodyError::Body(BodyError::TooLarge));
            }
            if !may_hold(total_bytes as u64) {
                return Err(HeldBodyError::OverMemory);
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes.freeze())
    };
    let read = within_ms(limits.body_timeout_ms, reading).await;
    read.unwrap_or(Err(HeldBodyError::Body(BodyError::TooSlow)))
}

/// Receives the rest of a refused body without holding it, so that its caller gets the response.
pub fn discard_body(body: ReceivedBody, most_bytes: usize, timeout_ms: u64) {
    monoio::spawn(within_ms(timeout_ms, discard(body, most_bytes)));
}

/// Receives the rest of a body without holding it.
async fn discard(mut body: ReceivedBody, most_bytes: usize) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > most_bytes {
            return;
        }
    }
}
