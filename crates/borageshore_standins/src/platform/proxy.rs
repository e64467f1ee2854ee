//! A loopback TCP proxy that delays, stalls or closes connections.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use borageshore_net::{bind_listener, sleep_ms};
use futures_util::future::{Either, select};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use tokio::sync::Notify;

/// Maximum bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which a stalled connection checks whether it may continue.
const RECHECK_INTERVAL_MS: u64 = 20;

/// The forms of answers without end, each a beginning and what is repeated.
const ENDLESS_RESPONSES: [(&str, &str); 4] = [
    ("", "no answer at all "),
    ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nx-server-stamp: x\r\n\r\n", "body"),
    (
        "HTTP/1.1 200 OK\r\nx-weight-versions: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\n:\n\n\n\r\n",
    ),
];
/// The pause of an answer without end after each chunk, which leaves time for other work.
const ENDLESS_PAUSE_MS: u64 = 2;

const UNAVAILABLE_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// No fault: all bytes are forwarded.
    Pass,
    /// Delays bytes by this many ms.
    Delay(u64),
    /// Holds all bytes of both directions until the mode changes.
    Silent,
    /// Forwards requests and holds responses until the mode changes.
    AnswersHeld,
    /// Closes open connections, and new ones at once.
    Reset,
    /// Closes open connections and answers requests on new ones with 503.
    Busy,
    /// Closes open connections, and writes bytes without end to new ones until they are closed.
    Endless,
}

#[derive(Debug)]
struct Shared {
    address: Cell<SocketAddr>,
    target: SocketAddr,
    /// Notified when the proxy stops listening.
    closed: Notify,
    mode: Cell<ProxyMode>,
    /// Connections of earlier generations are stalled permanently.
    generation: Cell<u64>,
    /// Bytes to look for in responses, and how often they were forwarded.
    marker: RefCell<Vec<u8>>,
    markers_seen: Cell<usize>,
    endless_answers: Cell<usize>,
}

impl Shared {
    /// Counts the marker in forwarded bytes; `tail` holds what the last bytes may have begun.
    fn look_for_marker(&self, tail: &mut Vec<u8>, bytes: &[u8]) {
        let marker = self.marker.borrow();
        if marker.is_empty() {
            return;
        }
        tail.extend_from_slice(bytes);
        let found = tail.windows(marker.len()).filter(|part| *part == *marker);
        self.markers_seen
            .set(self.markers_seen.get() + found.count());
        let kept_from = tail.len().saturating_sub(marker.len() - 1);
        tail.drain(..kept_from);
    }
}

/// A running proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    shared: Rc<Shared>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy for `target` on a free port.
    pub fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = bind_listener("127.0.0.1:0")?;
        let shared = Rc::new(Shared {
            address: Cell::new(listener.local_addr()?),
            target,
            closed: Notify::new(),
            mode: Cell::new(ProxyMode::Pass),
            generation: Cell::new(0),
            marker: RefCell::default(),
            markers_seen: Cell::new(0),
            endless_answers: Cell::new(0),
        });
        monoio::spawn(accept(listener, shared.clone()));
        Ok(Self { shared })
    }

    /// Closes open connections and stops listening, like a process that crashes.
    pub fn close(&self) {
        self.shared.mode.set(ProxyMode::Reset);
        self.shared.closed.notify_waiters();
    }

    /// Listens again, on another free port.
    pub fn reopen(&self) -> io::Result<()> {
        let listener = bind_listener("127.0.0.1:0")?;
        self.shared.address.set(listener.local_addr()?);
        self.shared.mode.set(ProxyMode::Pass);
        monoio::spawn(accept(listener, self.shared.clone()));
        Ok(())
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address.get()
    }

    /// Sets the fault of all connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.shared.mode.set(mode);
    }

    /// Counts how often responses contain these bytes from now on.
    pub fn look_for(&self, marker: &[u8]) {
        self.shared.marker.replace(marker.into());
    }

    /// The number of connections that were answered without end.
    pub fn endless_answers(&self) -> usize {
        self.shared.endless_answers.get()
    }

    /// How often responses contained the bytes of [`Proxy::look_for`].
    pub fn markers_seen(&self) -> usize {
        self.shared.markers_seen.get()
    }

    /// Stalls all open connections permanently; new ones work.
    pub fn stall_open_connections(&self) {
        self.shared.generation.set(self.shared.generation.get() + 1);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let closed = shared.closed.notified();
        let accepted = match select(pin!(listener.accept()), pin!(closed)).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        let Ok((caller, _)) = accepted else {
            sleep_ms(RECHECK_INTERVAL_MS).await;
            continue;
        };
        if shared.mode.get() == ProxyMode::Reset {
            continue;
        }
        if shared.mode.get() == ProxyMode::Busy {
            monoio::spawn(answer_unavailable(caller));
            continue;
        }
        if shared.mode.get() == ProxyMode::Endless {
            let number = shared.endless_answers.get();
            shared.endless_answers.set(number + 1);
            let form = ENDLESS_RESPONSES[number % ENDLESS_RESPONSES.len()];
            monoio::spawn(answer_endlessly(caller, form));
            continue;
        }
        let target = shared.target;
        let shared = shared.clone();
        monoio::spawn(async move {
            if let Ok(target) = TcpStream::connect_addr(target).await {
                relay(caller, target, shared).await;
            }
        });
    }
}

