//! The head of a request: its host, how its body is framed, and which headers are forwarded.

use crate::rejection::{BODY_TOO_LARGE, Rejection, invalid};
use crate::route_fields::single_header;
use applemill_routes::{Header, normal_host};
use applemill_upstream::end_to_end;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TE, TRAILER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::Authority;
use hyper::{StatusCode, Version};
use std::borrow::Cow;

/// Rejects `Transfer-Encoding`. hyper removes `Content-Length` if both headers are present, so such an
/// ambiguous request cannot be told from one that has only `Transfer-Encoding`.
pub(crate) fn reject_transfer_encoding(head: &Parts) -> Result<(), Rejection> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Rejection::Invalid(StatusCode::LENGTH_REQUIRED, "no transfer codings\n"));
    }
    Ok(())
}

/// The value of `Content-Length`, or `absent` if there is none.
pub(crate) fn declared_length(head: &Parts, absent: Option<u64>) -> Result<u64, Rejection> {
    match (head.headers.get(CONTENT_LENGTH), absent) {
        (None, Some(absent)) => Ok(absent),
        (None, None) => Err(Rejection::Invalid(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n")),
        (Some(value), _) => value.to_str().ok().and_then(|l| l.parse().ok()).ok_or(BODY_TOO_LARGE),
    }
}

/// The requested host, from the target or from `Host`. The target takes precedence (RFC 9112, 3.2.2). If the
/// two differ, the request is rejected, because programs could interpret it differently.
pub(crate) fn host(head: &Parts) -> Result<Option<String>, Rejection> {
    let normal = |host: &str| normal_host(host).map(Cow::into_owned).ok_or(invalid("Host is no host\n"));
    let host_header = match single_header(&head.headers, "host") {
        Header::Unclear => return Err(invalid("Host is there twice, or is no text\n")),
        // HTTP/1.1 requires the header (RFC 9112, 3.2).
        Header::Absent if head.version == Version::HTTP_11 => return Err(invalid("Host is missing\n")),
        Header::Absent => None,
        Header::Once(host) => Some(normal(host)?),
    };
    let target_host = head.uri.authority().map(|authority| normal(authority.as_str())).transpose()?;
    if target_host.is_some() && host_header.is_some() && target_host != host_header {
        return Err(invalid("Host is not the host of the target\n"));
    }
    Ok(target_host.or(host_header))
}

/// The length of a streamed body; `None` with chunked encoding. If both headers are present, hyper removes
/// `Content-Length` and decodes the chunks, as RFC 9112, 6.3 requires, and the request is forwarded in
/// chunks.
pub(crate) fn streamed_length(head: &Parts) -> Result<Option<u64>, Rejection> {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => declared_length(head, Some(0)).map(Some),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(None),
        _ => Err(Rejection::Invalid(StatusCode::NOT_IMPLEMENTED, "no transfer coding but chunked\n")),
    }
}

/// The headers to forward. `Host` is replaced by the authority of the target if there is one. The headers
/// about trailers are forwarded with streamed bodies only.
pub(crate) fn forwarded_headers(
    headers: HeaderMap,
    authority: Option<&Authority>,
    streams_body: bool,
    streams_answer: bool,
) -> HeaderMap {
    let trailer = headers.get(TRAILER).filter(|_| streams_body).cloned();
    let accepts_trailers =
        headers.get(TE).is_some_and(|te| te.as_bytes().eq_ignore_ascii_case(b"trailers"));
    let mut headers = end_to_end(headers);
    headers.extend(trailer.map(|v| (TRAILER, v)));
    if accepts_trailers && streams_answer {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
    if let Some(host) = authority.and_then(|a| HeaderValue::from_str(a.as_str()).ok()) {
        headers.insert(HOST, host);
    }
    headers
}
