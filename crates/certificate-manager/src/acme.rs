//! Orders one certificate from one ACME authority (RFC 8555) with instant-acme, and classifies failures.

use crate::clock::WallClock;
use crate::http::{AnswerInfo, Client, SharedAnswerInfo, account_key};
use crate::proofs::Proof;
use crate::store::Store;
use applemill_renewal::OrderFailure;
use applemill_routes::{Authority, Proof as ProofKind};
use instant_acme::{
    Account, AccountCredentials, AuthorizationStatus, CertificateIdentifier, ChallengeType, Error,
    ExternalAccountKey, Identifier, NewAccount, NewOrder, Order, OrderStatus, RetryPolicy,
};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use std::io;
use std::sync::PoisonError;
use std::time::Duration;

/// Collection of the store that holds ACME account credentials.
const ACCOUNTS: &str = "accounts";
/// An order as a whole may take this many times the authority's request timeout.
const ORDER_TIMEOUT_FACTOR: u32 = 20;
/// Delay before the first poll for a status change.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(250);

/// Why an order gave no certificate.
#[derive(Debug)]
pub(crate) struct OrderError {
    pub(crate) failure: OrderFailure,
    /// Whether the authority created the order, or may have. It then counts against the weekly budget.
    pub(crate) order_created: bool,
    /// The authority's error text, or a description of the local error.
    pub(crate) message: String,
}

/// What an order needs from its caller.
pub(crate) trait OrderEnvironment {
    /// Called just before the order is created.
    fn before_order(&self) -> io::Result<()>;
    /// The authority rejected the order; none was created.
    fn order_rejected(&self);
    /// Publishes challenge proofs. All nodes show them once this returns.
    async fn publish_proofs(&self, proofs: &[Proof]) -> io::Result<()>;
}

/// What to order, and from which authority.
pub(crate) struct OrderRequest<'a> {
    pub(crate) authority: &'a Authority,
    pub(crate) names: &'a [String],
    pub(crate) proof_kind: ProofKind,
    /// The PEM chain of the certificate to be replaced.
    pub(crate) replaces: Option<&'a [u8]>,
}

struct Session<'a> {
    request: &'a OrderRequest<'a>,
    store: &'a Store,
    answer_info: SharedAnswerInfo,
    order_created: bool,
}

/// Orders a certificate. Returns its chain and its key in PEM, unchecked.
pub(crate) async fn order(
    request: &OrderRequest<'_>,
    store: &Store,
    environment: &impl OrderEnvironment,
) -> Result<(String, String), OrderError> {
    let mut session =
        Session { request, store, answer_info: SharedAnswerInfo::default(), order_created: false };
    let timeout = timeout_of(request.authority) * ORDER_TIMEOUT_FACTOR;
    match tokio::time::timeout(timeout, session.run(environment)).await {
        Ok(result) => result,
        Err(_) => Err(session
            .failed(OrderFailure::Unavailable(None), format!("order not finished after {timeout:?}"))),
    }
}

fn timeout_of(authority: &Authority) -> Duration {
    Duration::from_secs_f64(authority.timeout_ms / 1000.0)
}

fn local_error(message: impl ToString) -> OrderError {
    OrderError { failure: OrderFailure::Local, order_created: false, message: message.to_string() }
}

/// Loads the account at an authority, or creates it.
async fn account(
    authority: &Authority,
    store: &Store,
    answer_info: &SharedAnswerInfo,
) -> Result<Account, OrderError> {
    let root = authority.root.as_ref().map(|r| r.value.as_str());
    let client = || Client::new(root, timeout_of(authority), answer_info.clone()).map_err(local_error);
    let protocol_error = |e: Error| OrderError {
        failure: failure_of(&e, answer_info),
        order_created: false,
        message: message_of(&e, answer_info),
    };
    let name = &authority.name.value;
    let Some(directory) = &authority.directory else {
        return Err(local_error("no directory URL configured"));
    };
    // Credentials that cannot be parsed are replaced by a new account.
    let stored = store.get(ACCOUNTS, name).map_err(local_error)?;
    if let Some(credentials) = stored.and_then(|k| serde_json::from_slice::<AccountCredentials>(&k).ok()) {
        return Account::builder_with_http(Box::new(client()?))
            .from_credentials(credentials)
            .await
            .map_err(protocol_error);
    }
    let external = match (&authority.account, &authority.account_key) {
        (Some(account), Some(file)) => {
            let key = account_key(&file.value).map_err(local_error)?;
            Some(ExternalAccountKey::new(account.value.clone(), &key))
        }
        _ => None,
    };
    let contact: Vec<&str> = authority.contact.iter().map(|c| c.value.as_str()).collect();
    let new = NewAccount { contact: &contact, terms_of_service_agreed: true, only_return_existing: false };
    let created = Account::builder_with_http(Box::new(client()?))
        .create(&new, directory.value.clone(), external.as_ref())
        .await;
    let (account, credentials) = created.map_err(protocol_error)?;
    let bytes = serde_json::to_vec(&credentials).map_err(local_error)?;
    store.put(ACCOUNTS, name, &bytes).map_err(local_error)?;
    Ok(account)
}

