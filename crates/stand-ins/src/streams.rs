//! Streams: a floor server that sends and takes bodies of any size by what its path says, and clients that read and
//! write at their own pace. What either saw is told by count and hash.

use crate::PATIENCE;
use crate::http::{Message, read_headers};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

const BLOCK: usize = 64 * 1024;

/// Count and hash (FNV-1a) of bytes as they pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sum {
    /// How many.
    pub bytes: u64,
    /// Their hash.
    pub hash: u64,
}

impl Default for Sum {
    fn default() -> Sum {
        Sum { bytes: 0, hash: 0xcbf2_9ce4_8422_2325 }
    }
}

impl Sum {
    /// More of them.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        self.hash = bytes.iter().fold(self.hash, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    }

    /// That of a body of so many bytes as [`body_part`] makes it.
    pub fn of_body(bytes: u64) -> Sum {
        let mut sum = Sum::default();
        while sum.bytes < bytes {
            let left = usize::try_from(bytes - sum.bytes).unwrap_or(BLOCK).min(BLOCK);
            let at = sum.bytes;
            sum.add(body_part(at, left));
        }
        sum
    }
}

/// The body that all streams carry comes round after so many bytes.
const PERIOD: u64 = 1 << 17;

fn pattern() -> &'static [u8] {
    static PATTERN: OnceLock<Vec<u8>> = OnceLock::new();
    let byte = |i: u64| (i.wrapping_mul(167) ^ (i >> 9)) as u8;
    // Twice, so that any part of up to one round is in one piece.
    PATTERN.get_or_init(|| (0..2 * PERIOD).map(|i| byte(i % PERIOD)).collect())
}

/// Part of the one body that all streams carry, from some byte on; one round of it at most.
pub fn body_part(from: u64, bytes: usize) -> &'static [u8] {
    let start = (from % PERIOD) as usize;
    pattern().get(start..start + bytes.min(PERIOD as usize)).unwrap_or_default()
}

/// What a floor server of streams has seen.
#[derive(Clone, Default)]
pub struct Uploads {
    /// Bodies that came whole, in the order of their ends.
    pub whole: Arc<Mutex<Vec<Sum>>>,
    /// Connections that came up.
    pub opened: Arc<AtomicU64>,
    /// Requests whose head came.
    pub begun: Arc<AtomicU64>,
    /// Bytes of bodies that were cut.
    pub cut: Arc<Mutex<Vec<u64>>>,
}

/// Starts a floor server of streams. By its path, a request is answered with
/// `/sized/N` or `/chunked/N` (the latter with its hash in a trailer): N bytes as fast as they are read;
/// `/short/N/M`: a length of N, and M of them; `/broken/M`: M bytes in chunks with no last one; `/almost/M`: the same, reset
/// one byte before the end;
/// `/drip/N/MS`: N bytes, a hundred every MS milliseconds; `/trailer`: a trailer that names a framing header;
/// `/digits`: a chunk size of 17 digits; `/early`: 413 before its body was read, and the connection closed;
/// `/stuck`: nothing, its body not read; anything else: count and hash of its body.
pub fn streamer() -> std::io::Result<(SocketAddr, Uploads)> {
    streamer_that(None)
}

/// The same; where `always` names one of these, whatever is asked for is answered so.
pub fn streamer_that(always: Option<&'static str>) -> std::io::Result<(SocketAddr, Uploads)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let uploads = Uploads::default();
    let seen = uploads.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let seen = seen.clone();
            seen.opened.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || converse(stream, &seen, always));
        }
    });
    Ok((address, uploads))
}

fn converse(stream: TcpStream, seen: &Uploads, always: Option<&str>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let _ = out.set_nodelay(true);
    let mut reader = BufReader::with_capacity(BLOCK, stream);
    while let Some(head) = Message::read_head(&mut reader) {
        seen.begun.fetch_add(1, Ordering::SeqCst);
        if serve(&head, &mut reader, &mut out, seen, always).is_none() {
            return;
        }
    }
}

