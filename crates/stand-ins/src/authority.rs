//! An ACME certificate authority (RFC 8555, RFC 8737, RFC 9773) that checks requests strictly and fails as
//! its script says. It validates challenges by really connecting to the nodes.

mod jose;
mod orders;
mod prove;

use crate::http::{Message, reply};
use crate::secure::{Issuer, unix_now};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD as B64;
use jose::Signed;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ServerConfig, ServerConnection, StreamOwned};
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// The kind of an ACME request, for scripts of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The directory is fetched.
    Directory,
    /// A nonce is fetched.
    Nonce,
    /// An account is created or looked up.
    Account,
    /// An order is created.
    Order,
    /// The state of an authorisation is polled.
    Authorisation,
    /// The client reports that a challenge is ready to be validated.
    Challenge,
    /// An order is finalised with a certificate signing request.
    Finalise,
    /// The state of an order is polled.
    Look,
    /// A certificate chain is downloaded.
    Chain,
    /// Renewal information is fetched.
    Renewal,
}

/// How the authority handles a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Whim {
    /// Correctly.
    Right,
    /// Closes the connection without an answer.
    Gone,
    /// Waits before it answers correctly.
    Slow(Duration),
    /// Answers with a status and optionally with `Retry-After`, in seconds.
    Status(u16, Option<u64>),
    /// Rejects the request with an ACME problem of this type.
    Problem(&'static str),
    /// Answers 200 with a body that is neither JSON nor a chain.
    Garbage,
    /// Issues a certificate for a key other than the client's.
    OtherKey,
    /// Issues a certificate that has expired.
    Expired,
    /// Issues a certificate for the first name only.
    FewerNames,
}

type Script = Box<dyn Fn(Stage, u64) -> Whim + Send + Sync>;

/// What the authority has received and issued.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accounts created.
    pub accounts: u64,
    /// Orders created.
    pub orders: u64,
    /// Orders that name the certificate they replace.
    pub replaced: u64,
    /// Certificates issued.
    pub certificates: u64,
    /// Problem documents sent for requests that violated the protocol.
    pub wrong: Vec<String>,
}

#[derive(Default)]
struct State {
    nonces: HashSet<String>,
    /// Accounts by number.
    accounts: Vec<Account>,
    orders: Vec<Order>,
    authorisations: Vec<Authorisation>,
    /// Requests so far by stage.
    requests: HashMap<Stage, u64>,
    counts: Counts,
    /// Suggested renewal window, in Unix seconds.
    renewal_window: Option<(i64, i64)>,
}

struct Account {
    key: Value,
    /// False after the account was deactivated.
    active: bool,
}

struct Order {
    account: usize,
    names: Vec<String>,
    /// Numbers of the order's authorisations.
    authorisations: Vec<usize>,
    /// The certificate that the order replaces (RFC 9773, 5).
    replaces: Value,
    chain: Option<String>,
}

struct Authorisation {
    account: usize,
    name: String,
    token: String,
    state: AuthorisationState,
}

#[derive(Clone, Debug, PartialEq)]
enum AuthorisationState {
    Pending,
    Valid,
    /// With the reason.
    Invalid(String),
}

/// Configuration of an authority.
pub struct Manner {
    /// Lifetime of its certificates, in seconds.
    pub life: i64,
    /// Nodes at which challenges are validated, in turn: the address of the HTTP listener and of the TLS
    /// listener.
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
    /// External account that new accounts must be bound to: key id and MAC key.
    pub bound: Option<(String, Vec<u8>)>,
}

struct Shared {
    address: SocketAddr,
    issuer: Issuer,
    manner: Mutex<Manner>,
    script: Mutex<Script>,
    state: Mutex<State>,
    config: Arc<ServerConfig>,
}

