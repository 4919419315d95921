//! Orders a certificate on one node of the fleet. The node acquires the lease, keeps it alive with
//! heartbeats during the order, and releases it. The renewal record is written before and after the order.

use crate::acme::{self, OrderEnvironment, OrderError, OrderRequest};
use crate::clock::machine_ms;
use crate::manager::Shared;
use crate::proofs::Proof;
use crate::state::{certificate_collection, join_faults, join_pem, record_collection, validity_of};
use crate::store::Store;
use applemill_certs::{CertificateFault, check};
use applemill_lease::{Claim, Lease, LeaseStep};
use applemill_renewal::{CertificateValidity, FailedOrder, OrderFailure, Record, RenewalStep};
use applemill_routes::{Authority, Certificate};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io;
use std::time::Duration;
use tracing::{info, warn};

/// A lease without a heartbeat for this long is free. This is the delay that the death of its holder
/// causes.
pub(crate) const LEASE_TIMEOUT_MS: f64 = 5_000.0;
/// A node that waits for another's lease checks it at least this often.
const MAX_LEASE_POLL_MS: f64 = 500.0;
/// Time until all nodes have loaded new proofs: two of their checks of the folder.
const PROOF_PROPAGATION: Duration = Duration::from_millis(600);
/// Age after which a proof is left over from a node that died.
const MAX_PROOF_AGE: Duration = Duration::from_secs(3 * 3600);
/// Collection of the store that holds challenge proofs.
pub(crate) const PROOFS: &str = "proofs";
/// Collection with operators' renewal requests, by certificate: the number of the version to be replaced.
pub(crate) const RENEWAL_REQUESTS: &str = "wishes";

fn claim_collection(name: &str) -> String {
    format!("claims/{name}")
}

/// A lease claim as stored in the folder, under its number.
#[derive(Serialize, Deserialize)]
struct StoredClaim {
    holder: String,
    #[serde(rename = "beat")]
    heartbeat: u64,
    #[serde(rename = "over")]
    released: bool,
}

fn encode_claim(claim: &Claim, holder: &str) -> Vec<u8> {
    let stored =
        StoredClaim { holder: holder.to_owned(), heartbeat: claim.heartbeat, released: claim.released };
    serde_json::to_vec(&stored).unwrap_or_default()
}

fn read_claim(store: &Store, name: &str) -> io::Result<Option<Claim>> {
    let collection = claim_collection(name);
    let Some(number) = store.numbers(&collection)?.first().copied() else { return Ok(None) };
    let bytes = store.get_number(&collection, number)?.unwrap_or_default();
    // An unreadable claim counts as one without new heartbeats.
    let (heartbeat, released) =
        serde_json::from_slice::<StoredClaim>(&bytes).map_or((0, false), |c| (c.heartbeat, c.released));
    Ok(Some(Claim { number, heartbeat, released }))
}

/// A held lease; released when dropped.
struct HeldLease<'a> {
    shared: &'a Shared,
    store: &'a Store,
    name: &'a str,
    number: u64,
    lease: &'a RefCell<Lease>,
}

impl HeldLease<'_> {
    fn is_held(&self) -> bool {
        self.lease.borrow().is_held(machine_ms())
    }

    /// Writes a heartbeat. Returns false if this node no longer holds the lease.
    fn heartbeat(&self) -> bool {
        let started = machine_ms();
        let Some(claim) = self.lease.borrow().next_heartbeat(started) else { return false };
        // A failed write is retried at the next heartbeat; the lease may expire in the meantime.
        if self.write(&claim).is_ok() {
            self.lease.borrow_mut().heartbeat_written(started, &claim);
        }
        self.is_held()
    }

    fn write(&self, claim: &Claim) -> io::Result<()> {
        self.store.put_number(
            &claim_collection(self.name),
            claim.number,
            &encode_claim(claim, &self.shared.node),
        )
    }

    /// Writes the renewal record under this lease's number.
    fn save_record(&self, record: &Record) -> io::Result<()> {
        let bytes = serde_json::to_vec(record)?;
        self.store.put_number(&record_collection(self.name), self.number, &bytes)
    }
}

impl Drop for HeldLease<'_> {
    fn drop(&mut self) {
        let claim = self.lease.borrow_mut().release(machine_ms());
        if let Some(claim) = claim {
            let _ = self.write(&claim);
        }
        self.store.remove_old_numbers(&claim_collection(self.name));
    }
}

