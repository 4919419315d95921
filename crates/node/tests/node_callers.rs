//! Clients that show certificates: who is let in, by whom they are known, and what a change of the file of authorities does.

use applemill_stand_ins::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

const DAY: i64 = 86_400;
const UP: &[u8] = b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
const BID: &[u8] = b"POST /bid HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\n\r\n100";

/// A node with a listener that wants certificates, one that asks for them, one by TLS that does not, and one without TLS.
struct Site {
    node: Node,
    asking: SocketAddr,
    open: SocketAddr,
    folder: Folder,
    /// Who has given out the node's own certificate.
    by: Issuer,
    /// Who gives out those of its clients.
    houses: Issuer,
    /// Bids by server.
    taken: Vec<Arc<AtomicUsize>>,
    log: std::sync::mpsc::Receiver<String>,
}

impl Site {
    fn start() -> Site {
        let (folder, by, houses) = (Folder::new("callers"), Issuer::new("root"), Issuer::new("houses"));
        let (chain, key) = by.pair(&["a.lv"], -10, DAY);
        let [chain, key] = [folder.put("a.pem", &chain), folder.put("a.key", &key)];
        // The fleet's keys: what seals tickets of one listener could open them on another.
        let tickets = folder.put("tickets", &"5a".repeat(32));
        let ca = folder.put("houses.pem", &houses.root());
        let (asking, open, plain) = (free_address(), free_address(), free_address());
        let taken: Vec<Arc<AtomicUsize>> = (0..4).map(|_| Arc::default()).collect();
        let servers: Vec<String> = taken
            .iter()
            .map(|taken| {
                let taken = taken.clone();
                let server = backend(&Record::default(), move |_, _| {
                    taken.fetch_add(1, SeqCst);
                    ok(b"sold")
                });
                format!("{{ address = \"{server}\" }}")
            })
            .collect();
        let mut node = Node::launch_by_file(&format!(
            "[[listener]]\naddress = \"LISTEN\"\ntls = true\nclient_ca = \"{ca}\"\n\
             [[listener]]\naddress = \"{asking}\"\ntls = true\nclient_ca = \"{ca}\"\nclient_certificate = \"asked\"\n\
             [[listener]]\naddress = \"{open}\"\ntls = true\n[[listener]]\naddress = \"{plain}\"\n\
             [tls]\nticket_keys = \"{tickets}\"\n[certificate.a]\nnames = [\"a.lv\"]\nchain = \"{chain}\"\nkey = \"{key}\"\n\
             [pool.floor]\nservers = [{}]\n[class.bid]\neffect = \"unsafe\"\npatience = \"2s\"\n\
             [[route]]\nname = \"bid\"\nclass = \"bid\"\npool = \"floor\"\ntenant = {{ certificate = \"dns\" }}\n\
             key = {{ certificate = \"dns\" }}\n[tenant.\"north.lv\"]\nrate = 100\n",
            servers.join(", ")
        ));
        let log = node.log_lines();
        wait_for("it serves", || attempt(plain, UP).is_some_and(|m| m.status() == 200));
        Site { node, asking, open, folder, by, houses, taken, log }
    }

    /// The status of a bid by whom `client` is; none where it is not let in.
    fn bid(&self, client: &Secure, at: SocketAddr) -> Option<u16> {
        // By TLS 1.3 a client hears only behind its handshake that it was turned away.
        client.connect(at, "a.lv").ok()?.ask(BID).map(|m| m.status())
    }

    fn house(&self, name: &str) -> Secure {
        Secure::showing(&self.by.root(), &self.houses.pair(&[name], -10, DAY))
    }
}

#[test]
fn who_shows_no_certificate_that_is_good_comes_in_only_where_none_is_wanted() {
    let site = Site::start();
    let anybody = Secure::trusting(&site.by.root());
    let (root, others) = (site.by.root(), Issuer::new("others"));
    let showing = |pair: &(String, String)| Secure::showing(&root, pair);
    let all = [
        ("none", anybody.clone(), [None, Some(200), Some(200)]),
        ("a good one", site.house("north.lv"), [Some(200); 3]),
        ("another authority's", showing(&others.pair(&["north.lv"], -10, DAY)), [None, None, Some(200)]),
        (
            "one that has expired",
            showing(&site.houses.pair(&["north.lv"], -DAY, -10)),
            [None, None, Some(200)],
        ),
        (
            "one of tomorrow",
            showing(&site.houses.pair(&["north.lv"], DAY, 2 * DAY)),
            [None, None, Some(200)],
        ),
    ];
    for (what, client, right) in all {
        let listeners = [site.node.address, site.asking, site.open];
        assert_eq!(listeners.map(|at| site.bid(&client, at)), right, "{what}");
    }
    // A ticket of the listener that asks for nothing opens no door of the others.
    assert_eq!(site.bid(&anybody, site.open), Some(200));
    let mut again = anybody.connect(site.open, "a.lv").unwrap();
    assert!(again.ask(BID).is_some() && again.resumed(), "it has a ticket");
    assert_eq!(site.bid(&anybody, site.node.address), None);
    // Nor is one given out there.
    let north = site.house("north.lv");
    for _ in 0..2 {
        let mut client = north.connect(site.node.address, "a.lv").unwrap();
        assert!(client.ask(BID).is_some_and(|m| m.status() == 200) && !client.resumed());
    }
}

#[test]
fn the_name_in_a_certificate_is_what_the_route_goes_by() {
    let site = Site::start();
    let counts = || site.taken.iter().map(|t| t.load(SeqCst)).collect::<Vec<_>>();
    let (mut at_its_two, mut favourites) = (0, BTreeSet::new());
    for n in 0..12 {
        let before = counts();
        // Other connections and other certificates, the same name: a key has two servers that it is sent to, but for a
        // few bids while they are cold. Without it, bids go to all four alike.
        for _ in 0..16 {
            assert_eq!(site.bid(&site.house(&format!("house-{n}.lv")), site.node.address), Some(200));
        }
        let mut by: Vec<(usize, usize)> =
            counts().iter().zip(&before).map(|(now, then)| now - then).zip(0..).collect();
        by.sort();
        at_its_two += by[2].0 + by[3].0;
        favourites.insert(by[3].1);
    }
    assert!(at_its_two > 192 * 4 / 5, "{at_its_two} of 192");
    assert!(favourites.len() > 1, "all at the same servers: {:?}", counts());
}

#[test]
fn a_changed_file_of_authorities_is_taken_whole_or_not_at_all() {
    let site = Site::start();
    let (north, others) = (site.house("north.lv"), Issuer::new("others"));
    let new = Secure::showing(&site.by.root(), &others.pair(&["south.lv"], -10, DAY));
    let mut kept = north.connect(site.node.address, "a.lv").unwrap();
    let root = others.root();
    for (text, why) in [("nothing", "no certificate in PEM"), (&root[..root.len() / 2], "houses.pem: ")] {
        site.folder.put("houses.pem", text);
        let line = || site.log.recv_timeout(PATIENCE).expect("why it was not taken");
        loop {
            let line = line();
            if line.contains("authorities of clients kept as they were") && line.contains(why) {
                break;
            }
        }
        assert_eq!(site.bid(&north, site.node.address), Some(200), "{why}");
    }
    site.folder.put("houses.pem", &root);
    wait_for("the new ones come in", || site.bid(&new, site.node.address) == Some(200));
    assert_eq!(site.bid(&north, site.node.address), None, "and the old ones do not");
    assert_eq!(kept.ask(BID).map(|m| m.status()), Some(200), "who is connected stays");
}
