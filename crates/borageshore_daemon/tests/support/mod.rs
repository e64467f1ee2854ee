//! Shared helpers of the daemon's tests.

// Each test binary uses only some of the helpers.
#![allow(dead_code)]

use std::{sync::mpsc, thread};

use borageshore_daemon::{Config, Daemon, Phase};
use borageshore_net::{run_event_loop, sleep_ms};
use borageshore_standins::{
    log::LogStandin,
    vm_list::{Vm, VmListStandin},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// Runs a daemon with its stand-ins on a separate thread until the test process ends; returns its
/// HTTP address.
pub fn spawn_daemon() -> String {
    let (ready, address) = mpsc::channel();
    thread::spawn(move || {
        run_event_loop(async move {
            ready.send(open_daemon(Vec::new()).await).unwrap();
            std::future::pending::<()>().await;
        });
    });
    address.recv().unwrap()
}

/// Runs a daemon in front of these endpoints on the current event loop and waits until it is ready;
/// returns its HTTP address.
pub async fn open_daemon(vms: Vec<Vm>) -> String {
    let log = LogStandin::bind("127.0.0.1:0").unwrap();
    let list = VmListStandin::bind("127.0.0.1:0", vms, 0).unwrap();
    let config = format!(
        "name: vm-1\nzone: suva-hall\nhttp_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n\
         gossip_address: 127.0.0.1:0\nlog_address: {}\nvm_list_address: {}\n\
         head_timeout_ms: 300\noperator_token: operator\ntrainer_token: trainer\npeer_token: peer\n",
        log.address(),
        list.address()
    );
    let daemon = Daemon::spawn(Config::parse("test", &config).unwrap()).unwrap();
    while daemon.phase() != Phase::Ready {
        sleep_ms(5).await;
    }
    let address = daemon.http_address().to_string();
    spawn_until_stopped(daemon);
    address
}

fn spawn_until_stopped(daemon: std::rc::Rc<Daemon>) {
    monoio::spawn(async move { daemon.run_until_stopped().await });
}

/// A request with a JSON body and the operator token.
pub fn operator_request(path: &str, body: &serde_json::Value) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("authorization", "Bearer operator")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap()
}
