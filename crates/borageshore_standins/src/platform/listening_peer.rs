//! A fake daemon that records what other daemons send to its address for callers, and refuses it.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc};

use borageshore_net::{EdgeRequest, EdgeResponse, Handler, HttpServer, read_body};
use bytes::Bytes;

use crate::http::{limits, status};

/// A running fake daemon. It is known to others only by records that a test writes.
#[derive(Debug, Clone)]
pub struct ListeningPeer {
    bodies: Rc<RefCell<Vec<Bytes>>>,
    server: HttpServer,
}

#[derive(Debug, Clone)]
struct Service(Rc<RefCell<Vec<Bytes>>>);

impl ListeningPeer {
    /// Starts it on a free port.
    pub fn bind() -> io::Result<Self> {
        let bodies = Rc::new(RefCell::default());
        let server = HttpServer::bind("127.0.0.1:0", limits(), Service(bodies.clone()))?;
        Ok(Self { bodies, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The bodies of all requests, in order of arrival.
    pub fn bodies(&self) -> Vec<Bytes> {
        self.bodies.borrow().clone()
    }
}

impl Handler for Service {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        if let Ok(body) = read_body(request.into_body(), limits()).await {
            self.0.borrow_mut().push(body);
        }
        status(503)
    }
}
