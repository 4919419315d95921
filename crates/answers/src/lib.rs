//! Parses answers of HTTP/1.1 servers incrementally, as complete answers or as a head followed by pieces of
//! the body. The crate has no I/O and no clock: the owner of the connection passes in the received bytes and
//! handles its end. The meaning of answers and time-outs are left to callers.
//!
//! The parser rejects messages that two parsers could interpret differently (RFC 9112, 6.3 and 11.2). An
//! answer ends where a single length or the chunked encoding says; one with neither ends where the server
//! closes the connection in order. A reset is no end.

mod chunks;
mod pieces;

pub use pieces::{BodyPiece, BodyReader, trailers_allowed};

use bytes::{Bytes, BytesMut};
use chunks::{ChunkDecoder, Step};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use thiserror::Error;

/// The largest number of header lines in an answer.
const MAX_HEADERS: usize = 100;
/// Enough header lines for nearly all answers; more are parsed in a second attempt.
const USUAL_MAX_HEADERS: usize = 32;

/// The received bytes are not an answer, or one whose end is ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a valid HTTP answer")]
pub struct MalformedAnswer;

/// The size limits for one answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// The largest head, also of each informational answer before it.
    pub head_bytes: usize,
    /// The largest body of a complete answer; not applied by [`BodyReader`].
    pub body_bytes: usize,
}

/// How the end of a body is determined.
enum Framing {
    /// The number of remaining bytes.
    Sized(u64),
    /// Chunked encoding.
    Chunked(Box<ChunkDecoder>),
    /// The server closes the connection; the value says whether it has.
    UntilClose(bool),
}

/// Reads one answer.
pub struct AnswerReader {
    limits: AnswerLimits,
    /// The request was a HEAD; the answer has no body.
    is_head_request: bool,
    input: BytesMut,
    /// The head of the final answer, once complete, and the framing of its body.
    head: Option<(Response<()>, Framing)>,
    /// The decoded part of a chunked body that is buffered.
    body: BytesMut,
}

/// A complete answer.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// The answer with its body.
    pub answer: Response<Bytes>,
    /// Nothing followed the answer, and the server keeps the connection open.
    pub reusable: bool,
}

impl AnswerReader {
    /// A reader for the answer to one request.
    pub fn new(limits: AnswerLimits, is_head_request: bool) -> AnswerReader {
        AnswerReader { limits, is_head_request, input: BytesMut::new(), head: None, body: BytesMut::new() }
    }

    /// Whether the head of the final answer is complete.
    pub fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// The head of the final answer, once complete.
    pub fn head(&self) -> Option<&Response<()>> {
        self.head.as_ref().map(|(head, _)| head)
    }

    /// Adds received bytes and parses the head; returns whether the head of the final answer is complete.
    ///
    /// # Errors
    /// The bytes are not a valid answer.
    pub fn push_head(&mut self, bytes: &[u8]) -> Result<bool, MalformedAnswer> {
        self.input.extend_from_slice(bytes);
        while self.head.is_none() {
            let Some((head, length)) = parse_head(&self.input, self.limits.head_bytes)? else {
                return Ok(false);
            };
            let _ = self.input.split_to(length);
            // Informational answers are skipped.
            if head.status().is_informational() && head.status() != StatusCode::SWITCHING_PROTOCOLS {
                continue;
            }
            let body_framing = body_framing(&head, self.is_head_request)?;
            self.head = Some((head, body_framing));
        }
        Ok(true)
    }