/// Gives an order access to the store; removes its proofs when dropped.
struct OrderContext<'a> {
    lease_guard: &'a HeldLease<'a>,
    record: &'a RefCell<Record>,
    published: RefCell<Vec<String>>,
}

impl OrderEnvironment for OrderContext<'_> {
    fn before_order(&self) -> io::Result<()> {
        self.record.borrow_mut().record_order(self.lease_guard.shared.wall_clock.now_s());
        self.lease_guard.save_record(&self.record.borrow())
    }

    fn order_rejected(&self) {
        self.record.borrow_mut().cancel_order();
    }

    async fn publish_proofs(&self, proofs: &[Proof]) -> io::Result<()> {
        for proof in proofs {
            let name = format!("{}-{:016x}", self.lease_guard.number, fastrand::u64(..));
            self.lease_guard.store.put(PROOFS, &name, &serde_json::to_vec(proof)?)?;
            self.published.borrow_mut().push(name);
        }
        self.lease_guard.shared.reload_proofs();
        tokio::time::sleep(PROOF_PROPAGATION).await;
        Ok(())
    }
}

impl Drop for OrderContext<'_> {
    fn drop(&mut self) {
        for name in self.published.borrow().iter() {
            self.lease_guard.store.remove(PROOFS, name);
        }
        self.lease_guard.shared.reload_proofs();
    }
}

/// Acquires the lease of a certificate and places an order if one is due. Returns the milliseconds until
/// the next call.
///
/// # Errors
/// The folder cannot be read or written.
pub(crate) fn advance(shared: &Shared, name: &str) -> Result<f64, String> {
    let config = shared.config();
    let (Some(store), Some(certificate)) = (&shared.store, config.certificate(name)) else {
        return Ok(f64::INFINITY);
    };
    let error_text = |e: io::Error| format!("state: {e}");
    let lease = RefCell::new(shared.lease(name));
    let now = machine_ms();
    lease.borrow_mut().observe(now, read_claim(store, name).map_err(error_text)?);
    let next = lease.borrow().next(now);
    let number = match next {
        LeaseStep::Wait(until) => {
            shared.store_lease(name, lease.into_inner());
            return Ok((until - now).clamp(1.0, MAX_LEASE_POLL_MS));
        }
        LeaseStep::Create(number) => {
            let claim = Claim { number, heartbeat: 0, released: false };
            let bytes = encode_claim(&claim, &shared.node);
            if !store.create_number(&claim_collection(name), number, &bytes).map_err(error_text)? {
                shared.store_lease(name, lease.into_inner());
                return Ok(MAX_LEASE_POLL_MS / 4.0);
            }
            lease.borrow_mut().acquired(now, number);
            number
        }
        LeaseStep::Held { number, .. } => number,
    };
    let lease_guard = HeldLease { shared, store, name, number, lease: &lease };
    // A node that died during its order has left its proofs.
    store.remove_older_than(PROOFS, MAX_PROOF_AGE);
    // Another node may have renewed it since the last check.
    shared.check_certificate(name);
    let result = order_if_due(&lease_guard, certificate);
    drop(lease_guard);
    shared.store_lease(name, lease.into_inner());
    shared.check_certificate(name);
    result.map_err(error_text)
}

