//! Limits on what the other side of a connection sends: how much of it is read at once, and how many bytes that carry no
//! content.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use monoio::{
    io::poll_io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// What is read of a connection before it pauses: while any task can run, the event loop checks no timer, and hyper
/// reads on as long as bytes arrive. Each read counts as [`READ_COST_BYTES`] more.
const READ_QUANTUM_BYTES: usize = 128 * 1024;
/// See [`READ_QUANTUM_BYTES`].
const READ_COST_BYTES: usize = 1_024;
/// The pause after a quantum, the resolution of the timers. It limits a connection to about 1 Gbit/s.
const PAUSE_MS: u64 = 1;
/// The bytes that may arrive without content: heads with their interim responses, sizes of chunks, trailers, and what
/// hyper has read of the body by then.
const OVERHEAD_BYTES: u64 = 256 * 1024;
/// The bytes that may arrive for each byte of content; a chunk of one byte takes 6.
const BYTES_PER_CONTENT_BYTE: u64 = 8;

/// The number of frames of a body after which its reader pauses as well: in short chunks, a quantum has many of them.
const FRAMES_QUANTUM: usize = 256;

/// The number of bytes that may still be read of a connection; shared with the body that is being read.
#[derive(Debug, Clone)]
pub(crate) struct ReadCredit {
    bytes: Rc<Cell<u64>>,
}

impl ReadCredit {
    pub(crate) fn open() -> Self {
        Self {
            bytes: Rc::new(Cell::new(OVERHEAD_BYTES)),
        }
    }

    /// Starts anew for the next message.
    pub(crate) fn restart(&self) {
        self.bytes.set(OVERHEAD_BYTES);
    }

    fn on_content(&self, content_bytes: usize) {
        let more_bytes = BYTES_PER_CONTENT_BYTE * content_bytes as u64;
        self.bytes.set(self.bytes.get().saturating_add(more_bytes));
    }

    fn on_read(&self, read_bytes: usize) {
        let left_bytes = self.bytes.get().saturating_sub(read_bytes as u64);
        self.bytes.set(left_bytes);
    }

    fn is_used_up(&self) -> bool {
        self.bytes.get() == 0
    }
}

/// A pause in reading, as a timer.
#[derive(Debug, Default)]
struct Pause {
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Pause {
    /// Completes after [`PAUSE_MS`], and starts anew when it is polled again.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let new_sleep = || Box::pin(sleep(Duration::from_millis(PAUSE_MS)));
        let sleep = self.sleep.get_or_insert_with(new_sleep);
        ready!(sleep.as_mut().poll(context));
        self.sleep = None;
        Poll::Ready(())
    }
}

/// The body of a received message.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    credit: ReadCredit,
    unpaused_frames: usize,
    pause: Pause,
}

impl ReceivedBody {
    pub(crate) fn new(body: Incoming, credit: ReadCredit) -> Self {
        Self {
            body,
            credit,
            unpaused_frames: 0,
            pause: Pause::default(),
        }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.unpaused_frames >= FRAMES_QUANTUM {
            ready!(self.pause.poll(context));
            self.unpaused_frames = 0;
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.unpaused_frames += 1;
        if let Some(Ok(frame)) = &frame {
            self.credit
                .on_content(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads a connection within the limits.
#[derive(Debug)]
pub(crate) struct MeteredIo<Io> {
    io: Io,
    credit: ReadCredit,
    unpaused_bytes: usize,
    pause: Pause,
}

impl<Io> MeteredIo<Io> {
    pub(crate) fn new(io: Io, credit: ReadCredit) -> Self {
        Self {
            io,
            credit,
            unpaused_bytes: 0,
            pause: Pause::default(),
        }
    }
}

impl<Io> AsyncRead for MeteredIo<Io>
where
    Io: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.credit.is_used_up() {
            let error = "too many bytes without content";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        if self.unpaused_bytes >= READ_QUANTUM_BYTES {
            ready!(self.pause.poll(context));
            self.unpaused_bytes = 0;
        }
        let filled_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - filled_bytes;
        self.unpaused_bytes += read_bytes + READ_COST_BYTES;
        self.credit.on_read(read_bytes);
        Poll::Ready(Ok(()))
    }
}

impl<Io> AsyncWrite for MeteredIo<Io>
where
    Io: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
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
        Pin::new(&mut self.io).poll_write_vectored(context, buffers)
    }
}
