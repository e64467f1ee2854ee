//! Listeners bind their address exclusively.

use borageshore_net::{bind_listener, run_event_loop};

// Two processes that bind the same address would each get some of the connections.
#[test]
fn an_address_is_bound_once() {
    run_event_loop(async {
        let first = bind_listener("127.0.0.1:0").unwrap();
        let address = first.local_addr().unwrap().to_string();
        assert!(bind_listener(&address).is_err());
    });
}
