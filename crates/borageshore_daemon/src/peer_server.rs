//! The server for requests from other daemons (peers).

use std::{io, rc::Rc};

use borageshore_base::{Fault, ResultCode};
use borageshore_net::{ReceivePace, bind_listener, read_frame, sleep_ms, within_ms, write_frame};
use borageshore_wire::{
    CallReply, FollowReply, MAX_FRAME_BYTES, PeerReply, PeerRequest, PullReply, SampleReply,
    decode, encode,
};
use monoio::net::{TcpListener, TcpStream};

use crate::{addresses, calls, daemon::Daemon, gossip, jobs, samples, stream::END_OFFSET_UNKNOWN};

/// How long a new connection may take to send its token.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;
/// Maximum length of a token.
const MAX_TOKEN_BYTES: usize = 1_024;

/// Binds the peer address and accepts connections until the process ends.
pub(crate) fn bind(daemon: &Rc<Daemon>) -> io::Result<()> {
    let listener = bind_listener(&daemon.config.peer_address)?;
    monoio::spawn(accept_loop(daemon.clone(), listener));
    Ok(())
}

async fn accept_loop(daemon: Rc<Daemon>, listener: TcpListener) {
    let mut pace = ReceivePace::default();
    loop {
        pace.on_message().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve(daemon.clone(), stream));
            }
            Err(_) => sleep_ms(50).await,
        }
    }
}

async fn serve(daemon: Rc<Daemon>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let handshake = within_ms(
        HANDSHAKE_TIMEOUT_MS,
        read_frame(&mut stream, MAX_TOKEN_BYTES),
    )
    .await;
    let Some(Ok(token)) = handshake else {
        return;
    };
    if !daemon.config.peer_token.matches(&token) {
        log::warn!("closing a peer connection: wrong peer token");
        return;
    }
    while let Ok(frame) = read_frame(&mut stream, MAX_FRAME_BYTES).await {
        let Ok(request) = decode::<PeerRequest>(&frame) else {
            log::warn!("closing a peer connection: request frame cannot be decoded");
            return;
        };
        let reply = answer(&daemon, request).await;
        let Ok(payload) = encode(&reply) else {
            return;
        };
        if write_frame(&mut stream, &payload).await.is_err() {
            return;
        }
    }
}

async fn answer(daemon: &Rc<Daemon>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Follow(request) if request.stream == *daemon.settings.name => {
            PeerReply::Follow(daemon.settings.serve_follow(daemon, &request).await)
        }
        PeerRequest::Follow(request) if request.stream == *daemon.leases.name => {
            PeerReply::Follow(daemon.leases.serve_follow(daemon, &request).await)
        }
        PeerRequest::Follow(_) => PeerReply::Follow(FollowReply::new(
            0,
            END_OFFSET_UNKNOWN,
            Vec::new(),
            None,
            None,
            0,
        )),
        PeerRequest::Addresses(request) => {
            PeerReply::Addresses(addresses::on_peer_addresses(daemon, &request))
        }
        PeerRequest::Members(_) => PeerReply::Members(gossip::on_peer_members(daemon)),
        PeerRequest::Call(request) => PeerReply::Call(calls::on_peer_call(daemon, request).await),
        PeerRequest::Sample(request) => {
            PeerReply::Sample(samples::on_peer_sample(daemon, request).await)
        }
        PeerRequest::Pull(request) => PeerReply::Pull(jobs::on_peer_pull(daemon, request).await),
    }
}

/// The reply to a failed call.
pub(crate) fn failed_call(fault: Fault) -> CallReply {
    CallReply {
        code: i32::from(fault.code.number()),
        status: i32::from(fault.code.http_status()),
        content_type: "text/plain".into(),
        body: Vec::new(),
        detail: fault.detail,
    }
}

/// The reply to a failed request for a sample.
pub(crate) fn failed_sample(fault: Fault) -> SampleReply {
    SampleReply {
        code: i32::from(fault.code.number()),
        detail: fault.detail,
        tokens: Vec::new(),
        segments: Vec::new(),
        score: None,
    }
}

/// The reply to a failed pull.
pub(crate) fn failed_pull(code: ResultCode) -> PullReply {
    PullReply {
        code: i32::from(code.number()),
        body: String::new(),
    }
}
