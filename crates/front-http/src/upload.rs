//! A request's body on its way from its client's connection into a stream, as fast as the stream takes it.

use crate::request::{TOO_LONG, Turned, wrong};
use applemill_answers::may_trail;
use applemill_flow::Cut;
use applemill_upstream::Feed;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};
use std::future::poll_fn;

/// A body that is still coming.
pub struct Upload {
    /// Where from. Nothing of it is asked for before [`Upload::run`], and so is no `100 Continue` sent.
    pub body: Incoming,
    /// Where to.
    pub feed: Feed,
    /// It comes in chunks.
    pub chunked: bool,
}

impl Upload {
    /// Passes it on to its end, or until nobody wants any more.
    ///
    /// # Errors
    /// Its client is at fault: what to tell it, where it can still be told.
    pub async fn run(mut self) -> Result<(), Turned> {
        let mut rest = Bytes::new();
        loop {
            let Ok(room) = poll_fn(|cx| self.feed.poll_room(cx)).await else { return self.over() };
            if rest.is_empty() {
                let frame = tokio::select! {
                    biased;
                    () = poll_fn(|cx| self.feed.poll_over(cx)) => return self.over(),
                    frame = self.body.frame() => frame,
                };
                match frame.map(|frame| frame.map(|f| f.into_data())) {
                    Some(Ok(Ok(data))) => rest = data,
                    Some(Ok(Err(frame))) => return self.end(frame.into_trailers().unwrap_or_default()),
                    Some(Err(_)) => return Err(wrong("the body cannot be read\n")),
                    None => return self.end(HeaderMap::new()),
                }
            }
            // What its connection has read ahead waits there for room. Copied: a part keeps all of what it was read with.
            self.feed.push(Bytes::copy_from_slice(&rest.split_to(room.min(rest.len()))));
        }
    }

    fn end(&self, trailers: HeaderMap) -> Result<(), Turned> {
        if !may_trail(&trailers) {
            return Err(wrong("a trailer stands behind the body that must not stand there\n"));
        }
        self.feed.finish(trailers);
        Ok(())
    }

    fn over(&self) -> Result<(), Turned> {
        match self.feed.why() {
            Some(Cut::TooMuch) => Err(TOO_LONG),
            Some(Cut::SlowSource | Cut::TooLong) => {
                Err(Turned::Wrong(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"))
            }
            // The backend's matter, or nobody's.
            Some(Cut::SlowSink | Cut::Broken) | None => Ok(()),
        }
    }
}
