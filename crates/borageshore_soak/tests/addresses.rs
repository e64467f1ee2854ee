//! Addresses that daemons of a test listen on.

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use borageshore_soak::{free_address, spawn_daemon};

const SPAWNING_THREADS: usize = 8;
const ADDRESSES: usize = 20_000;

// Guards against daemons that find their address in use, because a process that another test spawned at that moment has a
// copy of the socket with which the address was tried.
#[test]
fn an_address_can_be_bound_while_other_processes_are_spawned() {
    let is_over = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut child = spawn_daemon(&mut Command::new("true")).unwrap();
                    child.wait().unwrap();
                }
            });
        }
        let is_in_use = |_: &usize| TcpListener::bind(free_address().unwrap()).is_err();
        let in_use = (0..ADDRESSES).filter(is_in_use).count();
        is_over.store(true, Ordering::Relaxed);
        in_use
    });
    assert_eq!(in_use, 0);
}
