//! Datagrams between nodes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tracing::warn;

/// A longer datagram breaks the deployment's rules.
const LONGEST: usize = 256;
/// How often a node looks that it still runs; and how long it takes to read what waited, after it did not.
const LOOKS: Duration = Duration::from_millis(250);
/// A node that was stopped for so long has datagrams before it of which nobody can tell how old they are: a message says how
/// old what it tells was when it was sent, and that counts for ten seconds. They are lost, as any may be.
const STOPPED: Duration = Duration::from_secs(1);

/// The other nodes of the tier.
pub struct Peers {
    socket: UdpSocket,
    nodes: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    own: u32,
    /// When this node last ran, as far as this knows.
    ran: Cell<Instant>,
    /// What waited is read by then.
    deaf_until: Cell<Instant>,
}

impl Peers {
    /// Listens at `listen`; `own` is this node's number among `nodes`.
    pub async fn new(
        listen: SocketAddr,
        nodes: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        own: u32,
    ) -> std::io::Result<Peers> {
        let (socket, now) = (UdpSocket::bind(listen).await?, Instant::now());
        Ok(Peers { socket, nodes, all, own, ran: Cell::new(now), deaf_until: Cell::new(now) })
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

    /// The next message of a node of the tier; strangers and overlong datagrams are not heard, nor what waited while this node
    /// was stopped.
    pub async fn receive(&self) -> (u32, Vec<u8>) {
        let mut buffer = [0_u8; LONGEST + 1];
        loop {
            let next = tokio::time::timeout(LOOKS, self.socket.recv_from(&mut buffer)).await;
            let now = Instant::now();
            if now - self.ran.replace(now) >= STOPPED {
                warn!("this node was stopped; what other nodes said meanwhile is not heard");
                self.deaf_until.set(now + LOOKS);
            }
            let Ok(next) = next else { continue };
            if now < self.deaf_until.get() {
                continue;
            }
            let Ok((length, sender)) = next else {
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

    async fn pair(any: SocketAddr) -> std::io::Result<(Peers, Peers)> {
        let mut a = Peers::new(any, Vec::new(), None, 0).await?;
        let mut b = Peers::new(any, Vec::new(), None, 1).await?;
        let nodes = vec![a.socket.local_addr()?, b.socket.local_addr()?];
        (a.nodes, b.nodes) = (nodes.clone(), nodes);
        a.socket.writable().await?;
        b.socket.writable().await?;
        Ok((a, b))
    }

    #[tokio::test]
    async fn what_waited_while_this_node_was_stopped_is_lost() -> std::io::Result<()> {
        let (a, b) = pair(([127, 0, 0, 1], 0).into()).await?;
        let limit = Duration::from_secs(5);
        a.send(Some(1), b"before");
        assert_eq!(tokio::time::timeout(limit, b.receive()).await?, (0, b"before".to_vec()));
        (0..9).for_each(|_| a.send(Some(1), b"old"));
        b.ran.set(b.ran.get().checked_sub(STOPPED).unwrap_or_else(Instant::now));
        assert!(tokio::time::timeout(LOOKS * 2, b.receive()).await.is_err(), "old ones are not heard");
        a.send(Some(1), b"new");
        assert_eq!(tokio::time::timeout(limit, b.receive()).await?, (0, b"new".to_vec()));
        Ok(())
    }

    /// The decisions are what sends messages; the way out is tried here without them.
    #[tokio::test]
    async fn messages_go_both_ways_and_strangers_are_not_heard() -> std::io::Result<()> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (a, b) = pair(any).await?;
        let stranger = UdpSocket::bind(any).await?;
        stranger.send_to(b"not of the tier", b.socket.local_addr()?).await?;
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
