//! Turns the answer of a pool to the response for a client.

use crate::body::OutgoingBody;
use crate::client::{BusyGuard, Client};
use crate::rejection::{NodeResponse, plain};
use crate::request::RequestGuard;
use crate::upload::Upload;
use applemill_ledger::Answer;
use applemill_upstream::{PendingAnswer, Reply, ReplyBody};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::task::spawn_local;

/// Waits for the answer to a request that has come as a whole. No attempt begins for a client that has sent
/// more than this request, since it may be gone without a sign.
pub(crate) async fn buffered_answer(client: &Client, pending_answer: PendingAnswer) -> Answer<Reply> {
    let stop_attempts = pending_answer.attempt_stopper();
    let mut answer = pin!(pending_answer.answer());
    tokio::select! {
        biased;
        answered = answer.as_mut() => return answered,
        () = client.has_hidden_end() => stop_attempts(),
    }
    answer.await
}

/// Waits for the answer to a request while its body is uploaded.
pub(crate) async fn answer_during_upload(
    pending_answer: PendingAnswer,
    upload: Upload,
    guard: &RequestGuard,
    unread_timeout: Option<Duration>,
) -> NodeResponse<BusyGuard> {
    let mut answer = pin!(pending_answer.answer());
    // If the request is refused at once, the client is not asked to send the body.
    let first_poll = poll_fn(|cx| Poll::Ready(answer.as_mut().poll(cx))).await;
    let answered = match first_poll {
        Poll::Ready(answered) => answered,
        Poll::Pending => {
            // The upload continues after an early answer, as long as the backend reads.
            let mut upload_task = spawn_local(upload.run());
            let end = tokio::select! {
                biased;
                answered = answer.as_mut() => Err(answered),
                end = &mut upload_task => Ok(end),
            };
            match end {
                Ok(Ok(Err(rejection))) => return rejection.into(),
                Ok(_) => return to_response(answer.await, guard, unread_timeout),
                Err(answered) => answered,
            }
        }
    };
    let mut response = to_response(answered, guard, unread_timeout);
    // The body was not read to its end: what follows on the connection is not a request.
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Converts an answer to a response for the client, which may read nothing of a streamed body for
/// `unread_timeout`.
pub(crate) fn to_response(
    answer: Answer<Reply>,
    guard: &RequestGuard,
    unread_timeout: Option<Duration>,
) -> NodeResponse<BusyGuard> {
    if let Some(id) = &guard.id {
        match answer {
            Answer::Refused { .. } => id.set_refused(),
            Answer::Served(_) | Answer::Failed => id.set_answered(),
        }
    }
    match answer {
        Answer::Served(reply) => {
            let mut response = Response::new(match reply.body {
                ReplyBody::Buffered(bytes) => OutgoingBody::Buffered(bytes),
                ReplyBody::Streamed(reader, remaining) => {
                    OutgoingBody::Streamed { reader, remaining, ended: false, guard: None, unread_timeout }
                }
            });
            *response.status_mut() = reply.status;
            *response.headers_mut() = reply.headers;
            response
        }
        Answer::Refused { retry_after_ms } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            if retry_after_ms > 0.0
                && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}
