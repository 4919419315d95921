//! The operator's file read again: taken whole or not at all, and requests end under the version they came under.

use applemill_stand_ins::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

fn file(server: SocketAddr, routes: &str) -> String {
    format!(
        "[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\nservers = [{{ address = \"{server}\" }}]\n\
         [class.page]\neffect = \"safe\"\npatience = \"4s\"\n[class.bid]\neffect = \"unsafe\"\npatience = \"8s\"\n{routes}"
    )
}

fn route(name: &str, path: &str, class: &str) -> String {
    format!("[[route]]\nname = \"{name}\"\npath = \"{path}\"\nclass = \"{class}\"\npool = \"floor\"\n")
}

fn get(address: SocketAddr, path: &str) -> u16 {
    ask(address, format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).status()
}

/// Waits for a line that has this.
fn said(lines: &Receiver<String>, text: &str) -> String {
    loop {
        let line = lines.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("never said: {text}"));
        if line.contains(text) {
            return line;
        }
    }
}

/// Sets it when dropped, also by a panic: the load must not outlive what it is for.
struct Sets<'f>(&'f AtomicBool);

impl Drop for Sets<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A door that holds requests until it is opened.
#[derive(Clone, Default)]
struct Door(Arc<(Mutex<bool>, Condvar)>);

impl Door {
    fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn pass(&self) {
        let mut open = self.0.0.lock().unwrap();
        while !*open {
            open = self.0.1.wait(open).unwrap();
        }
    }
}

#[test]
fn a_bid_that_is_out_ends_under_its_version_whose_route_the_new_one_drops() {
    let record = Record::default();
    let door = Door::default();
    let held = door.clone();
    let server = backend(&record, move |_, m| {
        if m.first_line.starts_with("POST") {
            held.pass();
        }
        ok(b"done")
    });
    let old = file(server, &(route("page", "/a", "page") + &route("bid", "/bid", "bid")));
    let mut node = Node::start_by_file(&old);
    let lines = node.log_lines();
    let address = node.address;
    let bid =
        thread::spawn(move || ask(address, b"POST /bid HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"));
    wait_for("the bid is out", || record.count() == 1);
    node.reload_file(&file(server, &(route("page", "/a", "page") + &route("new", "/b", "page"))));
    said(&lines, "taken");
    assert_eq!((get(address, "/a"), get(address, "/b"), get(address, "/bid")), (200, 200, 404));
    door.open();
    let answer = bid.join().unwrap();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"done"[..]));
    // And back again, with other values: a class of the old version is no other one's meanwhile.
    node.reload_file(&old);
    said(&lines, "taken");
    assert_eq!((get(address, "/a"), get(address, "/b"), get(address, "/bid")), (200, 404, 200));
}

#[test]
fn a_class_that_an_open_bid_has_is_given_to_no_other() {
    let record = Record::default();
    let door = Door::default();
    let held = door.clone();
    // Two servers: a bid that were safe by mistake would be sent again to the other one.
    let servers = backends(2, &record, move |_, m| {
        if !m.first_line.starts_with("POST") {
            return ok(b"x");
        }
        held.pass();
        Act::SayAndClose(Vec::new())
    });
    let list = format!("{{ address = \"{}\" }}, {{ address = \"{}\" }}", servers[0], servers[1]);
    let one = format!("{{ address = \"{}\" }}", servers[0]);
    let file = |routes: &str| file(servers[0], routes).replace(&one, &list);
    let mut node = Node::start_by_file(&file(&route("bid", "/bid", "bid")));
    let lines = node.log_lines();
    let address = node.address;
    let bid = thread::spawn(move || {
        ask(address, b"POST /bid HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n").status()
    });
    wait_for("the bid is out", || record.count() == 1);
    let many = |numbers: std::ops::Range<usize>| -> String {
        numbers
            .map(|n| {
                let values = format!("retry = \"may-have-run\"\ndeadline = \"{}ms\"\n", 1000 + n);
                route(&format!("r{n}"), &format!("/r{n}"), "page") + &values
            })
            .collect()
    };
    // One place is the bid's, 32 are spare; the version in service keeps its own until it is replaced.
    node.reload_file(&file(&many(0..20)));
    said(&lines, "operator's file read again");
    assert_eq!((get(address, "/r19"), get(address, "/bid")), (200, 404));
    node.reload_file(&file(&many(20..33)));
    assert!(said(&lines, "operator's file kept as it was").contains("13 new sets of values and 12 places"));
    door.open();
    assert_eq!(bid.join().unwrap(), 502);
    let bids = record.seen.lock().unwrap().iter().filter(|m| m.first_line.starts_with("POST")).count();
    assert_eq!(bids, 1);
    // It is over: its place is free.
    node.reload_file(&file(&many(20..33)));
    said(&lines, "operator's file read again");
    assert_eq!(get(address, "/r32"), 200);
}

