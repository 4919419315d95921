//! Bodies of answers: of this node's own or of a backend, whole or as they come.

use applemill_upstream::{StreamItem, StreamReader};
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A body on its way to a client. `H` is what is held until it has left.
pub enum OutgoingBody<H> {
    /// All of it.
    Whole(Bytes),
    /// As it comes.
    Coming {
        /// Where from.
        drain: StreamReader,
        /// What is left of its length, where that is told.
        left: Option<u64>,
        /// Its end has come.
        over: bool,
        /// Held until it has left.
        held: Option<H>,
    },
}

/// A body was cut short, and its client must see that.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("cut short")]
pub struct CutShort;

impl<H> OutgoingBody<H> {
    /// Has something held until it has left; a whole one needs that no longer.
    pub fn hold(&mut self, until_left: H) {
        if let OutgoingBody::Coming { held, .. } = self {
            *held = Some(until_left);
        }
    }
}

impl<H: Unpin> Body for OutgoingBody<H> {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match self.get_mut() {
            OutgoingBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            OutgoingBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            OutgoingBody::Coming { over: true, .. } => Poll::Ready(None),
            OutgoingBody::Coming { drain, left, over, .. } => match ready!(drain.poll_next(cx)) {
                StreamItem::Data(bytes) => {
                    *left = left.map(|left| left.saturating_sub(bytes.len() as u64));
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                StreamItem::End(trailers) => {
                    *over = true;
                    Poll::Ready(
                        Some(trailers)
                            .filter(|t: &HeaderMap| !t.is_empty())
                            .map(|t| Ok(Frame::trailers(t))),
                    )
                }
                StreamItem::Cut(_) => Poll::Ready(Some(Err(CutShort))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Whole(bytes) => bytes.is_empty(),
            OutgoingBody::Coming { over, left, .. } => *over || *left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            OutgoingBody::Coming { left: Some(left), .. } => SizeHint::with_exact(*left),
            OutgoingBody::Coming { left: None, .. } => SizeHint::default(),
        }
    }
}