    /// Adds received bytes; returns the answer once it is complete.
    ///
    /// # Errors
    /// The bytes are not a valid answer, or the answer is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteAnswer>, MalformedAnswer> {
        if !self.push_head(bytes)? {
            return Ok(None);
        }
        let ends_at_close = self.ends_at_close();
        let (limit, input) = (self.limits.body_bytes, &mut self.input);
        let Some((_, body_framing)) = &mut self.head else { return Ok(None) };
        let body = match body_framing {
            Framing::Sized(length) if *length > limit as u64 => return Err(MalformedAnswer),
            Framing::Sized(length) if input.len() as u64 >= *length => {
                input.split_to(*length as usize).freeze()
            }
            Framing::Sized(_) => return Ok(None),
            Framing::UntilClose(_) if input.len() > limit => return Err(MalformedAnswer),
            Framing::UntilClose(false) => return Ok(None),
            Framing::UntilClose(true) => input.split().freeze(),
            Framing::Chunked(chunks) => loop {
                let remaining = (limit - self.body.len()) as u64;
                match chunks.step(input, remaining, usize::MAX)? {
                    Step::More => return Ok(None),
                    Step::Data(part) => self.body.extend_from_slice(&part),
                    Step::End(_) => break self.body.split().freeze(),
                }
            },
        };
        let Some((head, _)) = self.head.take() else { return Err(MalformedAnswer) };
        let reusable = self.input.is_empty() && !ends_at_close && keeps_open(&head);
        Ok(Some(CompleteAnswer { answer: head.map(|()| body), reusable }))
    }

    /// Whether the body ends where the server closes the connection.
    pub fn ends_at_close(&self) -> bool {
        matches!(self.head, Some((_, Framing::UntilClose(_))))
    }

    /// The server has closed the connection in order; returns the answer if this completes it.
    ///
    /// # Errors
    /// The answer is too large.
    pub fn close(&mut self) -> Result<Option<CompleteAnswer>, MalformedAnswer> {
        let Some((_, Framing::UntilClose(closed))) = &mut self.head else { return Ok(None) };
        *closed = true;
        self.push(&[])
    }

    /// The length of the body, if the head declares it.
    pub fn content_length(&self) -> Option<u64> {
        match self.head.as_ref()?.1 {
            Framing::Sized(length) => Some(length),
            Framing::Chunked(_) | Framing::UntilClose(_) => None,
        }
    }

    /// Splits into the head and a reader for the body; `None` before the head is complete.
    pub fn into_body(self) -> Option<(Response<()>, BodyReader)> {
        let (head, body_framing) = self.head?;
        let keeps_open = keeps_open(&head);
        Some((head, BodyReader::new(body_framing, self.input, keeps_open)))
    }
}

/// Parses a head; returns it with its length in bytes once it is complete.
fn parse_head(input: &[u8], limit: usize) -> Result<Option<(Response<()>, usize)>, MalformedAnswer> {
    let mut usual = [httparse::EMPTY_HEADER; USUAL_MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut usual);
    let mut largest;
    let mut parsed = answer.parse(input);
    if parsed == Err(httparse::Error::TooManyHeaders) {
        largest = [httparse::EMPTY_HEADER; MAX_HEADERS];
        answer = httparse::Response::new(&mut largest);
        parsed = answer.parse(input);
    }
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
        _ => return Err(MalformedAnswer),
    };
    let mut head = Response::new(());
    *head.status_mut() =
        StatusCode::from_u16(answer.code.unwrap_or_default()).map_err(|_| MalformedAnswer)?;
    if answer.version == Some(0) {
        *head.version_mut() = http::Version::HTTP_10;
    }
    let headers = head.headers_mut();
    headers.reserve(answer.headers.len());
    for header in answer.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| MalformedAnswer)?;
        headers.append(name, HeaderValue::from_bytes(header.value).map_err(|_| MalformedAnswer)?);
    }
    Ok(Some((head, length)))
}

/// Determines how the body ends.
fn body_framing(head: &Response<()>, is_head_request: bool) -> Result<Framing, MalformedAnswer> {
    let headers = head.headers();
    if head.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(MalformedAnswer);
    }
    let length = declared_length(headers)?;
    if is_head_request || matches!(head.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(Framing::Sized(0));
    }
    match (length, headers.contains_key(TRANSFER_ENCODING)) {
        (Some(length), false) => Ok(Framing::Sized(length)),
        (None, false) => Ok(Framing::UntilClose(false)),
        (None, true) if head.version() == http::Version::HTTP_11 => {
            let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
            let chunked = codings.next().is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
            if !chunked || codings.next().is_some() {
                return Err(MalformedAnswer);
            }
            Ok(Framing::Chunked(Box::new(ChunkDecoder::new())))
        }
        _ => Err(MalformedAnswer),
    }
}

/// The declared length. Repeated headers must have the same value.
fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedAnswer> {
    let mut found = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| MalformedAnswer)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(MalformedAnswer);
        }
        let length: u64 = text.parse().map_err(|_| MalformedAnswer)?;
        if found.is_some_and(|found| found != length) {
            return Err(MalformedAnswer);
        }
        found = Some(length);
    }
    Ok(found)
}

/// Whether the server keeps the connection open (RFC 9112, 9.3).
fn keeps_open(head: &Response<()>) -> bool {
    let has_option = |option: &str| {
        let values = head.headers().get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
        values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(option))
    };
    !has_option("close") && (head.version() == http::Version::HTTP_11 || has_option("keep-alive"))
}