#[test]
fn whatever_is_in_the_files_place_changes_nothing_and_stops_nothing() {
    let record = Record::default();
    let server = backend(&record, |_, _| ok(b"x"));
    let good = file(server, &route("page", "/a", "page"));
    let mut node = Node::start_by_file(&good);
    let lines = node.log_lines();
    let address = node.address;
    let (over, asked) = (AtomicBool::new(false), AtomicU32::new(0));
    thread::scope(|scope| {
        let _end = Sets(&over);
        for _ in 0..3 {
            scope.spawn(|| {
                let mut client = Client::connect(address);
                while !over.load(Ordering::SeqCst) {
                    assert_eq!(client.ask(b"GET /a HTTP/1.1\r\nHost: n\r\n\r\n").status(), 200);
                    asked.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let kept = |what: &str, why: &str| {
            let line = said(&lines, "operator's file kept as it was");
            assert!(line.contains(why), "{what}: {line}");
            let before = asked.load(Ordering::SeqCst);
            wait_for("requests go on", || asked.load(Ordering::SeqCst) > before + 3);
        };
        for cut in [0, 1, good.len() / 3, good.len() / 2, good.len() - 5] {
            node.reload_file(good.get(..cut).unwrap());
            kept("cut off", "is refused");
        }
        let mut broken = good.clone().into_bytes();
        broken.extend(b"\xff\xfe");
        std::fs::write(node.file(), &broken).unwrap();
        node.hang_up();
        kept("not UTF-8", "is refused");
        std::fs::write(node.file(), vec![b'#'; 50 * 1024 * 1024]).unwrap();
        node.hang_up();
        kept("50 MB", "8 MiB at most");
        let routes: String = (0..10_000).map(|n| route("same", &format!("/a/{n}"), "bit")).collect();
        node.reload_file(&file(server, &routes));
        kept("ten thousand bad routes", "is refused");
        std::fs::remove_file(node.file()).unwrap();
        node.hang_up();
        kept("no file", "No such file");
        std::fs::create_dir(node.file()).unwrap();
        node.hang_up();
        kept("a folder", "not a file");
        std::fs::remove_dir(node.file()).unwrap();
        // What would be good for another node.
        let other = good.replace("[pool.floor]", "[node]\nsockets = 99\n[pool.floor]");
        node.reload_file(&other);
        kept("another node", "[node] hold from start to end");
        node.reload_file(&good.replace("floor", "roof"));
        kept("another pool", "pool \"roof\" is new");
        // Ten thousand good routes are taken.
        let routes: String =
            (0..10_000).map(|n| route(&format!("r{n}"), &format!("/a/{n}"), "page")).collect();
        node.reload_file(&(file(server, &routes) + &route("page", "/a", "page")));
        said(&lines, "operator's file read again");
        assert_eq!(get(address, "/a/9999"), 200);
    });
    assert!(node.running());
}

#[test]
fn each_bad_file_is_refused_on_reload_and_the_old_one_serves() {
    let record = Record::default();
    let server = backend(&record, |_, _| ok(b"x"));
    let mut node = Node::start_by_file(&file(server, &route("page", "/a", "page")));
    let lines = node.log_lines();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../routes/tests/bad");
    let mut refused = 0;
    for bad in std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()) {
        if bad.extension().is_none_or(|e| e != "toml") {
            continue;
        }
        std::fs::copy(&bad, node.file()).unwrap();
        node.hang_up();
        let line = said(&lines, "operator's file kept as it was");
        assert!(line.contains("is refused"), "{}: {line}", bad.display());
        assert_eq!(get(node.address, "/a"), 200, "{}", bad.display());
        refused += 1;
        // The node logs twenty lines a second at most.
        if refused % 15 == 0 {
            thread::sleep(std::time::Duration::from_millis(1100));
        }
    }
    assert!(refused >= 60 && node.running(), "{refused}");
}

#[test]
fn servers_of_a_fixed_list_come_and_go_with_the_file() {
    let place = |name: &'static [u8]| backend(&Record::default(), move |_, _| ok(name));
    let (a, b) = (place(b"a"), place(b"b"));
    let routes = route("page", "/a", "page");
    let mut node = Node::start_by_file(&file(a, &routes));
    let lines = node.log_lines();
    let served = |by: &[u8]| ask(node.address, b"GET /a HTTP/1.1\r\nHost: n\r\n\r\n").body == by;
    assert!(served(b"a"));
    node.reload_file(&file(b, &routes));
    said(&lines, "taken");
    assert!((0..20).all(|_| served(b"b")), "nothing new to one that is gone");
}

/// How many of some pages each server gets, of three, the last of which a reload has just added.
fn shares_after_a_reload_adds_one(added: &str) -> Vec<usize> {
    let records: Vec<Record> = (0..3).map(|_| Record::default()).collect();
    let servers: Vec<SocketAddr> = records.iter().map(|r| backend(r, |_, _| ok(b"x"))).collect();
    let text = |list: &str| {
        file(servers[0], &route("page", "/a", "page")).replace(
            &format!("servers = [{{ address = \"{}\" }}]", servers[0]),
            &format!("servers = [{list}]"),
        )
    };
    let two = format!("{{ address = \"{}\" }}, {{ address = \"{}\" }}", servers[0], servers[1]);
    let mut node = Node::start_by_file(&text(&two));
    let lines = node.log_lines();
    let pages = |count: usize| {
        for _ in 0..count {
            assert_eq!(get(node.address, "/a"), 200);
            thread::sleep(std::time::Duration::from_millis(2));
        }
    };
    pages(400);
    node.reload_file(&text(&format!("{two}, {{ address = \"{}\"{added} }}", servers[2])));
    said(&lines, "taken");
    let before: Vec<usize> = records.iter().map(Record::count).collect();
    pages(600);
    records.iter().zip(before).map(|(r, b)| r.count() - b).collect()
}

#[test]
fn a_server_that_a_reload_adds_is_cold_and_not_pushed_over_unless_the_file_says_it_is_warm() {
    let cold = shares_after_a_reload_adds_one("");
    // A fifth of what it will be able to do, at its start.
    assert!(cold[2] * 2 < cold[0].min(cold[1]), "{cold:?}");
    let warm = shares_after_a_reload_adds_one(", warm = true");
    assert!(warm[2] * 2 > warm[0].min(warm[1]), "{warm:?}");
}

over_tls! {
    a_bid_that_is_out_ends_under_its_version_whose_route_the_new_one_drops
    servers_of_a_fixed_list_come_and_go_with_the_file
}