async fn answer_unavailable(mut caller: TcpStream) {
    let (read, _) = caller.read(vec![0_u8; CHUNK_BYTES]).await;
    if read.is_ok_and(|count| count > 0) {
        let (_, _) = caller.write_all(UNAVAILABLE_RESPONSE).await;
    }
}

async fn answer_endlessly(mut caller: TcpStream, (begin, repeat): (&str, &str)) {
    let (read, _) = caller.read(vec![0_u8; CHUNK_BYTES]).await;
    let mut written = read.map(|_| ());
    let mut block = begin.to_owned();
    while written.is_ok() {
        block.push_str(&repeat.repeat(CHUNK_BYTES / repeat.len()));
        let bytes = std::mem::take(&mut block).into_bytes();
        written = caller.write_all(bytes).await.0.map(|_| ());
        sleep_ms(ENDLESS_PAUSE_MS).await;
    }
}

async fn relay(caller: TcpStream, target: TcpStream, shared: Rc<Shared>) {
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let generation = shared.generation.get();
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let answers = relay_direction(
        from_target,
        to_caller,
        Direction::Answer,
        shared.clone(),
        generation,
    );
    monoio::spawn(answers);
    relay_direction(
        from_caller,
        to_target,
        Direction::Request,
        shared,
        generation,
    )
    .await;
}

async fn relay_direction<From, To>(
    mut from: From,
    mut to: To,
    direction: Direction,
    shared: Rc<Shared>,
    generation: u64,
) where
    From: AsyncReadRent,
    To: AsyncWriteRentExt + monoio::io::AsyncWriteRent,
{
    let mut tail = Vec::new();
    loop {
        let (read, buffer) = from.read(vec![0_u8; CHUNK_BYTES]).await;
        let Ok(count) = read else { break };
        loop {
            let is_stalled = shared.generation.get() != generation;
            match shared.mode.get() {
                ProxyMode::Reset | ProxyMode::Busy | ProxyMode::Endless => return,
                ProxyMode::Delay(ms) if !is_stalled => {
                    sleep_ms(ms).await;
                    break;
                }
                ProxyMode::Pass if !is_stalled => break,
                ProxyMode::AnswersHeld if direction == Direction::Request && !is_stalled => break,
                _ => sleep_ms(RECHECK_INTERVAL_MS).await,
            }
        }
        if count == 0 {
            break;
        }
        let mut buffer = buffer;
        buffer.truncate(count);
        if direction == Direction::Answer {
            shared.look_for_marker(&mut tail, &buffer);
        }
        let (written, _) = to.write_all(buffer).await;
        if written.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
