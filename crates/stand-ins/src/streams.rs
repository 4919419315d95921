//! Streams of any size: a floor server whose answer depends on the request path, and clients that read and
//! write at a chosen pace. Both sides report bodies as count and hash.

use crate::PATIENCE;
use crate::http::{Message, read_headers};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

const BLOCK_BYTES: usize = 64 * 1024;

/// Running count and hash (FNV-1a) of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sum {
    /// Number of bytes.
    pub bytes: u64,
    /// FNV-1a, 64 bits.
    pub hash: u64,
}

impl Default for Sum {
    fn default() -> Sum {
        Sum { bytes: 0, hash: 0xcbf2_9ce4_8422_2325 }
    }
}

impl Sum {
    /// Adds bytes to count and hash.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        self.hash = bytes.iter().fold(self.hash, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    }

    /// The sum of the first `bytes` bytes of the body of [`body_part`].
    pub fn of_body(bytes: u64) -> Sum {
        let mut sum = Sum::default();
        while sum.bytes < bytes {
            let left = usize::try_from(bytes - sum.bytes).unwrap_or(BLOCK_BYTES).min(BLOCK_BYTES);
            let offset = sum.bytes;
            sum.add(body_part(offset, left));
        }
        sum
    }
}

/// The body that all streams carry repeats after this many bytes.
const PERIOD_BYTES: u64 = 1 << 17;

fn pattern() -> &'static [u8] {
    static PATTERN: OnceLock<Vec<u8>> = OnceLock::new();
    let byte = |i: u64| (i.wrapping_mul(167) ^ (i >> 9)) as u8;
    // Two periods, so that any part of up to one period is contiguous.
    PATTERN.get_or_init(|| (0..2 * PERIOD_BYTES).map(|i| byte(i % PERIOD_BYTES)).collect())
}

/// Part of the body that all streams carry, from offset `from`, of at most one period.
pub fn body_part(from: u64, bytes: usize) -> &'static [u8] {
    let start = (from % PERIOD_BYTES) as usize;
    pattern().get(start..start + bytes.min(PERIOD_BYTES as usize)).unwrap_or_default()
}

/// What a streaming floor server has received.
#[derive(Clone, Default)]
pub struct Uploads {
    /// Complete bodies, in the order of completion.
    pub whole: Arc<Mutex<Vec<Sum>>>,
    /// Connections accepted.
    pub opened: Arc<AtomicU64>,
    /// Requests whose head was received.
    pub begun: Arc<AtomicU64>,
    /// Bytes received of each incomplete body.
    pub cut: Arc<Mutex<Vec<u64>>>,
}

/// Starts a streaming floor server. The answer depends on the path of the request:
///
/// - `/sized/N`: N bytes as fast as the client reads them
/// - `/chunked/N`: the same in chunks, with the hash in a trailer
/// - `/short/N/M`: Content-Length N, but only M bytes
/// - `/broken/M`: M bytes in chunks without the last chunk
/// - `/almost/M`: like `/broken`, but reset one byte before the end
/// - `/drip/N/MS`: N bytes, 100 every MS milliseconds
/// - `/trailer`: a trailer with the name of a framing header
/// - `/digits`: a chunk size of 17 digits
/// - `/early`: 413 before the request body is read, and the connection closed
/// - `/stuck`: no answer, and the request body is not read
/// - any other path: count and hash of the request body
///
/// # Errors
/// The server cannot listen.
pub fn streamer() -> std::io::Result<(SocketAddr, Uploads)> {
    streamer_that(None)
}

/// Like [`streamer`], but if `always` names one of its paths, every request is answered in that way.
///
/// # Errors
/// The server cannot listen.
pub fn streamer_that(always: Option<&'static str>) -> std::io::Result<(SocketAddr, Uploads)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let uploads = Uploads::default();
    let record = uploads.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let record = record.clone();
            record.opened.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || serve_connection(stream, &record, always));
        }
    });
    Ok((address, uploads))
}

fn serve_connection(stream: TcpStream, record: &Uploads, always: Option<&str>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let _ = out.set_nodelay(true);
    let mut reader = BufReader::with_capacity(BLOCK_BYTES, stream);
    while let Some(head) = Message::read_head(&mut reader) {
        record.begun.fetch_add(1, Ordering::SeqCst);
        if serve(&head, &mut reader, &mut out, record, always).is_none() {
            return;
        }
    }
}

