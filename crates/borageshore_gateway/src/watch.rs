//! Heartbeats between daemons, over UDP.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_membership::HEARTBEAT_INTERVAL_MS;
use borageshore_net::{ReceivePace, sleep_ms};
use borageshore_wire::{WireHeartbeat, decode, encode};
use monoio::net::udp::UdpSocket;

use crate::{feed::Feed, members::Members};

/// Size of the receive buffer; a heartbeat is a name and two numbers.
const DATAGRAM_BYTES: usize = 512;
/// Delay after a failed read of the socket.
const RECEIVE_RETRY_MS: u64 = 10;

/// Sends this daemon's heartbeats to its watchers and suspects the daemons that it watches when their heartbeats stop.
#[derive(Debug)]
pub(crate) struct Watch {
    members: Rc<Members>,
    feed: Rc<Feed>,
    socket: UdpSocket,
}

impl Watch {
    /// Binds the address and spawns the tasks that send heartbeats and receive those of others.
    pub(crate) fn bind(address: &str, members: Rc<Members>, feed: Rc<Feed>) -> io::Result<()> {
        let socket = UdpSocket::bind(address)?;
        let watch = Rc::new(Self {
            members,
            feed,
            socket,
        });
        monoio::spawn(watch.clone().check_members());
        monoio::spawn(watch.receive());
        Ok(())
    }

    async fn check_members(self: Rc<Self>) {
        let mut counter = 0;
        loop {
            let check = self.members.check_watched();
            counter += 1;
            self.send_heartbeats(&check.watchers, counter).await;
            if !check.silent.is_empty() {
                let watch = self.clone();
                monoio::spawn(
                    async move { watch.members.suspect(&watch.feed, &check.silent).await },
                );
            }
            sleep_ms(HEARTBEAT_INTERVAL_MS).await;
        }
    }

    async fn send_heartbeats(&self, watchers: &[Arc<str>], counter: i64) {
        let (name, incarnation) = self.members.own_identity();
        let heartbeat = WireHeartbeat::new(name.to_string(), incarnation as i64, counter);
        let Ok(datagram) = encode(&heartbeat) else {
            return;
        };
        for watcher in watchers {
            let Ok(address) = watcher.parse::<SocketAddr>() else {
                continue;
            };
            let (sent, _) = self.socket.send_to(datagram.clone(), address).await;
            if let Err(error) = sent {
                log::debug!(watcher = &**watcher, error:% = error; "heartbeat not sent");
            }
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES];
        let mut pace = ReceivePace::default();
        loop {
            pace.on_message().await;
            let (received, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            match received {
                Ok((length, _)) => self.on_datagram(&buffer[..length]),
                Err(error) => {
                    log::debug!(error:% = error; "reading heartbeats failed; retrying");
                    sleep_ms(RECEIVE_RETRY_MS).await;
                }
            }
        }
    }

    fn on_datagram(&self, datagram: &[u8]) {
        match decode::<WireHeartbeat>(datagram) {
            Ok(heartbeat) => self
                .members
                .on_heartbeat(&heartbeat.name, heartbeat.incarnation as u64),
            Err(error) => log::debug!(error:% = error; "ignoring an invalid heartbeat"),
        }
    }
}
