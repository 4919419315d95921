//! The id of an unsafe request that comes again after its client has left: what may have run does not run again.

use applemill_stand_ins::*;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::thread;
use std::time::Duration;

/// How long servers take.
const SERVER_TIME: Duration = Duration::from_millis(300);
/// So many that no bid is refused.
const SERVERS: usize = 40;

/// When the client of the first request leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    WithHalfTheBody,
    AtOnce,
    WhileTheServerWorks,
    ShortlyBeforeTheAnswer,
    AfterTheAnswer,
}

const MOMENTS: [Leaves; 5] = [
    Leaves::WithHalfTheBody,
    Leaves::AtOnce,
    Leaves::WhileTheServerWorks,
    Leaves::ShortlyBeforeTheAnswer,
    Leaves::AfterTheAnswer,
];

/// How the client leaves.
#[derive(Clone, Copy, Debug)]
enum Manner {
    Close,
    Reset,
    ShutdownWrite,
}

/// When the id comes again.
const PAUSES: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(20), Duration::from_millis(150), Duration::from_millis(500)];

fn leave(client: Client, manner: Manner) -> Option<Client> {
    match manner {
        Manner::Close => drop(client),
        Manner::Reset => {
            let _ = socket2::SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
            drop(client);
        }
        Manner::ShutdownWrite => {
            let _ = client.stream.shutdown(Shutdown::Write);
            return Some(client);
        }
    }
    None
}

/// Sends the request, leaves, and sends it again. Returns the status of the second answer.
fn send_twice(address: SocketAddr, bytes: &[u8], leaves: Leaves, manner: Manner, pause: Duration) -> u16 {
    let mut client = Client::connect(address);
    let sent = match leaves {
        Leaves::WithHalfTheBody => &bytes[..bytes.len() - 2],
        _ => bytes,
    };
    assert!(client.send(sent));
    match leaves {
        Leaves::WithHalfTheBody | Leaves::AtOnce => {}
        Leaves::WhileTheServerWorks => thread::sleep(SERVER_TIME / 5),
        Leaves::ShortlyBeforeTheAnswer => thread::sleep(SERVER_TIME - Duration::from_millis(20)),
        Leaves::AfterTheAnswer => assert_eq!(client.answer().unwrap().status(), 200),
    }
    let left = leave(client, manner);
    thread::sleep(pause);
    let status = attempt(address, bytes).map_or(0, |answer| answer.status());
    drop(left);
    status
}

/// How often each id has arrived at the servers.
fn arrivals(record: &Record) -> HashMap<String, usize> {
    let mut arrivals = HashMap::new();
    for message in record.seen.lock().unwrap().iter() {
        *arrivals.entry(message.header("x-trace-id").unwrap_or_default().to_owned()).or_default() += 1;
    }
    arrivals
}

fn slow_servers(record: &Record) -> Vec<SocketAddr> {
    backends(SERVERS, record, |_, _| {
        thread::sleep(SERVER_TIME);
        ok(b"x")
    })
}

/// Guards against running an unsafe request again whose id comes again, at any moment.
#[test]
fn a_bid_whose_id_comes_again_after_its_client_has_left_runs_once() {
    let record = Record::default();
    let discovery = Discovery::start(all_up(&slow_servers(&record)));
    let node = Node::start(discovery.address, |_| {});
    for leaves in MOMENTS {
        thread::scope(|scope| {
            for manner in [Manner::Close, Manner::Reset, Manner::ShutdownWrite] {
                for pause in PAUSES {
                    let address = node.address;
                    scope.spawn(move || send_twice(address, &request("bid", 900), leaves, manner, pause));
                }
            }
        });
    }
    let arrivals = arrivals(&record);
    assert!(arrivals.len() >= 3 * MOMENTS.len() * PAUSES.len() / 2, "{} bids ran", arrivals.len());
    let repeated = arrivals.values().filter(|count| **count > 1).count();
    assert_eq!(repeated, 0, "of {} bids ran more than once", arrivals.len());
}

/// Guards against the same where a route takes the request; there, an id may be that of a trace, and is free after
/// an answer.
#[test]
fn an_unsafe_request_of_a_route_runs_once_if_its_client_left_without_an_answer() {
    let record = Record::default();
    let servers: Vec<String> =
        slow_servers(&record).iter().map(|a| format!("{{ address = \"{a}\" }}")).collect();
    let node = Node::start_by_file(&format!(
        "[[listener]]\naddress = \"LISTEN\"\n[pool.floor]\nservers = [{}]\n\
         [class.bid]\neffect = \"unsafe\"\npatience = \"2s\"\n\
         [[route]]\nname = \"bid\"\npath = \"/bid\"\nmethod = \"POST\"\nclass = \"bid\"\npool = \"floor\"\n",
        servers.join(", ")
    ));
    for (id, leaves, expected) in [
        ("left-early", Leaves::WhileTheServerWorks, 409),
        ("left-late", Leaves::ShortlyBeforeTheAnswer, 409),
        ("answered", Leaves::AfterTheAnswer, 200),
    ] {
        let bytes =
            format!("POST /bid HTTP/1.1\r\nHost: n\r\nX-Trace-Id: {id}\r\nContent-Length: 3\r\n\r\n100");
        let status =
            send_twice(node.address, bytes.as_bytes(), leaves, Manner::Close, Duration::from_millis(150));
        assert_eq!(status, expected, "{id}");
    }
    let arrivals = arrivals(&record);
    assert_eq!((arrivals["left-early"], arrivals["left-late"], arrivals["answered"]), (1, 1, 2));
}

/// Guards against refusing what is known not to have run, or may run again.
#[test]
fn ids_of_refused_and_of_safe_requests_may_come_again() {
    let record = Record::default();
    let addresses = backends(1, &record, |number, _| {
        if number == 0 {
            return Act::Say(reply("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""));
        }
        thread::sleep(SERVER_TIME);
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |config| {
        config["settings"]["limits"]["attemptsCap"] = 1.into();
    });
    let bid = request("bid", 900);
    assert_eq!(ask(node.address, &bid).status(), 503);
    assert_eq!(ask(node.address, &bid).status(), 200, "a refused bid may come again");
    for class in ["page", "pay"] {
        let status = send_twice(
            node.address,
            &request(class, 4000),
            Leaves::WhileTheServerWorks,
            Manner::Close,
            Duration::from_millis(100),
        );
        assert_eq!(status, 200, "{class}");
    }
}
