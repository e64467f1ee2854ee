//! Frames of peers that send, or read, too slowly.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use borageshore_net::{bind_listener, read_frame, run_event_loop, within_ms, write_frame};

/// Longer than a frame may take.
const LONGEST_MS: u64 = 7_000;
const LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Writes bytes to an address one at a time, in all for longer than a frame may take.
fn write_slowly(address: SocketAddr, begin: &'static [u8]) {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        let _ = stream.write_all(begin);
        while stream.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
}

macro_rules! slow_frames {
    ($($name:ident: $begin:expr;)*) => {
        $(#[test] fn $name() {
            run_event_loop(async {
                let listener = bind_listener("127.0.0.1:0").unwrap();
                write_slowly(listener.local_addr().unwrap(), $begin);
                let (mut stream, _) = listener.accept().await.unwrap();
                let read = within_ms(LONGEST_MS, read_frame(&mut stream, LIMIT_BYTES)).await;
                assert!(matches!(read, Some(Err(_))), "{read:?}");
            });
        })*
    };
}

// Guard against a peer that holds a buffer of the size that it announced, a byte at a time, for ever.
slow_frames! {
    a_payload_a_byte_at_a_time_ends: &[0, 1, 0, 0];
    a_large_payload_a_byte_at_a_time_ends: &[1, 0, 0, 0, 7];
}

// Guards against an answer that waits for ever for a peer that does not read.
#[test]
fn a_peer_that_does_not_read_ends_the_frame() {
    run_event_loop(async {
        let listener = bind_listener("127.0.0.1:0").unwrap();
        let reader = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let payload = vec![0; LIMIT_BYTES];
        let written = within_ms(LONGEST_MS, write_frame(&mut stream, &payload)).await;
        assert!(matches!(written, Some(Err(_))), "{written:?}");
        drop(reader);
    });
}
