//! Chains and keys that are good, and each way of not being so; names by brute force.

use applemill_certs::{CallerNames, Entry, Fault, Table, caller_names, check, covers};
use proptest::prelude::*;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, SanType};
use std::sync::Arc;

const DAY: i64 = 86_400;
/// 2026-12-01.
const NOW: i64 = 1_796_083_200;

type Issuer = CertifiedIssuer<'static, KeyPair>;

fn params(names: &[&str], from: i64, to: i64) -> CertificateParams {
    let mut params =
        CertificateParams::new(names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>()).unwrap();
    params.not_before = time::OffsetDateTime::from_unix_timestamp(from).unwrap();
    params.not_after = time::OffsetDateTime::from_unix_timestamp(to).unwrap();
    params
}

fn issuer(name: &str) -> Issuer {
    let mut params = params(&[], NOW - 100 * DAY, NOW + 1000 * DAY);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.distinguished_name.push(rcgen::DnType::CommonName, name);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

/// A chain of two, and its key.
fn pair(by: &Issuer, names: &[&str], from: i64, to: i64) -> (String, String) {
    let key = KeyPair::generate().unwrap();
    let cert = params(names, from, to).signed_by(&key, by).unwrap();
    (format!("{}{}", cert.pem(), by.pem()), key.serialize_pem())
}

fn faults(chain: &str, key: &str, wanted: &[&str]) -> Vec<Fault> {
    let wanted: Vec<String> = wanted.iter().map(|w| (*w).to_owned()).collect();
    check(chain.as_bytes(), key.as_bytes(), &wanted).err().unwrap_or_default()
}

#[test]
fn a_good_pair_is_taken_and_each_fault_is_told_by_itself() {
    let by = issuer("one");
    let (chain, key) = pair(&by, &["a.lv", "*.b.lv"], NOW - DAY, NOW + 30 * DAY);
    let taken = check(chain.as_bytes(), key.as_bytes(), &["a.lv".into(), "x.b.lv".into()]).unwrap();
    assert_eq!((taken.not_before, taken.not_after), (NOW - DAY, NOW + 30 * DAY));
    assert_eq!(taken.names, ["a.lv", "*.b.lv"]);
    assert_eq!(faults(&chain, &key, &["*.b.lv"]), []);
    let (other_chain, other_key) = pair(&by, &["a.lv"], NOW - DAY, NOW + 30 * DAY);
    assert_eq!(faults(&chain, &other_key, &["a.lv"]), [Fault::OtherKey]);
    assert_eq!(faults(&other_chain, &key, &["a.lv"]), [Fault::OtherKey]);
    assert_eq!(faults(&chain, "", &[]), [Fault::NoKey]);
    assert_eq!(faults(&chain, &key[..key.len() / 2], &[]), [Fault::NoKey]);
    assert_eq!(faults("", &key, &[]), [Fault::NoCertificate]);
    assert_eq!(taken.timely(NOW - 2 * DAY), Err(Fault::Early(NOW - DAY)));
    assert_eq!(taken.timely(NOW + 30 * DAY), Err(Fault::Expired(NOW + 30 * DAY)));
    assert_eq!(taken.timely(NOW + 30 * DAY - 1), Ok(()));
    assert!(
        matches!(&faults(&chain, &key, &["c.lv", "a.lv"])[..], [Fault::Name { wanted, .. }] if wanted == "c.lv")
    );
    assert_eq!(faults(&chain.repeat(6), &key, &[]), [Fault::TooLong(12)]);
}

#[test]
fn a_chain_out_of_order_or_of_another_authority_is_refused_with_its_place() {
    let (by, other) = (issuer("one"), issuer("other"));
    // Of the same name, with another key.
    let namesake = issuer("one");
    let (chain, key) = pair(&by, &["a.lv"], NOW - DAY, NOW + DAY);
    let leaf = &chain[..chain.len() - by.pem().len()];
    for wrong in [&other, &namesake] {
        assert_eq!(faults(&format!("{leaf}{}", wrong.pem()), &key, &["a.lv"]), [Fault::Order(1)]);
    }
    let turned = faults(&format!("{}{leaf}", by.pem()), &key, &["a.lv"]);
    assert!(turned.contains(&Fault::Order(1)) && turned.contains(&Fault::OtherKey), "{turned:?}");
    // A chain without its issuer is what some files have.
    assert_eq!(faults(leaf, &key, &["a.lv"]), []);
    // Everything in one go.
    assert_eq!(faults(&format!("{leaf}{}", other.pem()), "", &["z.lv"]).len(), 3);
}

#[test]
fn a_star_stands_for_one_whole_label() {
    assert!(covers("*.a.lv", "x.a.lv") && !covers("*.a.lv", "a.lv") && !covers("*.a.lv", "x.y.a.lv"));
}

/// What a table must come to, by going through all of its entries.
fn slowly<K>(table: &Table<K>, host: Option<&str>) -> Option<Arc<K>> {
    let host = host.map(|h| h.strip_suffix('.').unwrap_or(h).to_ascii_lowercase());
    let good = |star: bool| {
        let host = host.as_deref()?;
        let fits = |n: &String| n.starts_with("*.") == star && covers(n, host);
        table.entries().iter().find(|e| e.names.iter().any(fits))
    };
    let entry = good(false).or_else(|| good(true)).or_else(|| table.entries().iter().find(|e| e.default));
    entry.map(|e| e.key.clone())
}

proptest! {
    #[test]
    fn the_table_finds_what_going_through_all_finds(
        entries in prop::collection::vec((prop::collection::vec("(\\*\\.)?[ab]\\.[ab](\\.lv)?", 1..3), any::<bool>()), 0..5),
        host in prop::option::of("([ab]\\.){1,3}(lv)?\\.?"),
    ) {
        let entries = entries.into_iter().enumerate().map(|(n, (names, default))| Entry {
            name: n.to_string(), names, default, key: Arc::new(n),
        });
        let table = Table::new(entries.collect());
        prop_assert_eq!(table.find(host.as_deref()).map(|e| e.key.clone()), slowly(&table, host.as_deref()));
    }

    #[test]
    fn whatever_the_bytes_the_check_ends(chain in prop::collection::vec(any::<u8>(), 0..300), cut in 0_usize..900) {
        let (whole, key) = pair(&issuer("one"), &["a.lv"], NOW - DAY, NOW + DAY);
        prop_assert!(check(&chain, key.as_bytes(), &[]).is_err());
        let part = &whole.as_bytes()[..cut.min(whole.len())];
        let _ = check(part, &chain, &[]);
    }
}

#[test]
fn a_client_is_known_by_a_name_that_is_there_once() {
    let by = issuer("houses");
    let named = |alternatives: &[SanType], common: &[&str]| {
        let mut params = params(&[], NOW, NOW + DAY);
        params.subject_alt_names = alternatives.to_vec();
        params.distinguished_name = rcgen::DistinguishedName::new();
        common.iter().for_each(|c| params.distinguished_name.push(rcgen::DnType::CommonName, *c));
        caller_names(params.signed_by(&KeyPair::generate().unwrap(), &by).unwrap().der())
    };
    let dns = |name: &str| SanType::DnsName(name.try_into().unwrap());
    let email = |name: &str| SanType::Rfc822Name(name.try_into().unwrap());
    let some = |name: &str| Some(name.to_owned());
    let all = named(&[dns("North.LV"), email("Ops@north.lv")], &["north"]);
    assert_eq!(
        all,
        CallerNames { dns: some("north.lv"), email: some("Ops@north.lv"), common_name: some("north") }
    );
    let twice = named(&[dns("north.lv"), dns("south.lv"), email("a@b.lv")], &[" "]);
    assert_eq!(twice, CallerNames { email: some("a@b.lv"), ..CallerNames::default() });
    let hidden = named(&[], &["north\u{7}south"]);
    assert_eq!(hidden, CallerNames::default());
    assert_eq!(caller_names(b"no certificate"), CallerNames::default());
}
