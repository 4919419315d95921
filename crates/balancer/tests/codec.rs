//! The codec with every message, and with lines that are truncated, reordered or too long.
use applemill_balancer::interface::*;
use applemill_balancer::wire::{Line, Names, WireError, parse_list_kind, settings, stable_hash};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CONFIG: &str = r#"{"areas": ["a", "b"], "zone": "b", "instances": 3, "unknownKey": [1],
 "classes": [{"name": "page", "semantics": "idempotent", "objectiveMs": 300.0, "hardLimitMs": 900.0, "value": 2.0},
             {"name": "bid", "semantics": "deduplicated", "group": "zone", "hardLimitMs": 400.0, "keyTtlMs": 50.0}],
 "tenants": [{"name": "t1", "quotaRps": 4.0}], "membershipMode": "on_request",
 "limits": {"attemptsCap": 4, "probing": true},
 "rules": {"coldMs": 20000, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2000}}"#;

const LINES: [&str; 7] = [
    "demand who=3 requestId=41 priority=page userGroup=t1 nameKey=k:x deadlineMs=99.5 effortMs=12.0 isRetry=1",
    "result who=3 requestId=41 disposition=done attempt=0 last=1 elapsedMs=18.5 backend=b1 pressure=busy:0.5,q:2",
    "begun who=3 requestId=41 elapsedMs=3 attempt=1 backend=b1",
    "left who=3 requestId=41",
    "alarm who=3 keyBack=77",
    "probed who=3 elapsedMs=1 disposition=etimedout backend=b1",
    "inbox who=3 sender=2 msg=0aff",
];

fn names() -> Names {
    settings(CONFIG).expect("valid settings").1
}

fn parse(names: &mut Names, line: &str) -> Result<Event, WireError> {
    names.parse_event(&Line::parse(line)?)
}

#[test]
fn absent_settings_get_defaults() {
    let (settings, _) = settings(CONFIG).expect("valid settings");
    assert_eq!(
        (settings.instances, settings.max_attempts, settings.discovery),
        (3, 4, Discovery::OnRequest)
    );
    assert_eq!(settings.classes[1].effect, Effect::Keyed(Group::Zone));
    assert_eq!(settings.classes[1].objective_ms, 400.0, "the objective defaults to the deadline");
    assert!(settings.probes && !settings.may_cancel);
    assert_eq!(
        (settings.zone, settings.slot, settings.weights, settings.reporting),
        (Some(ZoneId(stable_hash("b"))), 0, Weights::None, Reporting::None)
    );
    assert!(
        !settings.late_shedding && settings.drain_close_ms.is_none(),
        "optional rules must be off by default"
    );
}

#[test]
fn every_documented_setting_is_parsed() {
    let text = r#"{"areas": ["a"], "zone": "a", "slotNo": 4, "weights": "live", "worthBy": "work",
        "blend": {"whole": 0.4, "ninesPart": 0.2, "fullAtNines": 2.5},
        "classes": [{"name": "x", "hardLimitMs": 900, "aimStretch": 1.5}],
        "limits": {"peerMessages": true, "openCap": 10, "maxStreams": 2, "connIdleMs": 9, "connectTimeoutMs": 8,
                   "cpuUsPerS": 7},
        "prices": {"crossZone": 0.1, "handshake": 0.2, "connection": 0.3, "lateFail": 0.4, "waste": 0.5,
                   "probe": 0.6, "peer": 0.7},
        "reporting": {"via": "probe", "names": ["q"]},
        "rules": {"coldMs": 1, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2, "lateShedding": true,
                  "drainCloseMs": 150, "drainGraceMs": 50}}"#;
    let (settings, _) = settings(text).expect("valid settings");
    assert_eq!(
        (settings.zone, settings.slot, settings.weights, settings.reporting),
        (Some(ZoneId(stable_hash("a"))), 4, Weights::Live, Reporting::Probes)
    );
    assert_eq!(
        (settings.goal.nines, settings.goal.full_at_nines, settings.classes[0].objective_stretch),
        (0.2, 2.5, 1.5)
    );
    assert_eq!((settings.peer_messages, settings.open_cap, settings.max_streams), (true, 10, 2));
    assert_eq!(
        (settings.conn_idle_ms, settings.connect_timeout_ms, settings.cpu_us_per_s),
        (9.0, 8.0, 7.0)
    );
    let prices = settings.prices;
    assert_eq!(
        (prices.cross_zone, prices.handshake, prices.connection, prices.late_fail),
        (0.1, 0.2, 0.3, 0.4)
    );
    assert_eq!((prices.waste, prices.probe, prices.peer), (0.5, 0.6, 0.7));
    assert_eq!(
        (settings.late_shedding, settings.drain_close_ms, settings.drain_grace_ms),
        (true, Some(150.0), 50.0)
    );
    assert_eq!(settings.classes[0].effect, Effect::Unsafe, "the effect defaults to the strictest");
}

