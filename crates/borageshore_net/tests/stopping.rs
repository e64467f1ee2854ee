//! Graceful shutdown: a stopping server answers every connection it accepted.

use std::net::SocketAddr;

use borageshore_net::{
    Connection, EdgeRequest, EdgeResponse, Handler, HttpClient, HttpServer, ServerLimits, Timeouts,
    full_body, run_event_loop, sleep_ms,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::CONNECTION};

const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 1_000,
};
/// Enough time for a connection to be accepted or closed.
const SETTLED_MS: u64 = 50;

struct Echo;

impl Handler for Echo {
    async fn handle(&self, _request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        Response::new(full_body("answer"))
    }
}

fn bind() -> (HttpServer, String) {
    let server = HttpServer::bind("127.0.0.1:0", ServerLimits::default(), Echo).unwrap();
    let address = server.address().to_string();
    (server, address)
}

async fn connect(address: &str) -> Connection {
    HttpClient::open().connect(address, TIMEOUTS).await.unwrap()
}

/// Sends a request; returns whether the response closes the connection.
async fn ask(connection: &mut Connection) -> bool {
    let request = Request::get("/").header("host", "stopping.example");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let sent = HttpClient::open().send(connection, request, TIMEOUTS).await;
    let response = sent.expect("everybody who reached the server is answered");
    response
        .headers()
        .get(CONNECTION)
        .is_some_and(|value| value == "close")
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() { run_event_loop(async $body) })*
    };
}

cases! {
    // Guards against closing a connection that is opened during shutdown before its request is read.
    a_connection_that_is_opened_while_the_server_stops_is_answered => {
        let (server, address) = bind();
        server.stop_gracefully();
        let mut connection = connect(&address).await;
        sleep_ms(SETTLED_MS).await;
        assert!(ask(&mut connection).await);
    }

    // Guards against closing a connection whose first request has not arrived when shutdown begins.
    a_connection_that_waits_for_its_first_request_is_answered => {
        let (server, address) = bind();
        let mut connection = connect(&address).await;
        sleep_ms(SETTLED_MS).await;
        server.stop_gracefully();
        sleep_ms(SETTLED_MS).await;
        assert!(ask(&mut connection).await);
    }

    // Guards against resetting connections that are still in the accept queue.
    a_connection_that_is_not_accepted_yet_is_answered_after_the_end_of_listening => {
        let (server, address) = bind();
        let (first, second) = (std::net::TcpStream::connect(&address), std::net::TcpStream::connect(&address));
        server.stop_gracefully();
        server.close();
        sleep_ms(SETTLED_MS).await;
        assert_eq!(server.open_connections(), 2);
        drop((first, second));
        sleep_ms(SETTLED_MS).await;
        assert_eq!(server.open_connections(), 0);
    }

    // A closed server refuses connections, so that callers fail over at once.
    nobody_connects_to_a_closed_server => {
        let (server, address) = bind();
        server.close();
        sleep_ms(SETTLED_MS).await;
        assert!(HttpClient::open().connect(&address, TIMEOUTS).await.is_err());
    }

    // Shutdown must not wait for callers to close their idle connections.
    an_idle_connection_ends_as_the_server_stops => {
        let (server, address) = bind();
        let mut connection = connect(&address).await;
        assert!(!ask(&mut connection).await);
        server.stop_gracefully();
        sleep_ms(SETTLED_MS).await;
        assert_eq!(server.open_connections(), 0);
    }
}
