//! What single datagrams change, and what they do not.

use applemill_membership::{Ask, Fleet, Key, Own, Senders, Standing, Terms};

const TERMS: Terms = Terms { nodes: 4, hold_ms: 1_000.0, drift: 0.02 };

fn node(number: u32) -> Fleet {
    Fleet::new(TERMS, number, Own { version: 2, config: number }, Some(Key::new(b"k")), 1, 0.0)
}

/// The next question to this node.
fn ask(fleet: &mut Fleet, now: f64, to: u32) -> Ask {
    let draws = (0..100).map(|draw| 1_000 * u64::from(to) + now as u64 + draw);
    draws.filter_map(|draw| fleet.ask(now, draw)).find(|a| a.to == to).unwrap()
}

fn standing(fleet: &Fleet, now: f64, node: u32) -> Standing {
    fleet.lines(now).into_iter().find(|l| l.node == node).unwrap().standing
}

fn senders(fleet: &Fleet, now: f64) -> Option<u32> {
    fleet.senders(now).nodes
}

#[test]
fn a_node_counts_all_but_those_proven_absent_and_sends_only_once_it_has_waited() {
    let (mut a, mut b) = (node(0), node(1));
    assert_eq!((senders(&a, 1_040.0), a.sends_from_ms()), (None, 1_000.0 * 1.02 / 0.98));
    assert_eq!(senders(&a, 1_041.0), Some(4), "nothing is known: the worst case");
    let question = ask(&mut a, 2_000.0, 2);
    a.refused(question.nonce);
    assert_eq!((senders(&a, 2_001.0), standing(&a, 2_001.0, 2)), (Some(3), Standing::Absent));
    assert_eq!(a.senders(2_001.0).until_ms, 3_000.0);
    // Another hears of it, as old as it is and never younger.
    let question = ask(&mut b, 2_400.0, 0);
    let (from, answer) = a.datagram(2_500.0, &question.bytes).unwrap();
    assert_eq!((from, b.datagram(2_600.0, &answer.unwrap())), (1, Some((0, None))));
    let until = b.senders(2_601.0).until_ms;
    assert!(senders(&b, 2_601.0) == Some(3) && (2_890.0..=2_900.0).contains(&until), "{until}");
    assert_eq!((senders(&b, 2_901.0), senders(&a, 3_000.0)), (Some(4), Some(4)));
    // Whoever asks is there, and counts before it sends.
    let question = ask(&mut a, 4_000.0, 1);
    a.refused(question.nonce);
    assert_eq!(senders(&a, 4_001.0), Some(3));
    let question = ask(&mut b, 4_100.0, 0);
    a.datagram(4_100.0, &question.bytes);
    assert_eq!((senders(&a, 4_101.0), standing(&a, 4_101.0, 1)), (Some(4), Standing::Alive));
    assert_eq!((standing(&a, 9_000.0, 1), senders(&a, 9_000.0)), (Standing::Silent, Some(4)));
    // What was refused before it was heard of says nothing.
    let question = ask(&mut a, 9_100.0, 1);
    let heard = ask(&mut b, 9_200.0, 0);
    a.datagram(9_200.0, &heard.bytes);
    a.refused(question.nonce);
    assert_eq!(senders(&a, 9_201.0), Some(4));
}

#[test]
fn a_proof_counts_from_its_question_on_however_late_it_comes() {
    let (mut a, mut b) = (node(0), node(1));
    b.leave();
    assert_eq!(b.senders(5_000.0).nodes, None);
    let question = ask(&mut a, 2_000.0, 1);
    let (_, answer) = b.datagram(2_100.0, &question.bytes).unwrap();
    a.datagram(2_800.0, &answer.unwrap());
    assert_eq!(a.senders(2_801.0), Senders { nodes: Some(3), until_ms: 3_000.0 });
    assert_eq!(standing(&a, 2_801.0, 1), Standing::Left);
    let question = ask(&mut a, 4_000.0, 3);
    a.refused(question.nonce);
    a.refused(question.nonce);
    a.refused(77);
    assert_eq!(a.senders(4_900.0), Senders { nodes: Some(3), until_ms: 5_000.0 });
    // Of a third, by an answer that came late.
    let (mut a, mut c) = (node(0), node(2));
    let gone = ask(&mut c, 6_000.0, 3);
    c.refused(gone.nonce);
    let question = ask(&mut a, 6_050.0, 2);
    let (_, answer) = c.datagram(6_100.0, &question.bytes).unwrap();
    a.datagram(6_900.0, &answer.unwrap());
    let until = a.senders(6_901.0).until_ms;
    assert!((6_940.0..=6_950.0).contains(&until), "{until}: asked at 6,050, then 100 old");
}