impl Session<'_> {
    fn failed(&self, failure: OrderFailure, message: impl ToString) -> OrderError {
        OrderError { failure, order_created: self.order_created, message: message.to_string() }
    }

    fn protocol_error(&self, e: &Error) -> OrderError {
        self.failed(failure_of(e, &self.answer_info), message_of(e, &self.answer_info))
    }

    async fn run(&mut self, environment: &impl OrderEnvironment) -> Result<(String, String), OrderError> {
        let request = self.request;
        let account = account(request.authority, self.store, &self.answer_info).await?;
        let names: Vec<Identifier> = request.names.iter().map(|n| Identifier::Dns(n.clone())).collect();
        let old = request.replaces.and_then(first_certificate);
        let replaces = old.as_ref().and_then(|der| CertificateIdentifier::try_from(der).ok());
        environment.before_order().map_err(|e| self.failed(OrderFailure::Local, e))?;
        self.order_created = true;
        let plain = NewOrder::new(&names);
        let created = match replaces {
            // An authority that supports renewal information may count renewals apart from its rate
            // limits. One that does not gets an order without it (RFC 9773, 5).
            Some(old) => match account.new_order(&NewOrder::new(&names).replaces(old)).await {
                Err(Error::Unsupported(_)) => account.new_order(&plain).await,
                // The certificate was replaced already, or is not known to the authority: place a plain
                // order.
                Err(Error::Api(p)) if p.r#type.as_deref().is_some_and(is_replacement_error) => {
                    account.new_order(&plain).await
                }
                created => created,
            },
            None => account.new_order(&plain).await,
        };
        let mut order = match created {
            Ok(order) => order,
            Err(e) => {
                // The authority answered with an error: no order was created.
                if matches!(e, Error::Api(_)) {
                    self.order_created = false;
                    environment.order_rejected();
                }
                if matches!(&e, Error::Api(p) if p.r#type.as_deref().is_some_and(is_account_error)) {
                    self.store.remove(ACCOUNTS, &request.authority.name.value);
                }
                return Err(self.protocol_error(&e));
            }
        };
        self.answer_challenges(&mut order, environment).await?;
        let retries = RetryPolicy::new()
            .initial_delay(FIRST_POLL_DELAY)
            .timeout(timeout_of(request.authority) * ORDER_TIMEOUT_FACTOR);
        let ready = order.poll_ready(&retries).await.map_err(|e| self.polling_error(&e))?;
        if ready != OrderStatus::Ready {
            return Err(self.failed(OrderFailure::Unproven, format!("order status is {ready:?}")));
        }
        let key = order.finalize().await.map_err(|e| self.protocol_error(&e))?;
        let chain = order.poll_certificate(&retries).await.map_err(|e| self.protocol_error(&e))?;
        Ok((chain, key))
    }

    /// Publishes the proofs for all pending authorizations, then tells the authority that they are ready.
    async fn answer_challenges(
        &self,
        order: &mut Order,
        environment: &impl OrderEnvironment,
    ) -> Result<(), OrderError> {
        let wanted = match self.request.proof_kind {
            ProofKind::Http => ChallengeType::Http01,
            ProofKind::Tls => ChallengeType::TlsAlpn01,
        };
        let mut proofs = Vec::new();
        let mut all = order.authorizations();
        while let Some(authorization) = all.next().await {
            let mut authorization = authorization.map_err(|e| self.protocol_error(&e))?;
            match authorization.status {
                AuthorizationStatus::Valid => continue,
                AuthorizationStatus::Pending => {}
                status => {
                    return Err(
                        self.failed(OrderFailure::Unproven, format!("authorization status is {status:?}"))
                    );
                }
            }
            let Some(challenge) = authorization.challenge(wanted.clone()) else {
                return Err(
                    self.failed(OrderFailure::Refused, format!("authority offers no {wanted:?} challenge"))
                );
            };
            let answer = challenge.key_authorization();
            proofs.push(match self.request.proof_kind {
                ProofKind::Http => {
                    Proof::Http { token: challenge.token.clone(), answer: answer.as_str().to_owned() }
                }
                ProofKind::Tls => Proof::Tls {
                    name: challenge.identifier().to_string(),
                    digest: answer.digest().as_ref().to_vec(),
                },
            });
        }
        if proofs.is_empty() {
            return Ok(());
        }
        environment.publish_proofs(&proofs).await.map_err(|e| self.failed(OrderFailure::Local, e))?;
        let mut all = order.authorizations();
        while let Some(authorization) = all.next().await {
            let mut authorization = authorization.map_err(|e| self.protocol_error(&e))?;
            if authorization.status == AuthorizationStatus::Pending
                && let Some(mut challenge) = authorization.challenge(wanted.clone())
            {
                challenge.set_ready().await.map_err(|e| self.protocol_error(&e))?;
            }
        }
        Ok(())
    }

    /// An API error while the order is polled means that a proof was not accepted, whatever its type; rate
    /// limits and server errors (429 and above) are classified as usual.
    fn polling_error(&self, e: &Error) -> OrderError {
        match e {
            Error::Api(p) if p.status.is_none_or(|s| s < 429) => self.failed(OrderFailure::Unproven, e),
            _ => self.protocol_error(e),
        }
    }
}

