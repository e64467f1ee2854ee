//! The memory of a body in short chunks; alone in its process, whose memory is measured.

use std::{io::Write, net::SocketAddr, net::TcpStream, thread};

use borageshore_net::{
    EdgeRequest, EdgeResponse, Handler, HttpServer, ServerLimits, full_body, read_body,
    run_event_loop, sleep_ms,
};
use hyper::Response;

const BODY_BYTES: usize = 512 * 1024;
/// The body, a buffer that is about to be replaced by a larger one, and what the test needs.
const MOST_BYTES: u64 = 8 * 1024 * 1024;

struct ReadsBodies;

impl Handler for ReadsBodies {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let read = read_body(request.into_body(), LIMITS).await;
        let read = read.map(|body| body.len());
        assert_eq!(read, Ok(BODY_BYTES));
        Response::new(full_body("read"))
    }
}

const LIMITS: ServerLimits = ServerLimits {
    connections: 4,
    head_bytes: 16 * 1024,
    body_bytes: BODY_BYTES,
    head_timeout_ms: 60_000,
    body_timeout_ms: 60_000,
};

fn most_memory_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb * 1024
}

// Guards against a body of a byte a chunk that takes many times its size.
#[test]
fn a_body_in_short_chunks_takes_little_more_than_its_size() {
    run_event_loop(async {
        let server = HttpServer::bind("127.0.0.1:0", LIMITS, ReadsBodies).unwrap();
        let address = server.address();
        let before_bytes = most_memory_bytes();
        let writing = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            let head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
            stream.write_all(head).unwrap();
            let block = "1\r\nx\r\n".repeat(1024);
            for _ in 0..BODY_BYTES / 1024 {
                stream.write_all(block.as_bytes()).unwrap();
            }
            stream.write_all(b"0\r\n\r\n").unwrap();
            std::io::Read::read(&mut stream, &mut [0; 64]).unwrap()
        });
        while !writing.is_finished() {
            sleep_ms(10).await;
        }
        assert!(writing.join().unwrap() > 0, "the request was not answered");
        let grown_bytes = most_memory_bytes() - before_bytes;
        assert!(grown_bytes < MOST_BYTES, "{grown_bytes} bytes");
    });
}
