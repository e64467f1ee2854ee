//! Listeners belong to one process.

use borageshore_net::{bind_listener, run_event_loop};

// Callers of one daemon get answers of another one, now and then and on some connections only.
// Two processes were started on one address; both bound it, and the kernel dealt the connections
// out among them.
#[test]
fn an_address_is_bound_once() {
    run_event_loop(async {
        let first = bind_listener("127.0.0.1:0").unwrap();
        let address = first.local_addr().unwrap().to_string();
        assert!(bind_listener(&address).is_err());
    });
}
