//! Worlds played by the real ledger and decisions: everybody comes to one end, one seed is one run, what goes wrong shows, and the
//! watch sees rules that are broken.

use applemill_lab::{Floor, Lab, Record, Rule, World, comers, node_of};
use proptest::prelude::*;

const FILE: &str = r#"
[[listener]]
address = "127.0.0.1:8080"
[pool.floor]
servers = [{ address = "127.0.0.1:9001" }]
[class.page]
effect = "safe"
patience = "2s"
retry = "may-have-run"
[class.bid]
effect = "unsafe"
patience = "900ms"
worth = 10
[[route]]
name = "bid"
prefix = "/bid"
class = "bid"
pool = "floor"
key = { segment = 2 }
[[route]]
name = "lot"
class = "page"
pool = "floor"
key = { segment = 2 }
"#;

/// 4 servers of 4 cores, 8 ms a request: 2,000 a second; 600 are asked.
const CALM: &str = r#"
seconds = 8
nodes = 3
[[servers]]
pool = "floor"
count = 4
cores = 4
service = { lognormal = { median_ms = 6, sigma = 0.5 } }
[[clients]]
name = "pages"
request = "GET /lots/{key}"
rate = 500
keys = 200
zipf = 0.9
retries = 2
[[clients]]
name = "bids"
request = "POST /bid/{key}"
rate = 100
keys = 200
"#;

fn played(text: &str, seed: u64) -> Record {
    by(FILE, text, seed)
}

fn by(file: &str, text: &str, seed: u64) -> Record {
    let world: World = toml::from_str(text).unwrap();
    let floor = Floor::new(&world, file).unwrap();
    Lab::new(&world, &floor, seed).unwrap().run()
}

fn whole(record: &Record) {
    for g in &record.groups {
        assert!(g.whole(), "{g:?}");
    }
    let sum =
        |f: fn(&applemill_lab::Second) -> u32| record.seconds.iter().map(|s| u64::from(f(s))).sum::<u64>();
    let (asked, served, refused, other) = record.sums();
    assert_eq!((sum(|s| s.asked), sum(|s| s.served)), (asked, served));
    assert_eq!((sum(|s| s.refused), sum(|s| s.failed)), (refused, other));
}

#[test]
fn a_calm_world_serves_all_and_breaks_nothing() {
    let record = played(CALM, 1);
    whole(&record);
    let (asked, served, ..) = record.sums();
    assert!((4_300..5_300).contains(&asked), "{asked}");
    assert!(served as f64 >= 0.995 * asked as f64, "{served} of {asked}");
    assert!(record.broken.is_empty(), "{:?}", record.broken);
    let pages = &record.groups[0];
    assert!((5.0..12.0).contains(&pages.quantile_ms(0.5)), "{}", pages.quantile_ms(0.5));
}

#[test]
fn one_seed_is_one_run_and_another_is_another() {
    let (a, b, c) = (played(CALM, 7), played(CALM, 7), played(CALM, 8));
    assert_eq!((a.digest, a.events, a.parts_at(&b, 1_000)), (b.digest, b.events, None));
    assert_eq!(a.parts_at(&c, 1_000), Some(0));
    // Looked at on the way, it goes on as it would have.
    let world: World = toml::from_str(CALM).unwrap();
    let floor = Floor::new(&world, FILE).unwrap();
    let mut lab = Lab::new(&world, &floor, 7).unwrap();
    assert!(lab.run_until(3.0) && (2.9..=3.0).contains(&lab.seconds()));
    let half = lab.so_far().sums().0;
    assert!(half > 0 && half < a.sums().0);
    assert_eq!(lab.run().digest, a.digest);
}

#[test]
fn variants_of_a_world_meet_the_same_people() {
    let slow = CALM.replace("median_ms = 6", "median_ms = 60");
    let (a, b) = (played(CALM, 3), played(&slow, 3));
    let asked = |r: &Record| r.groups.iter().map(|g| g.asked).collect::<Vec<_>>();
    assert_eq!(asked(&a), asked(&b));
    let came = |r: &Record| r.seconds.iter().take(8).map(|s| s.asked).collect::<Vec<_>>();
    assert_eq!(came(&a), came(&b));
    assert!(b.sums().1 < a.sums().1 / 2, "ten times the work is not served");
    whole(&b);
}