#[test]
fn what_is_repeated_of_another_fleet_for_another_or_not_asked_for_changes_nothing() {
    let (mut a, mut b) = (node(0), node(1));
    let absent = ask(&mut b, 2_000.0, 2);
    b.refused(absent.nonce);
    let question = ask(&mut a, 2_100.0, 1);
    let (_, answer) = b.datagram(2_110.0, &question.bytes).unwrap();
    let answer = answer.unwrap();
    let before = format!("{:?} {:?}", a.lines(2_120.0), a.senders(2_120.0));
    let same = |a: &Fleet| format!("{:?} {:?}", a.lines(2_120.0), a.senders(2_120.0)) == before;
    assert!(node(2).datagram(2_120.0, &answer).is_none(), "it is for another");
    assert!(a.datagram(2_120.0, &question.bytes).is_none() && same(&a), "its own");
    let mut stranger = Fleet::new(TERMS, 3, Own::default(), Some(Key::new(b"other")), 1, 0.0);
    assert!(a.datagram(2_120.0, &ask(&mut stranger, 2_000.0, 0).bytes).is_none() && same(&a));
    assert!(a.datagram(2_120.0, &answer[..answer.len() - 1]).is_none() && same(&a));
    assert!(a.datagram(2_130.0, &answer).is_some());
    let taken = (a.senders(2_131.0), a.lines(2_131.0));
    assert_eq!(taken.0.nodes, Some(3));
    // The same again, and an hour later.
    assert!(a.datagram(2_131.0, &answer).is_none());
    assert_eq!((a.senders(2_131.0), a.lines(2_131.0)), taken);
    let heard = a.lines(3_602_131.0);
    assert!(a.datagram(3_602_131.0, &answer).is_none());
    assert_eq!((senders(&a, 3_602_131.0), a.lines(3_602_131.0)), (Some(4), heard));
    // An answer that nobody asked for.
    let gone = ask(&mut a, 4_000.0, 3);
    a.refused(gone.nonce);
    let question = ask(&mut node(2), 4_000.0, 0);
    let (_, unasked) = a.datagram(4_000.0, &question.bytes).unwrap();
    let mut again = node(2);
    let own = ask(&mut again, 4_005.0, 0);
    assert_ne!(own.nonce, question.nonce);
    assert!(again.datagram(4_010.0, &unasked.unwrap()).is_none());
    assert_eq!(senders(&again, 4_011.0), Some(4));
    // Of other terms.
    let terms = Terms { hold_ms: 9_000.0, ..TERMS };
    let mut other = Fleet::new(terms, 1, Own::default(), Some(Key::new(b"k")), 2, 0.0);
    let gone = ask(&mut other, 5_000.0, 2);
    other.refused(gone.nonce);
    let mut a = node(0);
    let question = ask(&mut a, 5_000.0, 1);
    let (_, answer) = other.datagram(5_010.0, &question.bytes).unwrap();
    assert!(a.datagram(5_020.0, &answer.unwrap()).is_some());
    assert_eq!((senders(&a, 5_021.0), standing(&a, 5_021.0, 1)), (Some(4), Standing::Alive));
}

#[test]
fn terms_out_of_their_range_are_refused() {
    for bad in [
        Terms { nodes: 0, ..TERMS },
        Terms { nodes: 5_000, ..TERMS },
        Terms { hold_ms: 10.0, ..TERMS },
        Terms { hold_ms: f64::NAN, ..TERMS },
        Terms { drift: 0.3, ..TERMS },
        Terms { drift: -0.1, ..TERMS },
    ] {
        assert!(bad.check().is_err(), "{bad:?}");
    }
    assert_eq!(TERMS.check(), Ok(TERMS));
}
