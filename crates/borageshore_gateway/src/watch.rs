//! Heartbeats among daemons, over UDP.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_membership::HEARTBEAT_INTERVAL_MS;
use borageshore_net::sleep_ms;
use borageshore_wire::{WireHeartbeat, decode, encode};
use monoio::net::udp::UdpSocket;

use crate::{members::Members, store_transport::Store};

/// A heartbeat is a name and two numbers.
const DATAGRAM_BYTES: usize = 512;
/// The pause after a failed read of the socket.
const RECEIVE_AGAIN_MS: u64 = 10;

/// This daemon's part in watching.
#[derive(Debug)]
pub(crate) struct Watch {
    members: Rc<Members>,
    store: Store,
    socket: UdpSocket,
}

impl Watch {
    /// Binds an address, sends heartbeats from there, and looks for those of others.
    pub(crate) fn bind(address: &str, members: Rc<Members>, store: Store) -> io::Result<()> {
        let socket = UdpSocket::bind(address)?;
        let watch = Rc::new(Self {
            members,
            store,
            socket,
        });
        monoio::spawn(watch.clone().look());
        monoio::spawn(watch.receive());
        Ok(())
    }

    async fn look(self: Rc<Self>) {
        let mut counter = 0;
        loop {
            let look = self.members.check_watched();
            counter += 1;
            self.send_heartbeats(&look.watchers, counter).await;
            if !look.silent.is_empty() {
                let watch = self.clone();
                monoio::spawn(
                    async move { watch.members.suspect(&watch.store, &look.silent).await },
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
                log::debug!(watcher = &**watcher, error:% = error; "a heartbeat is not sent");
            }
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES];
        loop {
            let (received, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            match received {
                Ok((length, _)) => self.on_datagram(&buffer[..length]),
                Err(error) => {
                    log::debug!(error:% = error; "heartbeats cannot be read");
                    sleep_ms(RECEIVE_AGAIN_MS).await;
                }
            }
        }
    }

    fn on_datagram(&self, datagram: &[u8]) {
        match decode::<WireHeartbeat>(datagram) {
            Ok(heartbeat) => self
                .members
                .on_heartbeat(&heartbeat.name, heartbeat.incarnation as u64),
            Err(error) => log::debug!(error:% = error; "a datagram is no heartbeat"),
        }
    }
}