#[test]
fn what_goes_wrong_shows_and_the_rest_goes_on() {
    let fault = |f: &str| format!("{CALM}\n[[faults]]\nat = 2\nlasts = 3\n{f}\n");
    // One of four: the others have room.
    for (text, least) in [
        ("fault = \"lost\"\nfirst = 1", 0.97),
        ("fault = \"slow\"\nby = 20\nfirst = 1", 0.95),
        ("fault = \"pause\"\nfirst = 1", 0.95),
        ("fault = \"errors\"\nby = 1\nfirst = 1", 0.95),
        ("fault = \"wrong\"\nby = 1\nfirst = 1", 0.95),
        ("fault = \"cut\"\nfirst = 1", 0.95),
        ("fault = \"mute\"\nfirst = 1", 0.95),
        ("fault = \"unlisted\"\nfirst = 1", 0.99),
        ("fault = \"drain\"\nfirst = 1", 0.99),
        ("fault = \"nodes-lost\"\nfirst = 1", 0.98),
        ("fault = \"unheard\"", 0.99),
    ] {
        let record = played(&fault(text), 5);
        whole(&record);
        let (asked, served, ..) = record.sums();
        let part = served as f64 / asked as f64;
        assert!(part >= least, "{text}: {part}");
        assert!(record.broken.is_empty(), "{text}: {:?}", record.broken);
    }
    // All of them: there is nobody to go on.
    let record = played(&fault("fault = \"errors\"\nby = 1"), 5);
    let served: u32 = record.seconds.iter().skip(3).take(2).map(|s| s.served).sum();
    assert!(served < 60, "{served} of 1200");
    whole(&record);
    assert!(record.seconds.iter().skip(6).take(2).map(|s| s.served).sum::<u32>() > 1_000, "well again");
}

#[test]
fn a_server_that_starts_is_not_pushed_over_and_one_that_bears_little_would_be() {
    let late = |more: &str| {
        format!(
            "{CALM}\n[[servers]]\npool = \"floor\"\ncount = 1\ncores = 4\nfrom = 2\nservice = {{ constant = {{ ms = 6 }} }}\n{more}"
        )
    };
    let record = played(&late(""), 2);
    assert!(
        record.broken.is_empty() && record.cold_ratio > 0.0 && record.cold_ratio <= 1.0,
        "{}",
        record.cold_ratio
    );
    // What is told of it is not what it bears: the watch sees it fall.
    let record = played(
        &late("cold = { time = 60, start = 0.01, multiple = 1, window_ms = 200, back_after = 1 }\n"),
        2,
    );
    assert!(record.broken.iter().any(|b| b.rule == Rule::Cold), "{:?}", record.broken);
    whole(&record);
}

#[test]
fn what_failed_and_may_not_run_twice_is_not_tried_again_by_its_client() {
    let text = CALM.replace("rate = 100\nkeys = 200", "rate = 100\nkeys = 200\nretries = 3");
    let record =
        played(&format!("{text}\n[[faults]]\nat = 1\nlasts = 20\nfault = \"errors\"\nby = 1\n"), 4);
    let (pages, bids) = (&record.groups[0], &record.groups[1]);
    assert!(bids.failed > 20, "those that reached a server failed: {bids:?}");
    // Only what was refused is tried again: three times, as long as it is.
    assert!(bids.tries <= bids.asked + 3 * (bids.refused + bids.served), "{} {}", bids.tries, bids.asked);
    assert!(pages.tries > pages.asked, "a page may be");
    whole(&record);
    assert!(record.broken.is_empty(), "{:?}", record.broken);
}

#[test]
fn nothing_is_held_when_a_world_is_over_and_nothing_ends_while_all_stands_still() {
    let text =
        format!("{CALM}\n[network]\nbroken = 0.05\n[[faults]]\nat = 2\nlasts = 2\nfault = \"pause\"\n");
    let world: World = toml::from_str(&text).unwrap();
    let floor = Floor::new(&world, FILE).unwrap();
    let mut lab = Lab::new(&world, &floor, 6).unwrap();
    lab.run_until(500.0);
    assert_eq!(lab.held(), 0);
    // What was on its way back when they stood still arrives.
    let served: Vec<u32> = lab.so_far().seconds.iter().map(|s| s.served).collect();
    assert!(served[1] > 500 && served[2] <= 5 && served[3] == 0 && served[4] > 50, "{served:?}");
}

