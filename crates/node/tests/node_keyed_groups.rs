//! Keyed requests whose repeats are dropped by zone or cell, where discovery supplies the servers: what may have run
//! goes again only to a server that is known to share the group of the first.

use applemill_stand_ins::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const SERVERS: usize = 6;
const PAYMENTS: usize = 30;
/// One in so many first attempts runs, and its connection breaks before the answer.
const BREAK_EVERY: usize = 5;

/// The servers at which each key has arrived, in order.
type Arrivals = Arc<Mutex<BTreeMap<String, Vec<usize>>>>;

/// A server that breaks the connection of some keys at their first attempt.
fn server(number: usize, arrivals: &Arrivals) -> SocketAddr {
    let arrivals = arrivals.clone();
    backend(&Record::default(), move |_, message| {
        let key = message.header("idempotency-key").unwrap_or_default().to_owned();
        let mut arrivals = arrivals.lock().unwrap();
        let keys = arrivals.len();
        let servers = arrivals.entry(key).or_default();
        servers.push(number);
        let breaks = servers.len() == 1 && keys.is_multiple_of(BREAK_EVERY);
        if breaks { Act::SayAndReset(Vec::new()) } else { ok(b"paid") }
    })
}

fn file(discovery: SocketAddr, dropped_by: &str, node_zone: &str) -> String {
    format!(
        "[node]\n{node_zone}\n[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\ndiscovery = \"{discovery}\"\n\
         [class.pay]\neffect = \"keyed\"\npatience = \"2s\"\nrepeats_dropped_by = \"{dropped_by}\"\n\
         repeats_dropped_for = \"30s\"\n\
         [[route]]\nname = \"pay\"\npath = \"/pay\"\nmethod = \"POST\"\nclass = \"pay\"\npool = \"floor\"\n\
         retry = \"may-have-run\"\n"
    )
}

/// The pairs of servers between which a payment was sent again. `place` sets the zone and the cell of an entry.
fn resends(
    dropped_by: &str,
    node_zone: &str,
    place: impl Fn(usize, &mut Value),
) -> BTreeSet<(usize, usize)> {
    let arrivals = Arrivals::default();
    let addresses: Vec<SocketAddr> = (0..SERVERS).map(|number| server(number, &arrivals)).collect();
    let mut targets = all_up(&addresses);
    targets.iter_mut().enumerate().for_each(|(number, entry)| place(number, entry));
    let discovery = Discovery::start(targets);
    let node = Node::start_by_file(&file(discovery.address, dropped_by, node_zone));
    for number in 0..PAYMENTS {
        let head = format!("POST /pay HTTP/1.1\r\nHost: a.lv\r\nIdempotency-Key: key-{number}\r\n");
        let _ = attempt(node.address, format!("{head}Content-Length: 3\r\n\r\n100").as_bytes());
    }
    let arrivals = arrivals.lock().unwrap();
    assert_eq!(arrivals.len(), PAYMENTS, "each payment reached a server");
    let pairs = arrivals.values().flat_map(|servers| servers.windows(2).map(|pair| (pair[0], pair[1])));
    pairs.collect()
}

/// Guards against taking zones that only discovery names for one zone.
#[test]
fn a_payment_stays_in_its_zone_where_discovery_names_the_zones() {
    let place = |number: usize, entry: &mut Value| entry["az"] = json!(format!("zone-{}", number % 3));
    for node_zone in ["", "zone = \"zone-1\""] {
        let pairs = resends("zone", node_zone, place);
        assert!(!pairs.is_empty(), "some payment is sent again within its zone");
        assert!(pairs.iter().all(|(first, second)| first % 3 == second % 3), "{node_zone}: {pairs:?}");
    }
}

/// Guards against taking servers of which no zone is known for servers of one zone.
#[test]
fn a_payment_is_not_sent_again_where_no_zone_is_known() {
    for missing in [Value::Null, json!(""), json!(7)] {
        let pairs = resends("zone", "zone = \"zone-1\"", |_, entry| entry["az"] = missing.clone());
        assert!(pairs.is_empty(), "az {missing}: {pairs:?}");
    }
}

/// Guards against the same with cells: a missing one was cell 0, and a fraction was cut off.
#[test]
fn a_payment_stays_in_its_cell_and_is_not_sent_again_where_no_cell_is_known() {
    let pairs = resends("cell", "", |number, entry| entry["pod_group"] = json!(number % 3));
    assert!(!pairs.is_empty(), "some payment is sent again within its cell");
    assert!(pairs.iter().all(|(first, second)| first % 3 == second % 3), "{pairs:?}");
    let pairs = resends("cell", "", |number, entry| {
        entry["pod_group"] = if number == 0 { json!(0) } else { Value::Null };
    });
    assert!(pairs.is_empty(), "no cell: {pairs:?}");
}
