//! Answers of HTTP/1.1 servers, read from bytes as they come, whole or not at all. No I/O and no clock: whoever holds the
//! connection hands in what came and says when it ended. What an answer means is left to others.
//!
//! Strict where two readers could see two things (RFC 9112, 6.3 and 11.2): an answer ends where one length, or chunks, say
//! so, and never with its connection.

mod chunks;

use bytes::{Bytes, BytesMut};
use chunks::Chunks;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use thiserror::Error;

/// Header lines that an answer has at most.
const MOST_HEADERS: usize = 100;
/// And so many in nearly all cases.
const HEADERS_AT_FIRST: usize = 32;

/// What came is no answer, or one whose end cannot be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("what came is no answer")]
pub struct Spoilt;

/// How much is read of one answer, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Of its head, and of each that says that it is not yet there.
    pub head: usize,
    /// Of its body.
    pub body: usize,
}

enum State {
    /// The head, or one ahead of it, is not whole.
    Head,
    /// So much of the body is still to come.
    Sized(usize),
    /// The body comes in pieces.
    Chunked(Box<Chunks>),
}

/// One answer, as far as it has come.
pub struct Reader {
    limits: Limits,
    /// The answer to a HEAD has no body.
    to_head: bool,
    came: BytesMut,
    state: State,
    head: Option<Response<()>>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    /// The answer.
    pub answer: Response<Bytes>,
    /// Nothing came behind it, and the server does not close.
    pub again: bool,
}

impl Reader {
    /// For the answer to one request, a HEAD or another.
    pub fn new(limits: Limits, to_head: bool) -> Reader {
        Reader { limits, to_head, came: BytesMut::new(), state: State::Head, head: None }
    }

    /// The answer's own head has come whole.
    pub fn headed(&self) -> bool {
        self.head.is_some()
    }

    /// Takes what came next: the answer, once it is whole.
    ///
    /// # Errors
    /// It will never be one.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Option<Whole>, Spoilt> {
        self.came.extend_from_slice(bytes);
        while matches!(self.state, State::Head) {
            let Some((head, length)) = parse(&self.came, self.limits.head)? else { return Ok(None) };
            let _ = self.came.split_to(length);
            // What is ahead of an answer says nothing but that it is not yet there.
            if head.status().is_informational() && head.status() != StatusCode::SWITCHING_PROTOCOLS {
                continue;
            }
            self.state = framing(&head, self.to_head, self.limits.body)?;
            self.head = Some(head);
        }
        let body = match &mut self.state {
            State::Sized(length) if self.came.len() >= *length => self.came.split_to(*length).freeze(),
            State::Chunked(chunks) => match chunks.take(&mut self.came)? {
                true => chunks.body(),
                false => return Ok(None),
            },
            State::Head | State::Sized(_) => return Ok(None),
        };
        let Some(head) = self.head.take() else { return Err(Spoilt) };
        let again = self.came.is_empty() && stays(&head);
        Ok(Some(Whole { answer: head.map(|()| body), again }))
    }
}

/// A head and its length, once it is whole.
fn parse(came: &[u8], limit: usize) -> Result<Option<(Response<()>, usize)>, Spoilt> {
    let mut few = [httparse::EMPTY_HEADER; HEADERS_AT_FIRST];
    let mut answer = httparse::Response::new(&mut few);
    let mut many;
    let mut parsed = answer.parse(came);
    if parsed == Err(httparse::Error::TooManyHeaders) {
        many = [httparse::EMPTY_HEADER; MOST_HEADERS];
        answer = httparse::Response::new(&mut many);
        parsed = answer.parse(came);
    }
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if came.len() <= limit => return Ok(None),
        _ => return Err(Spoilt),
    };
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(answer.code.unwrap_or_default()).map_err(|_| Spoilt)?;
    if answer.version == Some(0) {
        *head.version_mut() = http::Version::HTTP_10;
    }
    let headers = head.headers_mut();
    headers.reserve(answer.headers.len());
    for header in answer.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| Spoilt)?;
        headers.append(name, HeaderValue::from_bytes(header.value).map_err(|_| Spoilt)?);
    }
    Ok(Some((head, length)))
}

/// Where the body ends.
fn framing(head: &Response<()>, to_head: bool, limit: usize) -> Result<State, Spoilt> {
    let headers = head.headers();
    if head.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Spoilt);
    }
    let length = length(headers)?;
    if to_head || matches!(head.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(State::Sized(0));
    }
    match (length, headers.contains_key(TRANSFER_ENCODING)) {
        (Some(length), false) if length <= limit as u64 => Ok(State::Sized(length as usize)),
        (None, true) if head.version() == http::Version::HTTP_11 => {
            let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
            let chunked = codings.next().is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
            if !chunked || codings.next().is_some() {
                return Err(Spoilt);
            }
            Ok(State::Chunked(Box::new(Chunks::new(limit))))
        }
        _ => Err(Spoilt),
    }
}

/// The one length that is named; the same one twice is one.
fn length(headers: &HeaderMap) -> Result<Option<u64>, Spoilt> {
    let mut found = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| Spoilt)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Spoilt);
        }
        let length: u64 = text.parse().map_err(|_| Spoilt)?;
        if found.is_some_and(|found| found != length) {
            return Err(Spoilt);
        }
        found = Some(length);
    }
    Ok(found)
}

/// The server keeps the connection open (RFC 9112, 9.3).
fn stays(head: &Response<()>) -> bool {
    let says = |word: &str| {
        let values = head.headers().get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
        values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(word))
    };
    !says("close") && (head.version() == http::Version::HTTP_11 || says("keep-alive"))
}