fn first_certificate(pem: &[u8]) -> Option<CertificateDer<'static>> {
    CertificateDer::pem_slice_iter(pem).next()?.ok()
}

/// The account no longer exists or was deactivated.
fn is_account_error(problem: &str) -> bool {
    problem.ends_with(":accountDoesNotExist") || problem.ends_with(":unauthorized")
}

/// The certificate to be replaced cannot be replaced (RFC 9773, 5).
fn is_replacement_error(problem: &str) -> bool {
    problem.ends_with(":alreadyReplaced") || problem.ends_with(":malformed")
}

/// The text of an error, with the HTTP status where the body could not be parsed as a problem document.
fn message_of(e: &Error, answer_info: &SharedAnswerInfo) -> String {
    match answer_info.lock().unwrap_or_else(PoisonError::into_inner).status {
        status @ 400.. if !matches!(e, Error::Api(_)) => format!("status {status}: {e}"),
        _ => e.to_string(),
    }
}

/// Classifies an error for the retry rules: by its problem type, or by the last HTTP status where the type
/// says nothing.
fn failure_of(e: &Error, answer_info: &SharedAnswerInfo) -> OrderFailure {
    let AnswerInfo { status, retry_at_s } = *answer_info.lock().unwrap_or_else(PoisonError::into_inner);
    // The header is kept as a point in time; the failure takes a duration.
    let retry_in_s = retry_at_s.map(|at| (at - WallClock::default().now_s()).max(0.0));
    let problem = match e {
        Error::Api(p) => p.r#type.as_deref().and_then(|t| t.rsplit(':').next()).unwrap_or_default(),
        _ => "",
    };
    match (problem, e) {
        ("rateLimited", _) => OrderFailure::RateLimited(retry_in_s),
        _ if status == 429 => OrderFailure::RateLimited(retry_in_s),
        ("serverInternal" | "badNonce", _) => OrderFailure::Unavailable(retry_in_s),
        _ if status >= 500 => OrderFailure::Unavailable(retry_in_s),
        ("connection" | "dns" | "tls" | "incorrectResponse", _) => OrderFailure::Unproven,
        (_, Error::Api(_)) => OrderFailure::Refused,
        (_, Error::Json(_) | Error::Str(_) | Error::InvalidUri(_) | Error::Unsupported(_)) => {
            OrderFailure::InvalidCertificate
        }
        (_, Error::Crypto | Error::KeyRejected) => OrderFailure::Local,
        _ => OrderFailure::Unavailable(None),
    }
}

/// When an authority wants a certificate to be renewed (RFC 9773).
pub(crate) struct RenewalWindow {
    pub(crate) start_s: f64,
    pub(crate) end_s: f64,
    /// Seconds until the next query.
    pub(crate) retry_after_s: f64,
}

/// Fetches the renewal window of a certificate. `None` if the authority gives none, or there is no account.
pub(crate) async fn renewal_window(
    authority: &Authority,
    store: &Store,
    chain: &[u8],
) -> Option<RenewalWindow> {
    store.get(ACCOUNTS, &authority.name.value).ok()??;
    let account = account(authority, store, &SharedAnswerInfo::default()).await.ok()?;
    let der = first_certificate(chain)?;
    let id = CertificateIdentifier::try_from(&der).ok()?;
    let (info, retry_after) = account.renewal_info(&id).await.ok()?;
    let seconds = |t: time::OffsetDateTime| t.unix_timestamp_nanos() as f64 / 1e9;
    let window = info.suggested_window;
    Some(RenewalWindow {
        start_s: seconds(window.start),
        end_s: seconds(window.end),
        retry_after_s: retry_after.as_secs_f64(),
    })
}
