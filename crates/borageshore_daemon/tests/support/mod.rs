//! What the tests of the daemon share.

use std::{sync::mpsc, thread};

use borageshore_daemon::{Config, Daemon};
use borageshore_net::{run_event_loop, sleep_ms};
use borageshore_standins::{log::LogStandin, vm_list::VmListStandin};

/// Runs a daemon with its stand-ins on a thread of its own for the length of the test process.
pub fn spawn_daemon() -> String {
    let (ready, address) = mpsc::channel();
    thread::spawn(move || {
        run_event_loop(async move {
            let log = LogStandin::bind("127.0.0.1:0").unwrap();
            let list = VmListStandin::bind("127.0.0.1:0", Vec::new(), 0).unwrap();
            let config = format!(
                "name: vm-1\nzone: suva-hall\nhttp_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n\
                 gossip_address: 127.0.0.1:0\nlog_address: {}\nvm_list_address: {}\n\
                 head_timeout_ms: 300\noperator_token: operator\ntrainer_token: trainer\npeer_token: peer\n",
                log.address(),
                list.address()
            );
            let daemon = Daemon::spawn(Config::parse("test", &config).unwrap()).unwrap();
            while daemon.life() != borageshore_daemon::Life::Ready {
                sleep_ms(5).await;
            }
            ready.send(daemon.http_address().to_string()).unwrap();
            daemon.run_until_stopped().await.unwrap();
        });
    });
    address.recv().unwrap()
}