#[test]
fn a_trace_comes_as_it_was_recorded_and_what_nodes_know_is_told_by_second() {
    let text = CALM.replace("rate = 100\n", "rate = 0\ntrace = [0.5, 0.5, 2.25, 7.9, 30.0]\n");
    let record = played(&text, 1);
    let bids = &record.groups[1];
    assert_eq!((bids.asked, bids.served), (4, 4), "the last would come when all is over");
    let world: World = toml::from_str(&text).unwrap();
    let times: Vec<f64> =
        comers(&world.clients, 8.0, 1).iter().filter(|c| c.group == 1).map(|c| c.at_ms).collect();
    assert_eq!(times, [500.0, 500.0, 2_250.0, 7_900.0]);
    let known: Vec<(f32, f32)> = record.seconds.iter().take(8).map(|s| (s.level, s.limit)).collect();
    assert!(known.iter().all(|(level, limit)| *level > 0.99 && *limit > 1.0), "{known:?}");
    let stalled = played(&format!("{text}\n[[faults]]\nat = 3\nlasts = 2\nfault = \"pause\"\n"), 1);
    assert!(stalled.seconds[4].level < 0.5, "{}", stalled.seconds[4].level);
    assert!(toml::from_str::<World>(&text).unwrap().wrong().is_empty());
    let back = text.replace("[0.5, 0.5, 2.25", "[9.5, 0.5, 2.25");
    assert!(toml::from_str::<World>(&back).unwrap().wrong()[0].contains("trace"));
}

#[test]
fn what_is_left_out_gets_nothing_and_of_what_is_mute_nothing_is_heard() {
    let fault = |f: &str| played(&format!("{CALM}\n[[faults]]\nat = 2\nlasts = 3\n{f}\n"), 5);
    let unlisted = fault("fault = \"unlisted\"\nfirst = 1");
    let first: Vec<u16> = unlisted.servers.iter().map(|s| s[0]).collect();
    assert!(first[1] > 50 && first[3] == 0 && first[4] == 0 && first[6] > 50, "{first:?}");
    let mute = fault("fault = \"mute\"");
    assert!(mute.seconds[3..5].iter().all(|s| s.served == 0), "{:?}", mute.seconds);
    assert!(
        mute.seconds[2].attempts > 20 && mute.seconds[2].served < 10,
        "it takes what it does not answer: {:?}",
        mute.seconds[2]
    );
    whole(&mute);
}

#[test]
fn messages_between_nodes_spare_a_fleet_attempts_where_they_arrive() {
    let errors = |messages: &str| {
        let world = CALM.replace("nodes = 3", &format!("nodes = 60\n{messages}"));
        let fault = "[[faults]]\nat = 1\nlasts = 6\nfault = \"errors\"\nby = 1.0\nfirst = 1\n";
        let record = played(&format!("{world}{fault}"), 1);
        whole(&record);
        (record.errors.len(), record.told_bytes)
    };
    let (none, told) = errors("");
    assert!(none > 100 && told == 0, "{none} {told}");
    let (lost, told) = errors("messages = { lost = 1.0 }");
    assert!(lost * 4 > none * 3 && told > 0, "{lost} of {none}, {told} bytes: none arrives");
    let (heard, _) = errors("messages = {}");
    assert!(heard * 2 < none, "{heard} of {none}");
}

#[test]
fn more_come_where_the_shape_is_higher() {
    let record = played(
        &CALM.replace("rate = 500", "rate = 500\nshape = [[0, 0.2], [4, 0.2], [4.001, 1.4], [9, 1.4]]"),
        9,
    );
    let pages = |from: usize| {
        record.seconds.iter().skip(from).take(3).map(|s| s.asked).sum::<u32>() as f64 / 3.0 - 100.0
    };
    assert!(
        (pages(0) - 100.0).abs() < 30.0 && (pages(5) - 700.0).abs() < 80.0,
        "{} {}",
        pages(0),
        pages(5)
    );
}

#[test]
fn the_watch_sees_what_is_sent_after_the_notice() {
    // A connection that takes long to come up is written on after the notice: the baseline does not look again, ours does.
    let text = format!(
        "{CALM}\n[network]\ndelay_ms = 400\n[discovery]\nlate_ms = 0\nspread_ms = 0\n[[faults]]\nat = 2\nlasts = 9\nfault = \"drain\"\nfirst = 1\n"
    );
    let by = |more: &str| {
        let record = played(&format!("{more}\n{text}"), 3);
        record.broken.iter().filter(|b| b.rule == Rule::Drained).count()
    };
    assert_eq!(by(""), 0);
    assert!(by("baseline = { attempts = 1, timeout_ms = 1900 }") > 0);
}

#[test]
fn the_story_of_a_try_is_told_by_its_number() {
    let world: World = toml::from_str(CALM).unwrap();
    let floor = Floor::new(&world, FILE).unwrap();
    let mut lab = Lab::new(&world, &floor, 7).unwrap().telling(10);
    lab.run_until(2.0);
    let told = lab.told().join("\n");
    for word in
        ["try 1 of client", "sent to server", "reaches server", "back from server", "answered: Served"]
    {
        assert!(told.contains(word), "{word}: {told}");
    }
}

