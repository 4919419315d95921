//! A reload adds a class whose clients wait longer than those of all classes before it. A stop has to answer what the
//! node has taken, for the longest deadline and 30 s at most.

use review_cases_2::*;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a server needs for an export: well within its clients' patience of 28 s.
const EXPORT_TIME: Duration = Duration::from_secs(18);
const EXPORTS: usize = 4;

fn server(ran: Arc<Mutex<Vec<String>>>, record: Record) -> SocketAddr {
    serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            skip(&mut reader, head.length())?;
            if head.path().starts_with("/export") {
                thread::sleep(EXPORT_TIME);
                ran.lock().unwrap().push(head.path().to_owned());
                record.line(format!("server: {} has run", head.path()));
            }
            write_ok(&mut stream, "done")?;
        }
        Ok(())
    })
}

fn file(listen: SocketAddr, server: SocketAddr, with_exports: bool) -> String {
    let exports = "[class.export]\neffect = \"unsafe\"\npatience = \"28s\"\n\
         [[route]]\nname = \"exports\"\nprefix = \"/export\"\nmethod = \"POST\"\nclass = \"export\"\npool = \"floor\"\n";
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\n\
         [[listener]]\naddress = \"{listen}\"\n\
         [pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.page]\neffect = \"safe\"\npatience = \"4s\"\n{}\
         [[route]]\nname = \"lots\"\nprefix = \"/lot\"\nclass = \"page\"\npool = \"floor\"\n",
        if with_exports { exports } else { "" }
    )
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("longer");
    let listen = free_address();
    let ran = Arc::new(Mutex::new(Vec::new()));
    let server = server(ran.clone(), record.clone());
    let path = folder.put("operator.toml", &file(listen, server, !trouble()));
    let mut node = Node::start(&path, folder.path("node.log"))?;
    node.wait_until_ready(listen)?;
    if trouble() {
        folder.put("operator.toml", &file(listen, server, true));
        record.line("the file has the class of exports now (patience 28 s); SIGHUP");
        signal(node.id(), "-HUP");
        node.wait_for_log("operator's file read again")?;
    }
    let began = Instant::now();
    let exports: Vec<_> = (0..EXPORTS)
        .map(|number| {
            let request =
                format!("POST /export/{number} HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 0\r\n\r\n");
            thread::spawn(move || {
                let answer = ask(listen, &request).map(|answer| answer.status).map_err(|e| e.kind());
                (answer, began.elapsed())
            })
        })
        .collect();
    record.line(format!("{EXPORTS} exports asked for"));
    thread::sleep(Duration::from_secs(1));
    record.line("SIGTERM");
    signal(node.id(), "-TERM");
    let mut breaks = Vec::new();
    for (number, export) in exports.into_iter().enumerate() {
        let (answer, after) = export.join().map_err(|_| "a client panicked")?;
        record.line(format!("client {number}: {answer:?} after {:.1} s", after.as_secs_f64()));
        if answer != Ok(200) {
            breaks.push(format!(
                "export {number}: {answer:?} after {:.1} s, of the 28 s that its client waits",
                after.as_secs_f64()
            ));
        }
    }
    wait_for("the node ends", || node.has_ended())?;
    // What the servers still do after the node has given up belongs to the record.
    thread::sleep((EXPORT_TIME + Duration::from_secs(2)).saturating_sub(began.elapsed()));
    record.line(format!("ran at the server: {:?}", ran.lock().unwrap()));
    Ok(breaks)
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
