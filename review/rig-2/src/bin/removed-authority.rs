//! An operator takes an authority of clients' certificates out of its file while an authority of ACME is slow to
//! answer an order. From a second later on nobody with a certificate of that authority may be let in.

use applemill_stand_ins::{Authority, Issuer, Manner, Secure, Stage, Whim};
use review_cases_2::*;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DAY_S: i64 = 86_400;
/// How long the authority of ACME takes for its directory: less than the 30 s that the node waits.
const AUTHORITY_TIME: Duration = Duration::from_secs(20);
/// "A new one is taken within a second"; a second more is left to the machine.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// How long clients of the removed authority go on trying.
const TRIED_FOR: Duration = Duration::from_secs(12);

fn server(ran: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            skip(&mut reader, head.length())?;
            ran.lock().unwrap().push(head.path().to_owned());
            write_ok(&mut stream, "sold")?;
        }
        Ok(())
    })
}

/// The addresses of a node: for houses, who show certificates, and without TLS.
struct Listeners {
    houses: SocketAddr,
    plain: SocketAddr,
}

fn file(folder: &Folder, listeners: &Listeners, server: SocketAddr, directory: &str) -> String {
    let path = |name: &str| folder.path(name).display().to_string();
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\n\
         [[listener]]\nname = \"houses\"\naddress = \"{}\"\ntls = true\nclient_ca = \"{}\"\n\
         [[listener]]\nname = \"web\"\naddress = \"{}\"\n\
         [tls]\nstate = \"{}\"\n\
         [certificate.houses]\nnames = [\"a.lv\"]\nchain = \"{}\"\nkey = \"{}\"\ndefault = true\n\
         [certificate.auction]\nnames = [\"b.lv\"]\nauthorities = [\"main\"]\n\
         [authority.main]\ndirectory = \"{directory}\"\nroot = \"{}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"2s\"\n\
         [[route]]\nname = \"bid\"\nclass = \"bid\"\npool = \"floor\"\ntenant = {{ certificate = \"dns\" }}\n\
         [tenant.\"north.lv\"]\nrate = 100\n[tenant.\"south.lv\"]\nrate = 100\n",
        listeners.houses,
        path("houses.pem"),
        listeners.plain,
        path("state"),
        path("a.pem"),
        path("a.key"),
        path("root.pem"),
    )
}

/// Status of a bid on a new connection; none if the client is not let in.
fn bid(client: &Secure, at: SocketAddr, id: &str) -> Option<u16> {
    let request = format!("POST /bid/{id} HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\n\r\n100");
    client.connect(at, "a.lv").ok()?.ask(request.as_bytes()).map(|answer| answer.status())
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("removed");
    let (root, north, south) = (Issuer::new("root"), Issuer::new("north"), Issuer::new("south"));
    let (chain, key) = root.pair(&["a.lv"], -10, DAY_S);
    folder.put("a.pem", &chain);
    folder.put("a.key", &key);
    folder.put("houses.pem", &format!("{}{}", north.root(), south.root()));
    let listeners = Listeners { houses: free_address(), plain: free_address() };
    let manner = Manner { life: 90 * DAY_S, nodes: vec![(listeners.plain, listeners.houses)], bound: None };
    let authority = Authority::start(manner).map_err(|e| e.to_string())?;
    folder.put("root.pem", &authority.root());
    let asked = Arc::new(AtomicUsize::new(0));
    let (counter, slow, notes) = (asked.clone(), trouble(), record.clone());
    authority.does(move |stage, _| {
        counter.fetch_add(1, SeqCst);
        notes.line(format!("authority of ACME: asked ({stage:?})"));
        if slow && stage == Stage::Directory { Whim::Slow(AUTHORITY_TIME) } else { Whim::Right }
    });
    let ran = Arc::new(Mutex::new(Vec::new()));
    let text = file(&folder, &listeners, server(ran.clone()), &authority.directory());
    let node = Node::start(&folder.put("operator.toml", &text), folder.path("node.log"))?;
    node.wait_until_ready(listeners.plain)?;
    wait_for("the authority is asked", || asked.load(SeqCst) > 0)?;
    let client = |issuer: &Issuer, name| Secure::showing(&root.root(), &issuer.pair(&[name], -10, DAY_S));
    let (north_client, south_client) = (client(&north, "north.lv"), client(&south, "south.lv"));
    for (name, client) in [("north", &north_client), ("south", &south_client)] {
        let status = bid(client, listeners.houses, &format!("{name}-before"));
        record.line(format!("client {name}: answered {status:?}"));
        if status != Some(200) {
            return Err(format!("{name} is not served to begin with"));
        }
    }
    folder.put("houses.pem", &south.root());
    let changed = Instant::now();
    record.line("the file of authorities has only south now");
    thread::sleep(TAKEN_WITHIN);
    let mut breaks = Vec::new();
    let mut number = 0;
    while changed.elapsed() < TRIED_FOR {
        number += 1;
        let after = changed.elapsed().as_secs_f64();
        let status = bid(&north_client, listeners.houses, &format!("north-{number}"));
        record.line(format!("client north: {status:?}, {after:.1} s after the change"));
        if let Some(status) = status {
            breaks.push(format!(
                "north was let in {after:.1} s after it was taken out, and answered {status}"
            ));
        }
        if bid(&south_client, listeners.houses, &format!("south-{number}")) != Some(200) {
            return Err("south is not served".to_owned());
        }
        thread::sleep(Duration::from_millis(900));
    }
    record.line(format!("ran at the server: {:?}", ran.lock().unwrap()));
    Ok(breaks)
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
