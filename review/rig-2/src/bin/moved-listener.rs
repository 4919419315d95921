//! An operator moves one of two listeners to another address by `applemill upgrade`. Clients go on connecting to the
//! old address for a moment. Whatever the node's machine has accepted there has to be answered.

use review_cases_2::*;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// New connections go on coming for 0.2 to 0.4 s after a node is told to end.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(300);
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);

fn server() -> SocketAddr {
    serve(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            skip(&mut reader, head.length())?;
            write_ok(&mut stream, "lot")?;
        }
        Ok(())
    })
}

fn file(folder: &Folder, listeners: [SocketAddr; 2], server: SocketAddr) -> String {
    let path = |name: &str| folder.path(name).display().to_string();
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\nlock = \"{}\"\nhand_over = \"{}\"\n\
         [[listener]]\nname = \"web\"\naddress = \"{}\"\n\
         [[listener]]\nname = \"houses\"\naddress = \"{}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.page]\neffect = \"safe\"\npatience = \"4s\"\n\
         [[route]]\nname = \"lots\"\nclass = \"page\"\npool = \"floor\"\n",
        path("lock"),
        path("hand-over.sock"),
        listeners[0],
        listeners[1]
    )
}

/// How a request on a new connection ended.
enum End {
    Answered(u16),
    /// No connection came up, or the request could not be written whole.
    NotTaken(ErrorKind),
    /// The request was written whole, and no answer came.
    Lost(ErrorKind),
}

fn ask_once(address: SocketAddr) -> End {
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(2));
    let mut stream = match connected {
        Ok(stream) => stream,
        Err(e) => return End::NotTaken(e.kind()),
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    if let Err(e) = stream.write_all(b"GET /lot/7 HTTP/1.1\r\nHost: a.lv\r\nConnection: close\r\n\r\n") {
        return End::NotTaken(e.kind());
    }
    match read_answer(&mut BufReader::new(stream)) {
        Ok(answer) => End::Answered(answer.status),
        Err(e) => End::Lost(e.kind()),
    }
}

/// Asks on new connections, one after the other, until told to end. Returns what was lost.
fn client(number: usize, address: SocketAddr, end: &AtomicBool, record: &Record) -> (usize, Vec<String>) {
    let (mut answered, mut lost, mut asked) = (0, Vec::new(), 0);
    while !end.load(SeqCst) {
        asked += 1;
        let began = Instant::now();
        match ask_once(address) {
            End::Answered(200) => answered += 1,
            End::Answered(status) => {
                record.line(format!("client {number}: request {asked} answered {status}"))
            }
            End::NotTaken(why) => record.line(format!("client {number}: request {asked} not taken: {why}")),
            End::Lost(why) => {
                let after_ms = began.elapsed().as_millis();
                let text = format!("client {number}: request {asked} lost: {why}, after {after_ms} ms");
                record.line(&text);
                lost.push(text);
            }
        }
        thread::sleep(PAUSE);
    }
    (answered, lost)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("moved");
    let server = server();
    let [web, houses, new_houses] = [(); 3].map(|()| free_address());
    let path = folder.put("operator.toml", &file(&folder, [web, houses], server));
    let node = Node::start(&path, folder.path("node.log"))?;
    node.wait_until_ready(web)?;
    node.wait_until_ready(houses)?;
    let end = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (end, record) = (end.clone(), record.clone());
            thread::spawn(move || client(number, houses, &end, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let second = if trouble() { new_houses } else { houses };
    folder.put("operator.toml", &file(&folder, [web, second], server));
    record.line(format!(
        "applemill upgrade; the second listener {}",
        if trouble() { "moves" } else { "stays" }
    ));
    let arguments = ["upgrade", "--config", &path.display().to_string()];
    let code = run_program(&arguments, &folder.path("upgrade.log"))?;
    record.line(format!("applemill upgrade ended with {code:?}"));
    let new_process: Option<u32> =
        std::fs::read_to_string(folder.path("lock")).ok().and_then(|text| text.trim().parse().ok());
    let _ended_with_the_case = new_process.filter(|id| *id != node.id()).map(Started::adopt);
    if code != Some(0) {
        let log = std::fs::read_to_string(folder.path("upgrade.log")).unwrap_or_default();
        return Err(format!("the upgrade failed: {log}"));
    }
    thread::sleep(NEW_CONNECTIONS_FOR);
    end.store(true, SeqCst);
    record.line("no new connections from here on");
    let (mut answered, mut breaks) = (0, Vec::new());
    for client in clients {
        let (served, lost) = client.join().map_err(|_| "a client panicked")?;
        answered += served;
        breaks.extend(lost);
    }
    record.line(format!("{answered} requests answered 200, {} lost", breaks.len()));
    if answered == 0 { Err("no request was answered".to_owned()) } else { Ok(breaks) }
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
