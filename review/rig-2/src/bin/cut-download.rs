//! A node is told to stop while clients of HTTP/1.0 read their downloads slowly. The stop's time runs out, and the
//! answers are cut. None of them may end in a way that looks whole.

use review_cases_2::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

const CATALOGUE_BYTES: usize = 48 << 20;
const CHUNK_BYTES: usize = 64 << 10;
/// A client takes this much ...
const READ_BYTES: usize = 200 << 10;
/// ... and then waits so long: 2 MB a second.
const READ_PAUSE: Duration = Duration::from_millis(100);
const CLIENTS: usize = 4;
/// When SIGTERM comes after the downloads have begun.
const STOP_AFTER: Duration = Duration::from_secs(2);

/// A server that sends the whole catalogue in chunks, as fast as it is read.
fn server() -> SocketAddr {
    serve(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let chunk = vec![b'c'; CHUNK_BYTES];
        while Head::read(&mut reader)?.is_some() {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            for _ in 0..CATALOGUE_BYTES / CHUNK_BYTES {
                write!(stream, "{CHUNK_BYTES:x}\r\n")?;
                stream.write_all(&chunk)?;
                stream.write_all(b"\r\n")?;
            }
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    })
}

fn file(listen: SocketAddr, server: SocketAddr) -> String {
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\nstreams = 100\nstream_memory = \"32MiB\"\n\
         stream_stop = \"3s\"\n\
         [[listener]]\naddress = \"{listen}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.catalogue]\neffect = \"safe\"\npatience = \"4s\"\n\
         [[route]]\nname = \"catalogues\"\nprefix = \"/catalogues\"\nmethod = \"GET\"\nclass = \"catalogue\"\n\
         pool = \"floor\"\nanswer = \"stream\"\nanswer_limit = \"80MiB\"\n\
         pace = \"8KiB\"\npace_window = \"8s\"\nstream_time = \"1440m\"\n"
    )
}

/// How a download ended.
struct Download {
    status: u16,
    /// Without a length the end of the connection is the end of the body.
    has_length: bool,
    bytes: usize,
    /// The connection ended in order, and not by a reset.
    ended_in_order: bool,
}

fn download(address: SocketAddr) -> std::io::Result<Download> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(b"GET /catalogues/all HTTP/1.0\r\nHost: a.lv\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let has_length = head.header("content-length").is_some() || head.header("transfer-encoding").is_some();
    let mut download = Download { status: head.status(), has_length, bytes: 0, ended_in_order: false };
    let mut buffer = vec![0; 16 << 10];
    let mut taken = 0;
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => {
                download.ended_in_order = true;
                return Ok(download);
            }
            Ok(length) => download.bytes += length,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => return Ok(download),
        }
        if download.bytes - taken >= READ_BYTES {
            taken = download.bytes;
            thread::sleep(READ_PAUSE);
        }
    }
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("cut");
    let (listen, server) = (free_address(), server());
    let path = folder.put("operator.toml", &file(listen, server));
    let mut node = Node::start(&path, folder.path("node.log"))?;
    node.wait_until_ready(listen)?;
    record.line(format!("{CLIENTS} clients of HTTP/1.0 ask for {CATALOGUE_BYTES} bytes each"));
    let downloads: Vec<_> = (0..CLIENTS).map(|_| thread::spawn(move || download(listen))).collect();
    thread::sleep(STOP_AFTER);
    if trouble() {
        record.line("SIGTERM");
        signal(node.id(), "-TERM");
        let told = Instant::now();
        wait_for("the node ends", || node.has_ended())?;
        record.line(format!("the node has ended, {:.1} s after SIGTERM", told.elapsed().as_secs_f64()));
    }
    let (mut breaks, mut begun) = (Vec::new(), 0);
    for (number, download) in downloads.into_iter().enumerate() {
        let download = download.join().map_err(|_| "a client panicked")?.map_err(|e| e.to_string())?;
        let Download { status, has_length, bytes, ended_in_order } = download;
        let end = if ended_in_order { "in order" } else { "by a reset" };
        record.line(format!(
            "client {number}: status {status}, length told: {has_length}, {bytes} of {CATALOGUE_BYTES} bytes, \
             connection ended {end}"
        ));
        begun += usize::from(status == 200 && !has_length);
        if status == 200 && !has_length && ended_in_order && bytes < CATALOGUE_BYTES {
            breaks.push(format!(
                "client {number} has {bytes} of {CATALOGUE_BYTES} bytes, and they look whole"
            ));
        }
        if !trouble() && bytes < CATALOGUE_BYTES {
            breaks.push(format!("client {number} has {bytes} of {CATALOGUE_BYTES} bytes, without a stop"));
        }
    }
    if begun == 0 { Err("no download began without a length".to_owned()) } else { Ok(breaks) }
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
