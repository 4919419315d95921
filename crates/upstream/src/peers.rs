//! Datagrams between nodes.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tracing::warn;

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
            warn!(bytes = bytes.len(), longest = LONGEST, "message not sent");
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

    /// The next message of a node of the tier; strangers and overlong datagrams are not heard.
    pub async fn receive(&self) -> (u32, Vec<u8>) {
        let mut buffer = [0_u8; LONGEST + 1];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                // Such as a peer that is down: the system says so of an earlier send.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let from = self.nodes.iter().zip(0_u32..).find(|(address, _)| **address == sender);
            if let (Some((_, from)), Some(bytes)) = (from, buffer.get(..length))
                && length <= LONGEST
            {
                return (from, bytes.to_vec());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The decisions send no messages yet, so the way out is tried here rather than on the whole node.
    #[tokio::test]
    async fn messages_go_both_ways_and_strangers_are_not_heard() -> std::io::Result<()> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut a = Peers::new(any, Vec::new(), None, 0).await?;
        let mut b = Peers::new(any, Vec::new(), None, 1).await?;
        let stranger = UdpSocket::bind(any).await?;
        let nodes = vec![a.socket.local_addr()?, b.socket.local_addr()?];
        (a.nodes, b.nodes) = (nodes.clone(), nodes.clone());
        stranger.send_to(b"not of the tier", nodes[1]).await?;
        a.send(Some(1), &[7; LONGEST + 1]);
        a.send(Some(9), b"nobody");
        a.send(None, b"to all others");
        b.send(Some(0), b"back");
        let heard =
            tokio::time::timeout(Duration::from_secs(5), async { (b.receive().await, a.receive().await) });
        let (at_b, at_a) = heard.await?;
        assert_eq!(at_b, (0, b"to all others".to_vec()));
        assert_eq!(at_a, (1, b"back".to_vec()));
        Ok(())
    }
}
