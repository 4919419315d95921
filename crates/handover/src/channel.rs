//! A Unix socket that carries messages, one JSON object per line, and file descriptors attached to them.

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Most descriptors attached to one message. The limit of the system is 253 (SCM_MAX_FD).
const MAX_DESCRIPTORS: usize = 64;
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Why a message could not be sent or received.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The other process has closed the connection.
    #[error("the other process closed the connection")]
    Gone,
    /// The received data is not a valid message.
    #[error("invalid handover message: {0}")]
    Malformed(String),
    /// An error of the socket.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// One end of the connection between the old and the new node.
pub struct Channel {
    stream: UnixStream,
    /// Bytes received that are not yet parsed.
    received: Vec<u8>,
    /// Descriptors received that are not yet taken.
    descriptors: VecDeque<OwnedFd>,
}

impl Channel {
    /// Creates a channel over a connected socket.
    pub fn new(stream: UnixStream) -> Channel {
        Channel { stream, received: Vec::new(), descriptors: VecDeque::new() }
    }

    /// Sends a message. The descriptors are attached to its first byte.
    ///
    /// # Errors
    /// The socket fails, or there are too many descriptors for one message.
    pub async fn send(
        &self,
        message: &impl Serialize,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), ChannelError> {
        let mut line = serde_json::to_vec(message).map_err(|e| ChannelError::Malformed(e.to_string()))?;
        line.push(b'\n');
        let (mut unsent, mut unsent_descriptors) = (line.as_slice(), descriptors);
        while !unsent.is_empty() {
            self.stream.writable().await?;
            let sent = self.stream.try_io(Interest::WRITABLE, || {
                let mut control = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut ancillary = SendAncillaryBuffer::new(&mut control);
                if !unsent_descriptors.is_empty()
                    && !ancillary.push(SendAncillaryMessage::ScmRights(unsent_descriptors))
                {
                    return Err(io::Error::other("too many descriptors for one message"));
                }
                let data = [IoSlice::new(unsent)];
                Ok(sendmsg(&self.stream, &data, &mut ancillary, SendFlags::NOSIGNAL)?)
            });
            match sent {
                Ok(sent) => {
                    unsent = unsent.get(sent..).unwrap_or_default();
                    unsent_descriptors = &[];
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Receives the next message. Dropping the future loses no data: a partly received message is kept.
    ///
    /// # Errors
    /// The other process has closed the connection, the message is invalid, or the socket fails.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ChannelError> {
        loop {
            if let Some(end) = self.received.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.received.drain(..=end).collect();
                return serde_json::from_slice(&line).map_err(|e| ChannelError::Malformed(e.to_string()));
            }
            if self.received.len() > MAX_MESSAGE_BYTES {
                return Err(ChannelError::Malformed(format!(
                    "no end of line within {MAX_MESSAGE_BYTES} bytes"
                )));
            }
            self.stream.readable().await?;
            let mut buffer = [0_u8; 4096];
            let mut descriptors = Vec::new();
            let received = self.stream.try_io(Interest::READABLE, || {
                let mut control = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut control);
                let mut data = [IoSliceMut::new(&mut buffer)];
                let received =
                    recvmsg(self.stream.as_fd(), &mut data, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(rights) = message {
                        descriptors.extend(rights);
                    }
                }
                Ok(received.bytes)
            });
            match received {
                Ok(0) => return Err(ChannelError::Gone),
                Ok(bytes) => {
                    self.received.extend(buffer.get(..bytes).unwrap_or_default());
                    self.descriptors.extend(descriptors);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Takes the next received descriptor, in the order in which they were sent.
    pub fn descriptor(&mut self) -> Option<OwnedFd> {
        self.descriptors.pop_front()
    }
}