#[test]
fn errors_in_settings_name_the_field() {
    let error = |text: &str| settings(text).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(error("[]").contains("not an object"));
    assert!(error("{").starts_with("field config"));
    assert!(error(r#"{"classes": []}"#).contains("config.rules.coldMs: missing"));
    assert!(error(r#"{"classes": [{"name": "x"}]}"#).contains("config.hardLimitMs"));
    assert!(error(&CONFIG.replace("\"instances\": 3", "\"instances\": -1")).contains("config.instances"));
    for (field, config) in [
        ("config.areas", CONFIG.replace(r#"["a", "b"]"#, "7")),
        ("config.zone", CONFIG.replace(r#""zone": "b""#, r#""zone": 5"#)),
        ("config.limits.probing", CONFIG.replace("true", "\"yes\"")),
        ("config.rules.coldMs", CONFIG.replace("20000", "\"long\"")),
    ] {
        assert!(error(&config).contains(field), "{field}: {}", error(&config));
    }
}

#[test]
fn every_message_is_parsed() {
    let mut names = names();
    let Ok(Event::Request(request)) = parse(&mut names, LINES[0]) else { panic!("not a request") };
    assert_eq!(
        (request.id, request.class, request.tenant, request.deadline_ms, request.retry),
        (RequestId(41), 0, Some(0), 99.5, true)
    );
    let Ok(Event::AttemptEnded { outcome, last, load, .. }) = parse(&mut names, LINES[1]) else {
        panic!("not the end of an attempt")
    };
    assert_eq!((outcome, last), (Outcome::Done, true));
    assert_eq!(load, Load { utilization: Some(0.5), queue: Some(2.0), ..Load::default() });
    let Ok(Event::ProbeEnded { load, .. }) = parse(
        &mut names,
        "probed who=3 disposition=done backend=b1 pressure=lat_ms:7,rif:3,rate:9,fail_rate:1,odd:x",
    ) else {
        panic!("not the end of a probe")
    };
    let figures = (load.latency_ms, load.in_flight, load.rate, load.errors);
    assert_eq!(figures, (Some(7.0), Some(3.0), Some(9.0), Some(1.0)));
    assert_eq!(parse(&mut names, LINES[4]), Ok(Event::Timer(77)));
    assert_eq!(parse(&mut names, LINES[6]), Ok(Event::Message { from: 2, bytes: vec![10, 255] }));
    let unknown_class = parse(&mut names, "demand who=3 requestId=1 priority=other deadlineMs=9");
    assert!(matches!(unknown_class, Ok(Event::Request(request)) if request.class == usize::MAX));
    assert_eq!(parse_list_kind("disk"), Ok(ListKind::Saved));
}

#[test]
fn fields_are_accepted_in_any_order() {
    let mut names = names();
    for line in LINES {
        let (name, rest) = line.split_once(' ').expect("fields");
        let mut fields: Vec<_> = rest.split(' ').collect();
        fields.reverse();
        assert_eq!(parse(&mut names, line), parse(&mut names, &format!("{name} {}", fields.join(" "))));
    }
}

#[test]
fn parse_errors_name_the_field_and_the_reason() {
    let mut names = names();
    let error =
        |names: &mut Names, line: &str| parse(names, line).err().map(|e| e.to_string()).unwrap_or_default();
    assert_eq!(error(&mut names, "left who=3"), "field requestId: missing");
    assert_eq!(error(&mut names, "left who=3 requestId=x"), "field requestId: not a whole number");
    assert!(error(&mut names, "dance who=3").contains("unknown message"));
    assert!(error(&mut names, "inbox who=3 sender=2 msg=0").contains("not hex"));
    let result = "result who=3 requestId=1 attempt=0 backend=b1 disposition=done";
    assert!(error(&mut names, &format!("{result} pressure=busy")).starts_with("field pressure"));
    assert!(error(&mut names, &format!("{result} pressure=busy:x")).starts_with("field pressure"));
    assert!(
        error(&mut names, "demand who=3 requestId=1 priority=page deadlineMs=NaN").contains("deadlineMs")
    );
}

#[test]
fn actions_use_the_backend_names_that_were_received() {
    let mut names = names();
    let entry = names
        .parse_entry(&Line::parse("backend locality=a health=U backend=b1").expect("a line"))
        .expect("an entry");
    let mut out = String::new();
    names.write_action(
        3,
        &Action::Send { id: RequestId(7), backend: entry.backend, timeout_ms: 80.0 },
        &mut out,
    );
    names.write_action(3, &Action::Refuse { id: RequestId(7), retry_after_ms: 0.0 }, &mut out);
    names.write_action(3, &Action::CloseIdle(entry.backend), &mut out);
    names.write_action(3, &Action::SendMessage { to: None, bytes: vec![104, 10] }, &mut out);
    names.write_action(3, &Action::SendMessage { to: Some(5), bytes: vec![] }, &mut out);
    let lines: Vec<_> = out.lines().collect();
    assert_eq!(lines[2], "release who=3 backend=b1");
    assert_eq!(lines[3], "announce who=3 neighbourId=all msg=680a");
    assert_eq!(lines[4], "announce who=3 neighbourId=5 msg=-");
    assert_eq!(lines[0], "hand_off who=3 requestId=7 giveUpAfterMs=80.000 backend=b1");
    assert_eq!(lines[1], "decline who=3 requestId=7 backoffMs=0.000");
}

#[test]
fn truncated_and_malformed_lines_never_panic() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let input = (0..LINES.len(), any::<prop::sample::Index>(), "\\PC{0,40}", 0_usize..5000);
    runner
        .run(&input, |(line, cut_at, noise, padding)| {
            let mut names = names();
            let line = LINES[line];
            let truncated = &line[..cut_at.index(line.len())];
            for text in [
                truncated.to_owned(),
                format!("{truncated}{noise}"),
                format!("{line} x={}", "y".repeat(padding)),
            ] {
                let _ = parse(&mut names, &text);
            }
            let padded = parse(&mut names, &format!("{line} x={}", "y".repeat(padding)));
            prop_assert!(padded.is_ok());
            let truncated = &CONFIG[..cut_at.index(CONFIG.len())];
            prop_assert!(settings(truncated).is_err());
            Ok(())
        })
        .expect("the codec must not panic, reject a padded line or accept truncated settings");
}
