//! A fake weight store that serves one load at a time.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use borageshore_net::{
    Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, json_response, sleep_ms,
};

use crate::http;

/// A running weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreStandin {
    load_ms: u64,
    free_at_ms: Rc<Cell<u64>>,
    loads: Rc<Cell<u64>>,
    clock: Clock,
}

impl WeightStoreStandin {
    /// Binds an address; each load occupies the store for `load_ms`.
    pub fn bind(address: &str, load_ms: u64) -> io::Result<HttpServer> {
        let store = Self {
            load_ms,
            free_at_ms: Rc::default(),
            loads: Rc::default(),
            clock: Clock::start(),
        };
        HttpServer::bind(address, http::limits(), store)
    }
}

impl Handler for WeightStoreStandin {
    async fn handle(&self, _request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let now_ms = self.clock.now_ms();
        let done_at_ms = self.free_at_ms.get().max(now_ms) + self.load_ms;
        self.free_at_ms.set(done_at_ms);
        sleep_ms(done_at_ms - now_ms).await;
        self.loads.set(self.loads.get() + 1);
        json_response(200, &self.loads.get())
    }
}
