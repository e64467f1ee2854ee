//! Datagrams that arrive faster than they are handled.

use std::{
    net::UdpSocket as StdSocket,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use borageshore_net::{ReceivePace, run_event_loop, sleep_ms};
use monoio::net::udp::UdpSocket;

/// After this time the senders stop, so that a fault fails the test instead of blocking it.
const FLOOD_MS: u64 = 3_000;

// Guards against a process that handles nothing but datagrams, and sends no heartbeat, while they arrive without end.
#[test]
fn timers_run_beside_a_flood_of_datagrams() {
    run_event_loop(async {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let is_over = Arc::new(AtomicBool::new(false));
        for _ in 0..4 {
            let is_over = is_over.clone();
            thread::spawn(move || {
                let sender = StdSocket::bind("127.0.0.1:0").unwrap();
                let started_at = Instant::now();
                while !is_over.load(Ordering::Relaxed)
                    && started_at.elapsed() < Duration::from_millis(FLOOD_MS)
                {
                    let _ = sender.send_to(&[0; 64], address);
                }
            });
        }
        monoio::spawn(async move {
            let mut buffer = vec![0; 512];
            let mut pace = ReceivePace::default();
            loop {
                pace.on_message().await;
                let (received, returned) = socket.recv_from(buffer).await;
                buffer = returned;
                assert!(received.is_ok());
                // Stands for what a message takes to be handled.
                thread::sleep(Duration::from_micros(50));
            }
        });
        let mut longest = Duration::ZERO;
        for _ in 0..20 {
            let before = Instant::now();
            sleep_ms(10).await;
            longest = longest.max(before.elapsed());
        }
        is_over.store(true, Ordering::Relaxed);
        assert!(longest < Duration::from_millis(500), "{longest:?}");
    });
}