/// Handles one request; none if the connection must be closed.
fn serve(
    head: &Message,
    reader: &mut impl BufRead,
    out: &mut TcpStream,
    record: &Uploads,
    always: Option<&str>,
) -> Option<()> {
    let target = head.first_line.split(' ').nth(1)?;
    let mut path = target.split('/').skip(1);
    let requested = path.next()?;
    let behaviour = always.unwrap_or(requested).to_owned();
    let mut number = || path.next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let (first, second) = (number(), number());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    match behaviour.as_str() {
        "early" => {
            out.write_all(b"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\nConnection: close\r\n\r\nlarge")
                .ok()?;
            // Closing with unread data resets the connection, which can discard the answer before the client
            // has read it. The pause lets the answer through.
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
        Body { whole: true, sum, .. } => record.whole.lock().ok()?.push(*sum),
        Body { sum, .. } => {
            record.cut.lock().ok()?.push(sum.bytes);
            return None;
        }
    }
    match behaviour.as_str() {
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
            let mut offset = 0;
            while offset < first {
                let part = 100.min(first - offset);
                out.write_all(body_part(offset, part as usize)).ok()?;
                offset += part;
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
            let sum_header = sum.map_or(String::new(), |(_, v)| format!("X-Sum: {v}\r\n"));
            let length = text.len();
            out.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{sum_header}\r\n{text}").as_bytes(),
            )
            .ok()?;
        }
    }
    Some(())
}

/// Writes the first `bytes` bytes of the body, plain or chunked (without the last chunk). None if the
/// connection breaks.
pub fn send(out: &mut impl Write, bytes: u64, chunked: bool) -> Option<()> {
    let mut offset = 0;
    while offset < bytes {
        let part =
            body_part(offset, usize::try_from(bytes - offset).unwrap_or(BLOCK_BYTES).min(BLOCK_BYTES));
        if chunked {
            out.write_all(format!("{:x}\r\n", part.len()).as_bytes()).ok()?;
        }
        out.write_all(part).ok()?;
        if chunked {
            out.write_all(b"\r\n").ok()?;
        }
        offset += part.len() as u64;
    }
    Some(())
}

/// A received body.
#[derive(Clone, Debug, Default)]
pub struct Body {
    /// Count and hash of the bytes received.
    pub sum: Sum,
    /// Whether the body was received completely.
    pub whole: bool,
    /// Trailers of a chunked body.
    pub trailers: Vec<(String, String)>,
}

/// Reads a body framed as `head` states. `go_on` gets the number of bytes after each read, and stops reading
/// by returning false.
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
        return read_exactly(reader, length, &mut body.sum, go_on);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match u64::from_str_radix(line.trim_end(), 16).ok()? {
            0 => break,
            size => read_exactly(reader, size, &mut body.sum, go_on)?,
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

/// Reads `left` bytes; none if they end early or `go_on` stops the read.
fn read_exactly(
    reader: &mut impl BufRead,
    mut left: u64,
    sum: &mut Sum,
    go_on: &mut impl FnMut(u64) -> bool,
) -> Option<()> {
    while left > 0 {
        let available = reader.fill_buf().ok()?;
        let part = available.get(..available.len().min(usize::try_from(left).unwrap_or(usize::MAX)))?;
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

/// A client for streams that reads ahead little more than the buffer size given to [`StreamClient::connect`].
pub struct StreamClient {
    /// The connection.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl StreamClient {
    /// Connects. `buffer` is the size of the read buffer, in bytes. Below 16 KiB it is also the size of the
    /// socket's receive buffer, so that the system does not read ahead.
    ///
    /// # Errors
    /// The connection cannot be opened.
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

    /// Sends bytes; false if the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads the head of an answer.
    pub fn head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.reader)
    }

    /// Reads the body that follows `head`; see [`read_body`].
    pub fn body(&mut self, head: &Message, go_on: impl FnMut(u64) -> bool) -> Body {
        read_body(head, &mut self.reader, go_on)
    }

    /// Reads and discards up to `bytes` bytes. Returns the number read.
    pub fn skip(&mut self, bytes: u64) -> u64 {
        std::io::copy(&mut (&mut self.reader).take(bytes), &mut std::io::sink()).unwrap_or(0)
    }

    /// Sends a request and reads the answer with its body.
    pub fn ask(&mut self, head: &str) -> Option<(Message, Body)> {
        self.send(head.as_bytes());
        let head = self.head()?;
        let body = self.body(&head, |_| true);
        Some((head, body))
    }
}
