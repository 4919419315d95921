//! Copies a request's body from the client's connection into a stream, at the speed of the stream's reader.

use crate::rejection::{BODY_TOO_LARGE, Rejection, invalid};
use applemill_answers::trailers_allowed;
use applemill_flow::CutReason;
use applemill_upstream::StreamWriter;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};
use std::future::poll_fn;

/// A request body that is still being received.
pub struct Upload {
    /// The incoming body. It is not read before [`Upload::run`], and no `100 Continue` is sent before that.
    pub body: Incoming,
    /// The stream that receives the body.
    pub writer: StreamWriter,
    /// Whether the body is sent with chunked encoding.
    pub chunked: bool,
}

impl Upload {
    /// Copies the body until its end or until the reader is gone.
    ///
    /// # Errors
    /// The client is at fault: the response for it, if none was sent yet.
    pub async fn run(mut self) -> Result<(), Rejection> {
        let mut rest = Bytes::new();
        loop {
            let Ok(capacity) = poll_fn(|cx| self.writer.poll_capacity(cx)).await else {
                return self.close_result();
            };
            if rest.is_empty() {
                let frame = tokio::select! {
                    biased;
                    () = poll_fn(|cx| self.writer.poll_closed(cx)) => return self.close_result(),
                    frame = self.body.frame() => frame,
                };
                match frame.map(|frame| frame.map(|f| f.into_data())) {
                    Some(Ok(Ok(data))) => rest = data,
                    Some(Ok(Err(frame))) => return self.finish(frame.into_trailers().unwrap_or_default()),
                    Some(Err(_)) => return Err(invalid("the body cannot be read\n")),
                    None => return self.finish(HeaderMap::new()),
                }
            }
            // Bytes beyond the capacity wait in `rest`. They are copied because a slice keeps its whole read
            // buffer alive.
            self.writer.push(Bytes::copy_from_slice(&rest.split_to(capacity.min(rest.len()))));
        }
    }

    fn finish(&self, trailers: HeaderMap) -> Result<(), Rejection> {
        if !trailers_allowed(&trailers) {
            return Err(invalid("a trailer stands behind the body that must not stand there\n"));
        }
        self.writer.finish(trailers);
        Ok(())
    }

    fn close_result(&self) -> Result<(), Rejection> {
        match self.writer.cut_reason() {
            Some(CutReason::TooMuch) => Err(BODY_TOO_LARGE),
            Some(CutReason::SlowSource | CutReason::TooLong) => {
                Err(Rejection::Invalid(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"))
            }
            // Caused by the backend, or not a failure.
            Some(CutReason::SlowSink | CutReason::Broken) | None => Ok(()),
        }
    }
}
