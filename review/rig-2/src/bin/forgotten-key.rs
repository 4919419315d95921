//! A keyed upload is sent again while its servers remember its key, and ends after they have forgotten it.

use review_cases_2::*;
use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `repeats_dropped_for` of the class: so long servers remember a key that they have acted on.
const REMEMBERED_FOR: Duration = Duration::from_secs(3);
const PARTS: usize = 8;
const PART_BYTES: usize = 1_000;
/// A client on a poor link sends one part in this time.
const PART_TIME: Duration = Duration::from_secs(1);
/// When the server that has the first attempt is told to stop.
const STOP_AFTER: Duration = Duration::from_millis(1_500);

/// What the servers of the pool know together: when each key was acted on last, and how often.
#[derive(Default)]
struct Keys {
    acted: BTreeMap<String, (Instant, usize)>,
    stopped: BTreeMap<String, ()>,
}

impl Keys {
    /// Acts on a request, unless its key was acted on a while ago and is remembered.
    fn act(&mut self, key: &str, what: &str, record: &Record) {
        let now = Instant::now();
        match self.acted.get_mut(key) {
            Some((at, _)) if now - *at < REMEMBERED_FOR => record.line(format!("{what}: {key} is a repeat, dropped")),
            Some((at, times)) => {
                (*at, *times) = (now, *times + 1);
                record.line(format!("{what}: acts on {key} again, as it has forgotten it"));
            }
            None => {
                self.acted.insert(key.to_owned(), (now, 1));
                record.line(format!("{what}: acts on {key}"));
            }
        }
    }
}

/// A server that acts on a whole report. When it is told to stop it acts on the part that it has, and closes.
fn server(number: usize, keys: Arc<Mutex<Keys>>, record: Record) -> SocketAddr {
    serve(move |mut stream| {
        let what = format!("server {number}");
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let Some(key) = head.header("idempotency-key").map(str::to_owned) else {
                write_ok(&mut stream, "page")?;
                continue;
            };
            let began = Instant::now();
            let is_first = keys.lock().unwrap().stopped.insert(key.clone(), ()).is_none();
            record.line(format!("{what}: an attempt of {key} begins"));
            let (mut received, mut buffer) = (0, [0; 4096]);
            stream.set_read_timeout(Some(Duration::from_millis(50)))?;
            while received < head.length() {
                if trouble() && is_first && began.elapsed() > STOP_AFTER {
                    keys.lock().unwrap().act(&key, &format!("{what} stops with a part"), &record);
                    return stream.shutdown(Shutdown::Both);
                }
                match reader.read(&mut buffer) {
                    Ok(0) => {
                        record.line(format!("{what}: the attempt of {key} is given up by the node"));
                        return Ok(());
                    }
                    Ok(length) => received += length,
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(e) => return Err(e),
                }
            }
            stream.set_read_timeout(None)?;
            keys.lock().unwrap().act(&key, &format!("{what} has all of it"), &record);
            write_ok(&mut stream, "filed")?;
        }
        Ok(())
    })
}

fn file(listen: SocketAddr, servers: &[SocketAddr]) -> String {
    let servers: Vec<String> = servers.iter().map(|s| format!("{{ address = \"{s}\" }}")).collect();
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\n\
         [[listener]]\naddress = \"{listen}\"\n\
         [pool.floor]\nservers = [{}]\nacts_on = \"part\"\n\
         [class.report]\neffect = \"keyed\"\npatience = \"2s\"\nrepeats_dropped_by = \"pool\"\n\
         repeats_dropped_for = \"3s\"\n\
         [[route]]\nname = \"condition reports\"\npath = \"/reports\"\nmethod = \"POST\"\nclass = \"report\"\n\
         pool = \"floor\"\nbody = \"stream\"\nretry = \"may-have-run\"\nattempts = 2\n\
         pace = \"4KiB\"\npace_window = \"8s\"\n",
        servers.join(", ")
    )
}

fn upload(address: SocketAddr, key: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    write!(
        stream,
        "POST /reports HTTP/1.1\r\nHost: a.lv\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n",
        PARTS * PART_BYTES
    )?;
    for _ in 0..PARTS {
        // The node may have answered and closed meanwhile.
        if stream.write_all(&[b'r'; PART_BYTES]).is_err() {
            break;
        }
        thread::sleep(PART_TIME);
    }
    read_answer(&mut BufReader::new(stream)).map(|answer| answer.status)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("forgotten");
    let keys = Arc::new(Mutex::new(Keys::default()));
    let servers: Vec<SocketAddr> = (1..=3).map(|n| server(n, keys.clone(), record.clone())).collect();
    let listen = free_address();
    let node = Node::start(&folder.put("operator.toml", &file(listen, &servers)), folder.path("node.log"))?;
    node.wait_until_ready(listen)?;
    let uploads: Vec<_> = (0..3)
        .map(|number| {
            let key = format!("key-{number}");
            thread::spawn(move || upload(listen, &key).map_err(|e| e.kind()))
        })
        .collect();
    for (number, upload) in uploads.into_iter().enumerate() {
        let status = upload.join().map_err(|_| "a client panicked")?;
        record.line(format!("client: key-{number} answered {status:?}"));
    }
    thread::sleep(Duration::from_millis(300));
    let keys = keys.lock().unwrap();
    if keys.acted.is_empty() {
        return Err("no report was acted on".to_owned());
    }
    let twice = keys.acted.iter().filter(|(_, (_, times))| *times > 1);
    Ok(twice.map(|(key, (_, times))| format!("{key} was acted on {times} times")).collect())
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
