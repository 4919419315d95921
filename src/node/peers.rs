//! Datagrams between nodes.

use crate::driver::{Driver, Input};
use crate::log;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// A longer datagram breaks the deployment's rules.
const LONGEST: usize = 256;

/// The other nodes of the tier.
pub struct Peers {
    socket: UdpSocket,
    nodes: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    own: u32,
}

impl Peers {
    /// Listens at `listen`; `own` is this node's number among `nodes`.
    pub async fn new(
        listen: SocketAddr,
        nodes: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        own: u32,
    ) -> std::io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, nodes, all, own })
    }

    /// Sends to one node or to all others. A message that cannot go is lost, as any may be.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > LONGEST {
            log::line(&format!("message of {} bytes not sent", bytes.len()));
            return;
        }
        let node = |n: u32| self.nodes.get(n as usize).copied();
        let others = || {
            let others = self.nodes.iter().zip(0_u32..).filter(|(_, n)| *n != self.own);
            others.map(|(address, _)| *address).collect()
        };
        let targets: Vec<SocketAddr> = match to {
            Some(n) => node(n).into_iter().collect(),
            None => self.all.map_or_else(others, |all| vec![all]),
        };
        for target in targets {
            let _ = self.socket.try_send_to(bytes, target);
        }
    }

    /// Hands on what arrives from nodes of the tier; strangers are not heard.
    pub async fn listen(&self, driver: &Rc<Driver>) {
        let mut buffer = [0_u8; LONGEST + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => {
                    let from = self.nodes.iter().zip(0_u32..).find(|(address, _)| **address == sender);
                    if let (Some((_, from)), Some(bytes)) = (from, buffer.get(..length))
                        && length <= LONGEST
                    {
                        driver.take(Input::Message(from, bytes.to_vec()));
                    }
                }
                // Such as a peer that is down: it says so of an earlier send.
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }
}