fn order_if_due(lease_guard: &HeldLease<'_>, certificate: &Certificate) -> io::Result<f64> {
    let (shared, name) = (lease_guard.shared, lease_guard.name);
    let config = shared.config();
    let (policy, authorities) = (config.policy(name, &shared.node), config.authorities_for(certificate));
    let (mut record, number, chain) = shared.record(name);
    let now = shared.wall_clock.now_s();
    record.normalize(now, authorities.len());
    let requested = renewal_requested(lease_guard.store, name, number);
    let decision = match record.next(&policy, now) {
        RenewalStep::Order(authority_index) => Ok(authority_index),
        RenewalStep::Wait(until) if requested && now < record.renew_from(&policy) => {
            // An operator's request overrides the renewal time, but neither the order budget nor an
            // authority's retry time.
            let due_now = Record { revoked: true, ..record.clone() };
            match due_now.next(&policy, now) {
                RenewalStep::Order(authority_index) => Ok(authority_index),
                RenewalStep::Wait(_) => Err(until),
            }
        }
        RenewalStep::Wait(until) => Err(until),
    };
    let authority_index = match decision {
        Ok(authority_index) => authority_index,
        Err(until) => return Ok((until - now) * 1000.0),
    };
    let Some(authority) = authorities.get(authority_index) else { return Ok(f64::INFINITY) };
    let record = RefCell::new(record);
    let result = place_order(lease_guard, certificate, authority, &record, &chain);
    let (mut record, now) = (record.into_inner(), shared.wall_clock.now_s());
    if !lease_guard.is_held() {
        warn!(
            certificate = name,
            "lease expired during the order; result discarded, left to the other nodes"
        );
        return Ok(0.0);
    }
    match result {
        Ok((pem, validity)) => {
            lease_guard.store.put_number(&certificate_collection(name), lease_guard.number, &pem)?;
            record.record_certificate(validity);
            lease_guard.save_record(&record)?;
            lease_guard.store.remove(RENEWAL_REQUESTS, name);
            lease_guard.store.remove_old_numbers(&certificate_collection(name));
            lease_guard.store.remove_old_numbers(&record_collection(name));
            info!(certificate = name, authority = authority.name.value, "certificate renewed");
            Ok(0.0)
        }
        Err(error) => {
            let (authority, message) = (&authority.name.value, error.message.replace('\n', " "));
            let trouble = error.failure;
            warn!(certificate = name, authority, ?trouble, words = message, "certificate order failed");
            let left = record.orders_left(&policy, now);
            let failed =
                FailedOrder { authority_index, failure: error.failure, order_created: error.order_created };
            record.record_failure(now, failed, left, &error.message, fastrand::f64());
            lease_guard.save_record(&record)?;
            lease_guard.store.remove_old_numbers(&record_collection(name));
            Ok(0.0)
        }
    }
}

/// Whether an operator has requested that the certificate with this number be replaced.
pub(crate) fn renewal_requested(store: &Store, name: &str, number: u64) -> bool {
    let request = store.get(RENEWAL_REQUESTS, name).ok().flatten();
    request.is_some_and(|r| String::from_utf8_lossy(&r).trim().parse::<u64>().is_ok_and(|n| n >= number))
}

type NewCertificate = (Vec<u8>, CertificateValidity);

/// Places an order while heartbeats keep the lease alive.
fn place_order(
    lease_guard: &HeldLease<'_>,
    certificate: &Certificate,
    authority: &Authority,
    record: &RefCell<Record>,
    chain: &[u8],
) -> Result<NewCertificate, OrderError> {
    let local_error = |e: io::Error| OrderError {
        failure: OrderFailure::Local,
        order_created: false,
        message: e.to_string(),
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(local_error)?;
    let names: Vec<String> = certificate.names.iter().map(|n| n.value.clone()).collect();
    let request = OrderRequest {
        authority,
        names: &names,
        proof_kind: lease_guard.shared.config().tls.proof,
        // Only if the authority has given renewal information (RFC 9773, 5).
        replaces: record.borrow().window.and((!chain.is_empty()).then_some(chain)),
    };
    let context = OrderContext { lease_guard, record, published: RefCell::default() };
    let heartbeats = async {
        loop {
            tokio::time::sleep(Duration::from_secs_f64(LEASE_TIMEOUT_MS / 5_000.0)).await;
            if !lease_guard.heartbeat() {
                return;
            }
        }
    };
    let ordered = runtime.block_on(async {
        tokio::select! {
            ordered = acme::order(&request, lease_guard.store, &context) => ordered,
            () = heartbeats => Err(OrderError {
                failure: OrderFailure::Local,
                order_created: true,
                message: "lease expired during the order".into(),
            }),
        }
    });
    let (chain, key) = ordered?;
    let invalid_certificate = |message: String| OrderError {
        failure: OrderFailure::InvalidCertificate,
        order_created: true,
        message,
    };
    let checked = check(chain.as_bytes(), key.as_bytes(), &names)
        .map_err(|faults| invalid_certificate(join_faults(&faults)))?;
    // A certificate that is not valid yet points to a wrong clock of this node rather than a fault of the
    // authority. It is stored and becomes pending.
    if let Err(fault @ CertificateFault::Expired(_)) =
        checked.check_validity(lease_guard.shared.wall_clock.now_s() as i64)
    {
        return Err(invalid_certificate(fault.to_string()));
    }
    Ok((join_pem(&chain, &key), validity_of(&checked)))
}