#[test]
fn all_that_is_wrong_with_a_world_is_told_in_one_go() {
    let text = CALM
        .replace("seconds = 8", "seconds = 0")
        .replace("rate = 500", "rate = -1")
        .replace("sigma = 0.5", "sigma = 9");
    let world: World = toml::from_str(&text).unwrap();
    let why = Floor::new(&world, FILE).err().unwrap().to_string();
    for word in ["seconds: 0", "clients[0] (pages).rate: -1", "servers[0].service"] {
        assert!(why.contains(word), "{word}: {why}");
    }
    let refused = |file: &str, text: &str| {
        Floor::new(&toml::from_str(text).unwrap(), file).err().unwrap().to_string()
    };
    assert!(
        refused(FILE, &CALM.replace("pool = \"floor\"", "pool = \"flor\""))
            .contains("the file has no such pool")
    );
    assert!(refused(&FILE.replace("900ms", "soon"), CALM).contains("the operator's file is refused"));
    assert!(toml::from_str::<World>(&format!("{CALM}\nsceonds = 9\n")).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever goes wrong, everybody who came has come to exactly one end, and the rules hold.
    #[test]
    fn everybody_comes_to_one_end_whatever_goes_wrong(
        seed in 0_u64..1_000_000,
        rate in 20.0_f64..1_500.0,
        cores in 1_u32..4,
        broken in prop_oneof![Just(0.0), 0.0_f64..0.2],
        faults in prop::collection::vec((0_usize..11, 0.0_f64..4.0, 0.0_f64..3.0, 1_u32..5), 0..4),
    ) {
        let words = ["lost", "drain", "slow", "pause", "errors", "wrong", "leak", "cut", "nodes-lost", "mute", "unlisted"];
        let amounts = [0.0, 0.0, 8.0, 0.0, 0.5, 0.5, 1.0, 0.0, 0.0, 0.0, 0.0];
        let mut text = CALM.replace("rate = 500", &format!("rate = {rate:.1}")).replace("seconds = 8", "seconds = 5");
        text = text.replace("cores = 4", &format!("cores = {cores}"));
        text += &format!("[network]\nbroken = {broken:.3}\n");
        for (n, at, lasts, first) in faults {
            text += &format!(
                "[[faults]]\nat = {at:.2}\nlasts = {lasts:.2}\nfault = \"{}\"\nby = {:.1}\nfirst = {first}\n", words[n], amounts[n]
            );
        }
        let record = played(&text, seed);
        whole(&record);
        prop_assert!(record.broken.is_empty(), "{text}\n{:?}", record.broken);
    }
}

#[test]
fn who_comes_by_other_means_is_who_comes_here() {
    let world: World = toml::from_str(CALM).unwrap();
    let all = comers(&world.clients, world.seconds, 7);
    let record = played(CALM, 7);
    assert_eq!(all.len() as u64, record.sums().0);
    let by_second = |n: usize| all.iter().filter(|c| (c.at_ms / 1000.0) as usize == n).count();
    for (n, second) in record.seconds.iter().take(8).enumerate() {
        assert_eq!(second.asked as usize, by_second(n), "{n}");
    }
    assert!(all.windows(2).all(|w| w[0].at_ms <= w[1].at_ms));
    assert!(all.iter().all(|c| c.request.starts_with("GET /lots/") || c.request.starts_with("POST /bid/")));
    assert!((0..3).all(|node| (0..100).any(|n| node_of(7, n, 1, 3) == node)));
}

#[test]
fn retries_set_wrong_keep_the_floor_down_when_the_cause_is_gone_and_ours_do_not() {
    let text = CALM
        .replace("seconds = 8", "seconds = 14")
        .replace("cores = 4", "cores = 1\nqueue = 500")
        .replace("rate = 500", "rate = 350")
        .replace("rate = 100", "rate = 40")
        .replace("retries = 2", "retries = 3\nbackoff_ms = 100");
    let text = format!("{text}\n[[faults]]\nat = 3\nlasts = 2\nfault = \"pause\"\n");
    let last = |r: &Record| {
        let seconds = r.seconds.iter().skip(11).take(3);
        let (served, asked) = seconds.fold((0, 0), |(s, a), t| (s + t.served, a + t.asked));
        f64::from(served) / f64::from(asked)
    };
    let before = |r: &Record| r.seconds.iter().skip(1).take(2).all(|s| s.served * 10 >= s.asked * 9);
    let ours = played(&text, 1);
    let wrong = played(&format!("baseline = {{ attempts = 4, timeout_ms = 150 }}\n{text}"), 1);
    assert!(before(&ours) && before(&wrong), "the floor carries the load");
    assert!(last(&ours) > 0.95, "{}", last(&ours));
    assert!(last(&wrong) < 0.3, "{}", last(&wrong));
    whole(&wrong);
}
