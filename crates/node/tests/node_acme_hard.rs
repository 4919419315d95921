//! Certificates when something dies, is away or full in the middle of it.

use applemill_stand_ins::*;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_leader_that_dies_behind_its_order_and_before_its_write_costs_one_order_more() {
    let mut fleet = Certified::new(3_600, "").unwrap();
    // It gets its certificate said to be ready, and not the chain.
    fleet.authority.does(|stage, _| {
        if stage == Stage::Chain { Whim::Slow(Duration::from_millis(1500)) } else { Whim::Right }
    });
    fleet.start();
    wait_for("one was given out", || fleet.authority.counts().certificates == 1);
    // It goes no further; the nodes behind it are there before it is gone, and wait for its claim.
    let leader = fleet.part_with(0);
    leader.halt();
    fleet.start();
    fleet.start();
    drop(leader);
    let begun = Instant::now();
    fleet.all_show_another(None);
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    let counts = fleet.authority.counts();
    assert_eq!((counts.orders, counts.certificates, &counts.wrong[..]), (2, 2, &[][..]));
}

#[test]
fn where_the_first_authority_stays_away_the_next_gives_and_the_first_is_asked_again_later() {
    let second = Authority::start(Manner { life: 3_600, nodes: Vec::new(), bound: None }).unwrap();
    let (folder, directory) = (Folder::new("second"), second.directory());
    let root = folder.put("second.pem", &second.root());
    // Lives of a minute: whoever may be there again is asked twice within moments.
    let mut fleet = Certified::new(
        60,
        &format!("[authority.second]\ndirectory = \"{directory}\"\nroot = \"{root}\"\ntimeout = \"2s\""),
    )
    .unwrap();
    fleet.preferred = "\"main\", \"second\"".into();
    fleet.start();
    let first = fleet.all_show_another(None);
    second.change(|m| m.nodes = vec![(fleet.nodes[0].1, fleet.nodes[0].0.address)]);
    fleet.authority.does(|_, _| Whim::Status(503, None));
    fleet.wish();
    let by_second = Secure::trusting(&second.root());
    let address = fleet.nodes[0].0.address;
    wait_for("the second has given one", || by_second.connect(address, "a.lv").is_ok());
    assert!(fleet.shown(0).is_none(), "which is of another root");
    assert_eq!((fleet.authority.counts().orders, second.counts().orders), (1, 1));
    // The first is back, and preferred.
    fleet.authority.does(|_, _| Whim::Right);
    fleet.wish();
    fleet.all_show_another(Some(&first));
    assert_eq!((fleet.authority.counts().orders, second.counts().orders), (2, 1));
}

#[test]
fn a_folder_that_is_lost_or_full_stops_nobody_from_serving_and_costs_no_order() {
    let mut fleet = Certified::new(3_600, "").unwrap();
    fleet.start();
    let first = fleet.all_show_another(None);
    // A node that can write nothing, as on a full disk, serves what the others have got.
    let mut full = Command::new("/bin/sh");
    full.args(["-c", "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\""])
        .arg(program())
        .stderr(Stdio::piped());
    fleet.start_by(full).unwrap();
    let log = fleet.nodes[1].0.log_lines();
    fleet.all_show_another(None);
    // Alone with an order to make, it makes none that it could not note.
    let writer = fleet.part_with(0);
    let (state, away) = (fleet.folder.path().join("state"), fleet.folder.path().join("away"));
    drop(writer);
    fleet.wish();
    loop {
        let line = log.recv_timeout(2 * PATIENCE).expect("it is said");
        if line.contains("background work failed") && line.contains("state: ") {
            break;
        }
    }
    thread::sleep(Duration::from_secs(1));
    assert_eq!((fleet.authority.counts().orders, fleet.shown(0)), (1, Some(first.clone())));
    // Lost under way: what is in service stays.
    std::fs::rename(&state, &away).unwrap();
    std::fs::write(&state, "not a folder").unwrap();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.shown(0), Some(first.clone()));
    std::fs::remove_file(&state).unwrap();
    std::fs::rename(&away, &state).unwrap();
    // One that can write has the wish carried out, and the full one serves it too.
    fleet.start();
    fleet.all_show_another(Some(&first));
    assert_eq!(fleet.authority.counts().orders, 2);
}