/// One request; none where its connection is over.
fn serve(
    head: &Message,
    reader: &mut impl BufRead,
    out: &mut TcpStream,
    seen: &Uploads,
    always: Option<&str>,
) -> Option<()> {
    let target = head.first_line.split(' ').nth(1)?;
    let mut path = target.split('/').skip(1);
    let asked = path.next()?;
    let what = always.unwrap_or(asked).to_owned();
    let mut number = || path.next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let (first, second) = (number(), number());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    match what.as_str() {
        "early" => {
            out.write_all(b"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\nConnection: close\r\n\r\nlarge")
                .ok()?;
            // Closed with what is unread: a moment, so that a reset does not take the answer along.
            thread::sleep(Duration::from_millis(100));
            return None;
        }
        "stuck" => {
            thread::sleep(PATIENCE);
            return None;
        }
        _ => {}
    }
    let read = read_body(head, reader, |_| true);
    match &read {
        Body { whole: true, sum, .. } => seen.whole.lock().ok()?.push(*sum),
        Body { sum, .. } => {
            seen.cut.lock().ok()?.push(sum.bytes);
            return None;
        }
    }
    match what.as_str() {
        "sized" => {
            out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {first}\r\n\r\n").as_bytes()).ok()?;
            if head.first_line.starts_with("HEAD ") {
                return Some(());
            }
            send(out, first, false)?;
        }
        "short" => {
            out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {first}\r\n\r\n").as_bytes()).ok()?;
            send(out, second, false)?;
            return None;
        }
        "chunked" => {
            let sum = Sum::of_body(first);
            out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
                .ok()?;
            send(out, first, true)?;
            out.write_all(format!("0\r\nX-Sum: {:x}\r\n\r\n", sum.hash).as_bytes()).ok()?;
        }
        "broken" => {
            out.write_all(chunked.as_bytes()).ok()?;
            send(out, first, true)?;
            return None;
        }
        "almost" => {
            out.write_all(chunked.as_bytes()).ok()?;
            send(out, first, true)?;
            out.write_all(b"0\r\n\r").ok()?;
            let _ = socket2::SockRef::from(&*out).set_linger(Some(Duration::ZERO));
            return None;
        }
        "drip" => {
            out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {first}\r\n\r\n").as_bytes()).ok()?;
            let mut at = 0;
            while at < first {
                let part = 100.min(first - at);
                out.write_all(body_part(at, part as usize)).ok()?;
                at += part;
                thread::sleep(Duration::from_millis(second));
            }
        }
        "trailer" => {
            out.write_all(chunked.as_bytes()).ok()?;
            out.write_all(b"3\r\nabc\r\n0\r\nContent-Length: 7\r\n\r\n").ok()?;
        }
        "digits" => {
            out.write_all(chunked.as_bytes()).ok()?;
            out.write_all(b"00000000000000003\r\nabc\r\n0\r\n\r\n").ok()?;
        }
        _ => {
            let text = format!("{} {:x}", read.sum.bytes, read.sum.hash);
            let sum = read.trailers.iter().find(|(name, _)| name == "x-sum");
            let told = sum.map_or(String::new(), |(_, v)| format!("X-Sum: {v}\r\n"));
            let length = text.len();
            out.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{told}\r\n{text}").as_bytes(),
            )
            .ok()?;
        }
    }
    Some(())
}

/// Writes so much of the body, plain or in chunks.
pub fn send(out: &mut impl Write, bytes: u64, chunked: bool) -> Option<()> {
    let mut at = 0;
    while at < bytes {
        let part = body_part(at, usize::try_from(bytes - at).unwrap_or(BLOCK).min(BLOCK));
        if chunked {
            out.write_all(format!("{:x}\r\n", part.len()).as_bytes()).ok()?;
        }
        out.write_all(part).ok()?;
        if chunked {
            out.write_all(b"\r\n").ok()?;
        }
        at += part.len() as u64;
    }
    Some(())
}

/// A body as it was read.
#[derive(Clone, Debug, Default)]
pub struct Body {
    /// What came.
    pub sum: Sum,
    /// It came to its end.
    pub whole: bool,
    /// What stood behind it.
    pub trailers: Vec<(String, String)>,
}

/// Reads a body as its head says, as it comes; `go_on` hears how much there is, and ends it early.
pub fn read_body(head: &Message, reader: &mut impl BufRead, mut go_on: impl FnMut(u64) -> bool) -> Body {
    let mut body = Body::default();
    body.whole = read_to_end(head, reader, &mut body, &mut go_on).is_some();
    body
}

fn read_to_end(
    head: &Message,
    reader: &mut impl BufRead,
    body: &mut Body,
    go_on: &mut impl FnMut(u64) -> bool,
) -> Option<()> {
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        return take(reader, length, &mut body.sum, go_on);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match u64::from_str_radix(line.trim_end(), 16).ok()? {
            0 => break,
            size => take(reader, size, &mut body.sum, go_on)?,
        }
        line.clear();
        reader.read_line(&mut line).ok()?;
        if line != "\r\n" {
            return None;
        }
    }
    body.trailers = read_headers(reader)?;
    Some(())
}

fn take(
    reader: &mut impl BufRead,
    mut left: u64,
    sum: &mut Sum,
    go_on: &mut impl FnMut(u64) -> bool,
) -> Option<()> {
    while left > 0 {
        let there = reader.fill_buf().ok()?;
        let part = there.get(..there.len().min(usize::try_from(left).unwrap_or(usize::MAX)))?;
        if part.is_empty() {
            return None;
        }
        sum.add(part);
        let n = part.len();
        reader.consume(n);
        left -= n as u64;
        if !go_on(sum.bytes) {
            return None;
        }
    }
    Some(())
}

/// A client of streams: `buffer` bytes are read at once, and hardly more stand in its socket.
pub struct StreamClient {
    /// Its connection.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl StreamClient {
    /// Connects. A small `buffer` makes its socket's small too, so that what it does not read is not read ahead.
    ///
    /// # Errors
    /// Nobody listens.
    pub fn connect(address: SocketAddr, buffer: usize) -> std::io::Result<StreamClient> {
        let socket =
            socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
        if buffer < 16 * 1024 {
            socket.set_recv_buffer_size(buffer)?;
        }
        socket.connect_timeout(&address.into(), PATIENCE)?;
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::with_capacity(buffer, stream.try_clone()?);
        Ok(StreamClient { stream, reader })
    }

    /// Writes; false where the connection is gone.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The head of an answer.
    pub fn head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.reader)
    }

    /// The body behind it.
    pub fn body(&mut self, head: &Message, go_on: impl FnMut(u64) -> bool) -> Body {
        read_body(head, &mut self.reader, go_on)
    }

    /// Reads so many bytes of a body, or to its end, and does nothing with them: how many came.
    pub fn skip(&mut self, bytes: u64) -> u64 {
        std::io::copy(&mut (&mut self.reader).take(bytes), &mut std::io::sink()).unwrap_or(0)
    }

    /// Sends a request and reads its answer whole.
    pub fn ask(&mut self, head: &str) -> Option<(Message, Body)> {
        self.send(head.as_bytes());
        let head = self.head()?;
        let body = self.body(&head, |_| true);
        Some((head, body))
    }
}
