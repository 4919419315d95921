//! Clients stop reading their downloads and stay. Once the pace has cut them they may hold nothing that others need:
//! bids have to be answered.

use review_cases_2::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// More than the two thirds of 256 descriptors that clients may hold, and fewer than the node's 200 streams.
const READERS: usize = 180;
const CATALOGUE_BYTES: usize = 40 << 20;
/// How long clients come for downloads.
const ASKED_FOR: Duration = Duration::from_secs(20);
/// The pace's window is 2 s: whoever takes nothing is too slow after two of its checks behind the window, and bad
/// clients are to be gone within 3 s. This is long past both.
const SETTLED_AFTER: Duration = Duration::from_secs(15);
/// How long bids are sent from then on.
const BIDS_FOR: Duration = Duration::from_secs(15);
/// The patience of the class of bids, and half a second in which an answer only earns nothing.
const BID_ANSWERED_WITHIN: Duration = Duration::from_millis(900 + 500);

fn server() -> SocketAddr {
    serve(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let piece = vec![b'c'; 64 << 10];
        while let Some(head) = Head::read(&mut reader)? {
            skip(&mut reader, head.length())?;
            if head.path() == "/bid" {
                write_ok(&mut stream, "sold")?;
                continue;
            }
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {CATALOGUE_BYTES}\r\n\r\n")?;
            for _ in 0..CATALOGUE_BYTES / piece.len() {
                stream.write_all(&piece)?;
            }
        }
        Ok(())
    })
}

fn file(listen: SocketAddr, server: SocketAddr) -> String {
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\nsockets = 256\nstreams = 200\nstream_memory = \"32MiB\"\n\
         [[listener]]\naddress = \"{listen}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"900ms\"\n\
         [class.catalogue]\neffect = \"safe\"\npatience = \"4s\"\nretry = \"may-have-run\"\n\
         [[route]]\nname = \"bid\"\npath = \"/bid\"\nmethod = \"POST\"\nclass = \"bid\"\npool = \"floor\"\n\
         [[route]]\nname = \"catalogues\"\nprefix = \"/catalogues\"\nmethod = \"GET\"\nclass = \"catalogue\"\n\
         pool = \"floor\"\nanswer = \"stream\"\nanswer_limit = \"80MiB\"\n\
         pace = \"128KiB\"\npace_window = \"2s\"\nstream_time = \"1440m\"\n"
    )
}

/// Asks for a catalogue and reads the head of its answer; with the disruption the rest is left unread.
fn start_download(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    stream.write_all(b"GET /catalogues/all HTTP/1.1\r\nHost: a.lv\r\n\r\n")?;
    let mut start = [0; 64];
    let length = stream.read(&mut start)?;
    if !start[..length].starts_with(b"HTTP/1.1 200") {
        return Err(std::io::Error::other("refused"));
    }
    Ok(stream)
}

fn read_to_end(mut stream: TcpStream) {
    let mut buffer = vec![0; 256 << 10];
    let mut taken = 0;
    while taken < CATALOGUE_BYTES - 64 {
        match stream.read(&mut buffer) {
            Ok(length @ 1..) => taken += length,
            _ => return,
        }
    }
}

/// Sends a bid on a new connection. An error is a bid that was written whole and has no answer in time.
fn bid(address: SocketAddr) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.write_all(
        b"POST /bid HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\nConnection: close\r\n\r\n100",
    )?;
    stream.set_read_timeout(Some(BID_ANSWERED_WITHIN))?;
    read_answer(&mut BufReader::new(stream)).map(|answer| answer.status)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("stopped");
    let (listen, server) = (free_address(), server());
    let node = Node::start(&folder.put("operator.toml", &file(listen, server)), folder.path("node.log"))?;
    node.wait_until_ready(listen)?;
    let first = bid(listen).map_err(|e| e.to_string())?;
    record.line(format!("a bid before: {first}"));
    let (mut stopped, mut begun) = (Vec::new(), 0);
    let asking = Instant::now();
    while begun < READERS && asking.elapsed() < ASKED_FOR {
        // One that finds no place leaves, and another comes.
        let Ok(stream) = start_download(listen) else { continue };
        begun += 1;
        if trouble() {
            stopped.push(stream);
        } else {
            thread::spawn(move || read_to_end(stream));
        }
    }
    record.line(format!("{begun} downloads have begun; {} clients stop reading and stay", stopped.len()));
    thread::sleep(SETTLED_AFTER);
    let (began, mut breaks, mut answered) = (Instant::now(), Vec::new(), 0);
    while began.elapsed() < BIDS_FOR {
        match bid(listen) {
            Ok(200 | 503) => answered += 1,
            Ok(status) => record.line(format!("a bid answered {status}")),
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused) => {
                record.line("a bid found no listener")
            }
            Err(e) => {
                let text = format!(
                    "a bid written whole has no answer after {BID_ANSWERED_WITHIN:?}: {}",
                    e.kind()
                );
                record.line(&text);
                breaks.push(text);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.line(format!("{answered} bids answered, {} without an answer", breaks.len()));
    drop(stopped);
    if begun < READERS / 2 { Err(format!("only {begun} downloads began")) } else { Ok(breaks) }
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