/// A running authority, which serves until the process ends.
#[derive(Clone)]
pub struct Authority(Arc<Shared>);

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Status, headers and body of an answer.
type Response = (u16, Vec<(&'static str, String)>, Vec<u8>);

fn problem(status: u16, kind: &str, detail: &str) -> Response {
    let kind = format!("urn:ietf:params:acme:error:{kind}");
    let body = json!({"type": kind, "detail": detail, "status": status}).to_string();
    (status, vec![("Content-Type", "application/problem+json".into())], body.into_bytes())
}

fn as_json(status: u16, body: &Value) -> Response {
    (status, vec![("Content-Type", "application/json".into())], body.to_string().into_bytes())
}

impl Authority {
    /// Starts an authority on a free port.
    ///
    /// # Errors
    /// It cannot listen, or its own certificate cannot be used.
    pub fn start(manner: Manner) -> std::io::Result<Authority> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let issuer = Issuer::new("an authority");
        let (chain, key) = issuer.pair(&["localhost"], -60, 86_400);
        let config =
            ServerConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
                .with_safe_default_protocol_versions()
                .map_err(std::io::Error::other)?
                .with_no_client_auth()
                .with_single_cert(
                    CertificateDer::pem_slice_iter(chain.as_bytes()).flatten().collect(),
                    PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(std::io::Error::other)?,
                )
                .map_err(std::io::Error::other)?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            issuer,
            manner: Mutex::new(manner),
            script: Mutex::new(Box::new(|_, _| Whim::Right)),
            state: Mutex::default(),
            config: Arc::new(config),
        });
        let authority = Authority(shared);
        let server = authority.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = server.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        Ok(authority)
    }

    /// The URL of the directory.
    pub fn directory(&self) -> String {
        self.url("directory")
    }

    /// The root certificate of the authority's own certificate and of those it issues, in PEM.
    pub fn root(&self) -> String {
        self.0.issuer.root()
    }

    /// Sets the script of faults, which gets the stage and the number of earlier requests of that stage.
    pub fn does(&self, script: impl Fn(Stage, u64) -> Whim + Send + Sync + 'static) {
        *locked(&self.0.script) = Box::new(script);
    }

    /// Changes the configuration.
    pub fn change(&self, change: impl FnOnce(&mut Manner)) {
        change(&mut locked(&self.0.manner));
    }

    /// Sets the suggested renewal window, as seconds from now; none restores the default.
    pub fn wants_renewal(&self, window: Option<(i64, i64)>) {
        locked(&self.0.state).renewal_window = window.map(|(a, b)| (unix_now() + a, unix_now() + b));
    }

    /// Deactivates all accounts.
    pub fn shut_accounts(&self) {
        locked(&self.0.state).accounts.iter_mut().for_each(|account| account.active = false);
    }

    /// What the authority has received and issued so far.
    pub fn counts(&self) -> Counts {
        locked(&self.0.state).counts.clone()
    }

    fn url(&self, path: &str) -> String {
        format!("https://localhost:{}/{path}", self.0.address.port())
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(session) = ServerConnection::new(self.0.config.clone()) else { return };
        let mut stream = BufReader::new(StreamOwned::new(session, stream));
        while let Some(message) = Message::read(&mut stream) {
            let Some((status, mut headers, body)) = self.answer(&message) else { return };
            headers.push(("Replay-Nonce", self.nonce()));
            headers.push(("Link", format!("<{}>;rel=\"index\"", self.directory())));
            let head: String = headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
            let body = if message.first_line.starts_with("HEAD") { Vec::new() } else { body };
            let out = stream.get_mut();
            if out
                .write_all(&reply(&format!("{status} X"), &head, &body))
                .and_then(|()| out.flush())
                .is_err()
            {
                return;
            }
        }
    }

    fn nonce(&self) -> String {
        let nonce = B64.encode(fastrand::u128(..).to_be_bytes());
        locked(&self.0.state).nonces.insert(nonce.clone());
        nonce
    }

    /// Handles one request; none if the connection must be closed.
    fn answer(&self, message: &Message) -> Option<Response> {
        let mut words = message.first_line.split(' ');
        let (method, target) = (words.next()?, words.next()?.trim_start_matches('/').to_owned());
        let mut parts = target.split('/');
        let (resource, number) = (parts.next()?, parts.next().unwrap_or_default());
        let stage = match resource {
            "directory" => Stage::Directory,
            "nonce" => Stage::Nonce,
            "account" => Stage::Account,
            "new-order" => Stage::Order,
            "authorisation" => Stage::Authorisation,
            "challenge" => Stage::Challenge,
            "finalise" => Stage::Finalise,
            "order" => Stage::Look,
            "chain" => Stage::Chain,
            "renewal" => Stage::Renewal,
            _ => return Some(problem(404, "malformed", "unknown resource")),
        };
        let before = {
            let mut state = locked(&self.0.state);
            let requests = state.requests.entry(stage).or_default();
            *requests += 1;
            *requests - 1
        };
        let whim = locked(&self.0.script)(stage, before);
        match &whim {
            Whim::Gone => return None,
            Whim::Slow(time) => thread::sleep(*time),
            Whim::Status(status, retry_after_s) => {
                let mut response = (*status, Vec::new(), b"<html>busy</html>".to_vec());
                response.1.extend(retry_after_s.map(|s| ("Retry-After", s.to_string())));
                return Some(response);
            }
            Whim::Problem(kind) => {
                return Some(problem(
                    if *kind == "rateLimited" { 429 } else { 403 },
                    kind,
                    "injected by the script",
                ));
            }
            Whim::Garbage => return Some((200, Vec::new(), b"garbage".to_vec())),
            _ => {}
        }
        let unsigned = matches!(stage, Stage::Directory | Stage::Nonce | Stage::Renewal);
        if unsigned == (method == "POST") {
            return Some(problem(405, "malformed", "method not allowed"));
        }
        match stage {
            Stage::Directory => Some(as_json(
                200,
                &json!({"newNonce": self.url("nonce"), "newAccount": self.url("account"),
                    "newOrder": self.url("new-order"), "revokeCert": self.url("revoke"),
                    "keyChange": self.url("key"), "renewalInfo": self.url("renewal"),
                    "meta": {"externalAccountRequired": locked(&self.0.manner).bound.is_some()}}),
            )),
            Stage::Nonce => Some((200, vec![("Cache-Control", "no-store".into())], Vec::new())),
            Stage::Renewal => Some(self.renewal(number)),
            _ => Some(match self.signed(message, &target) {
                Ok(signed) => self.act(stage, number, &signed, &whim),
                Err(response) => {
                    let detail = String::from_utf8_lossy(&response.2).into_owned();
                    if !detail.contains("badNonce")
                        && !detail.contains("accountDoesNotExist")
                        && !detail.contains("unauthorized")
                    {
                        locked(&self.0.state).counts.wrong.push(detail);
                    }
                    response
                }
            }),
        }
    }

    fn renewal(&self, id: &str) -> Response {
        if id.split('.').filter(|p| B64.decode(p).is_ok_and(|b| !b.is_empty())).count() != 2 {
            return problem(404, "malformed", "invalid certificate identifier (RFC 9773, 4.1)");
        }
        let (from, to) =
            locked(&self.0.state).renewal_window.unwrap_or((unix_now() + 86_400, unix_now() + 90_000));
        let text = |unix: i64| {
            let at =
                time::OffsetDateTime::from_unix_timestamp(unix).unwrap_or(time::OffsetDateTime::UNIX_EPOCH);
            format!("{}T{:02}:{:02}:{:02}Z", at.date(), at.hour(), at.minute(), at.second())
        };
        let mut response =
            as_json(200, &json!({"suggestedWindow": {"start": text(from), "end": text(to)}}));
        response.1.push(("Retry-After", "60".into()));
        response
    }

    /// Checks the rules for all signed requests (RFC 8555, 6.2 to 6.5).
    fn signed(&self, message: &Message, target: &str) -> Result<Signed, Response> {
        let malformed = |detail: &str| problem(400, "malformed", detail);
        if message.header("content-type") != Some("application/jose+json") {
            return Err(problem(415, "malformed", "content type is not application/jose+json"));
        }
        let mut signed = jose::read(&message.body).map_err(malformed)?;
        if signed.url != self.url(target) {
            return Err(problem(401, "unauthorized", "signed for another URL"));
        }
        let mut state = locked(&self.0.state);
        if !state.nonces.remove(&signed.nonce) {
            return Err(problem(400, "badNonce", "nonce unknown or already used"));
        }
        let key = match (&signed.key, &signed.account) {
            (Some(key), None) if target == "account" => key.clone(),
            (None, Some(url)) if target != "account" => {
                let number = url.strip_prefix(&self.url("account/")).and_then(|n| n.parse::<usize>().ok());
                let account = number.and_then(|n| state.accounts.get(n));
                let account =
                    account.ok_or_else(|| problem(400, "accountDoesNotExist", "unknown account"))?;
                if !account.active {
                    return Err(problem(401, "unauthorized", "account is deactivated"));
                }
                signed.account_number = number.unwrap_or_default();
                account.key.clone()
            }
            _ => return Err(malformed("use jwk for a new account and kid for all other requests")),
        };
        jose::verify(&signed, &key).map_err(malformed)?;
        signed.key = Some(key);
        Ok(signed)
    }

    fn act(&self, stage: Stage, number: &str, signed: &Signed, whim: &Whim) -> Response {
        let number = number.parse::<usize>().unwrap_or(usize::MAX);
        match stage {
            Stage::Account => self.account(signed),
            Stage::Order => self.order(signed),
            Stage::Authorisation => self.authorisation(number, signed),
            Stage::Challenge => self.challenge(number, signed),
            Stage::Finalise => self.finalise(number, signed, whim),
            Stage::Look => self.describe_order(number, signed, 200),
            _ => match locked(&self.0.state)
                .orders
                .get(number)
                .filter(|o| o.account == signed.account_number)
            {
                Some(Order { chain: Some(chain), .. }) => (
                    200,
                    vec![("Content-Type", "application/pem-certificate-chain".into())],
                    chain.clone().into_bytes(),
                ),
                _ => problem(404, "malformed", "no certificate for this order"),
            },
        }
    }
}
