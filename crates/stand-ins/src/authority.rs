//! An authority that gives out certificates by ACME (RFC 8555, RFC 8737, RFC 9773): strict in what it takes, and as troublesome
//! as its script says. It really fetches the proofs it asks for.

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

/// Where in its work it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Its directory is asked for.
    Directory,
    /// A nonce is.
    Nonce,
    /// An account is made or asked for.
    Account,
    /// An order is made.
    Order,
    /// An authorisation is looked at.
    Authorisation,
    /// A proof is said to be there.
    Challenge,
    /// A certificate is asked for by its request.
    Finalise,
    /// An order is looked at.
    Look,
    /// A chain is fetched.
    Chain,
    /// Renewal information is asked for.
    Renewal,
}

/// What it does there.
#[derive(Clone, Debug, PartialEq)]
pub enum Whim {
    /// As it should.
    Right,
    /// Closes the connection.
    Gone,
    /// Waits first.
    Slow(Duration),
    /// Answers with a status and, where told, when to come back, in seconds.
    Status(u16, Option<u64>),
    /// Refuses with a problem of this kind.
    Problem(&'static str),
    /// Answers with what is no JSON and no chain.
    Garbage,
    /// Of a chain: it is of a key that nobody knows.
    OtherKey,
    /// Of a chain: it has expired.
    Expired,
    /// Of a chain: its first name alone is in it.
    FewerNames,
}

type Script = Box<dyn Fn(Stage, u64) -> Whim + Send + Sync>;

/// What it has seen and done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accounts made.
    pub accounts: u64,
    /// Orders made.
    pub orders: u64,
    /// Of them, those that name a certificate that they take the place of.
    pub replaced: u64,
    /// Certificates given out.
    pub certificates: u64,
    /// Requests that broke a rule of the protocol, in words.
    pub wrong: Vec<String>,
}

#[derive(Default)]
struct State {
    nonces: HashSet<String>,
    /// By their place: the key, and whether it still stands.
    accounts: Vec<(Value, bool)>,
    orders: Vec<Order>,
    proofs: Vec<Asked>,
    /// By stage, requests so far.
    asked: HashMap<Stage, u64>,
    counts: Counts,
    window: Option<(i64, i64)>,
}

struct Order {
    account: usize,
    names: Vec<String>,
    proofs: Vec<usize>,
    /// What it takes the place of (RFC 9773, 5).
    replaces: Value,
    chain: Option<String>,
}

struct Asked {
    account: usize,
    name: String,
    token: String,
    state: Proven,
}

#[derive(Clone, Debug, PartialEq)]
enum Proven {
    Pending,
    Valid,
    Not(String),
}

/// What an authority is like.
pub struct Manner {
    /// How long its certificates are good, in seconds.
    pub life: i64,
    /// Nodes that proofs are fetched from, one after another: their plain listeners, and those by TLS.
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
    /// Accounts are bound to one that it has given out: its name and key.
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

/// An authority; it serves as long as the process runs.
#[derive(Clone)]
pub struct Authority(Arc<Shared>);

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An answer: status, headers, body.
type Said = (u16, Vec<(&'static str, String)>, Vec<u8>);

fn problem(status: u16, kind: &str, detail: &str) -> Said {
    let kind = format!("urn:ietf:params:acme:error:{kind}");
    let body = json!({"type": kind, "detail": detail, "status": status}).to_string();
    (status, vec![("Content-Type", "application/problem+json".into())], body.into_bytes())
}

fn as_json(status: u16, body: &Value) -> Said {
    (status, vec![("Content-Type", "application/json".into())], body.to_string().into_bytes())
}

impl Authority {
    /// Starts one.
    ///
    /// # Errors
    /// There is no place for it.
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
        let own = authority.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                thread::spawn(move || own.converse(stream));
            }
        });
        Ok(authority)
    }

    /// The address of its directory.
    pub fn directory(&self) -> String {
        self.url("directory")
    }

    /// The root that both its own certificate and those it gives out are checked by, in PEM.
    pub fn root(&self) -> String {
        self.0.issuer.root()
    }

    /// From now on it does as this says, by stage and by how many requests came there before.
    pub fn does(&self, script: impl Fn(Stage, u64) -> Whim + Send + Sync + 'static) {
        *locked(&self.0.script) = Box::new(script);
    }

    /// Changes what it is like.
    pub fn change(&self, change: impl FnOnce(&mut Manner)) {
        change(&mut locked(&self.0.manner));
    }

    /// Wants certificates to be renewed between so many seconds from now; by rule again where none.
    pub fn wants_renewal(&self, window: Option<(i64, i64)>) {
        locked(&self.0.state).window = window.map(|(a, b)| (unix_now() + a, unix_now() + b));
    }

    /// Shuts all accounts.
    pub fn shut_accounts(&self) {
        locked(&self.0.state).accounts.iter_mut().for_each(|(_, stands)| *stands = false);
    }

    /// What it has seen and done.
    pub fn counts(&self) -> Counts {
        locked(&self.0.state).counts.clone()
    }

    fn url(&self, path: &str) -> String {
        format!("https://localhost:{}/{path}", self.0.address.port())
    }

    fn converse(&self, stream: TcpStream) {
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

    /// One request; none where the connection is to be closed.
    fn answer(&self, message: &Message) -> Option<Said> {
        let mut words = message.first_line.split(' ');
        let (method, target) = (words.next()?, words.next()?.trim_start_matches('/').to_owned());
        let mut parts = target.split('/');
        let (what, number) = (parts.next()?, parts.next().unwrap_or_default());
        let stage = match what {
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
            _ => return Some(problem(404, "malformed", "nothing is there")),
        };
        let before = {
            let mut state = locked(&self.0.state);
            let asked = state.asked.entry(stage).or_default();
            *asked += 1;
            *asked - 1
        };
        let whim = locked(&self.0.script)(stage, before);
        match &whim {
            Whim::Gone => return None,
            Whim::Slow(time) => thread::sleep(*time),
            Whim::Status(status, back) => {
                let mut said = (*status, Vec::new(), b"<html>busy</html>".to_vec());
                said.1.extend(back.map(|s| ("Retry-After", s.to_string())));
                return Some(said);
            }
            Whim::Problem(kind) => {
                return Some(problem(
                    if *kind == "rateLimited" { 429 } else { 403 },
                    kind,
                    "as its script says",
                ));
            }
            Whim::Garbage => return Some((200, Vec::new(), b"none of it".to_vec())),
            _ => {}
        }
        let open = matches!(stage, Stage::Directory | Stage::Nonce | Stage::Renewal);
        if open == (method == "POST") {
            return Some(problem(405, "malformed", "not by this method"));
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
                Err(said) => {
                    let detail = String::from_utf8_lossy(&said.2).into_owned();
                    if !detail.contains("badNonce")
                        && !detail.contains("accountDoesNotExist")
                        && !detail.contains("unauthorized")
                    {
                        locked(&self.0.state).counts.wrong.push(detail);
                    }
                    said
                }
            }),
        }
    }

    fn renewal(&self, id: &str) -> Said {
        if id.split('.').filter(|p| B64.decode(p).is_ok_and(|b| !b.is_empty())).count() != 2 {
            return problem(404, "malformed", "no certificate has this name (RFC 9773, 4.1)");
        }
        let (from, to) = locked(&self.0.state).window.unwrap_or((unix_now() + 86_400, unix_now() + 90_000));
        let text = |unix: i64| {
            let at =
                time::OffsetDateTime::from_unix_timestamp(unix).unwrap_or(time::OffsetDateTime::UNIX_EPOCH);
            format!("{}T{:02}:{:02}:{:02}Z", at.date(), at.hour(), at.minute(), at.second())
        };
        let mut said = as_json(200, &json!({"suggestedWindow": {"start": text(from), "end": text(to)}}));
        said.1.push(("Retry-After", "60".into()));
        said
    }

    /// Checks what every signed request must be (RFC 8555, 6.2 to 6.5).
    fn signed(&self, message: &Message, target: &str) -> Result<Signed, Said> {
        let wrong = |detail: &str| problem(400, "malformed", detail);
        if message.header("content-type") != Some("application/jose+json") {
            return Err(problem(415, "malformed", "not application/jose+json"));
        }
        let mut signed = jose::read(&message.body).map_err(wrong)?;
        if signed.url != self.url(target) {
            return Err(problem(401, "unauthorized", "signed for another address"));
        }
        let mut state = locked(&self.0.state);
        if !state.nonces.remove(&signed.nonce) {
            return Err(problem(400, "badNonce", "unknown, or used"));
        }
        let key = match (&signed.key, &signed.account) {
            (Some(key), None) if target == "account" => key.clone(),
            (None, Some(url)) if target != "account" => {
                let number = url.strip_prefix(&self.url("account/")).and_then(|n| n.parse::<usize>().ok());
                let account = number.and_then(|n| state.accounts.get(n));
                let (key, stands) = account.ok_or_else(|| problem(400, "accountDoesNotExist", "none"))?;
                if !stands {
                    return Err(problem(401, "unauthorized", "the account was shut"));
                }
                signed.number = number.unwrap_or_default();
                key.clone()
            }
            _ => return Err(wrong("jwk for a new account, kid for all else")),
        };
        jose::verify(&signed, &key).map_err(wrong)?;
        signed.key = Some(key);
        Ok(signed)
    }

    fn act(&self, stage: Stage, number: &str, signed: &Signed, whim: &Whim) -> Said {
        let number = number.parse::<usize>().unwrap_or(usize::MAX);
        match stage {
            Stage::Account => self.account(signed),
            Stage::Order => self.order(signed),
            Stage::Authorisation => self.authorisation(number, signed),
            Stage::Challenge => self.challenge(number, signed),
            Stage::Finalise => self.finalise(number, signed, whim),
            Stage::Look => self.look(number, signed, 200),
            _ => match locked(&self.0.state).orders.get(number).filter(|o| o.account == signed.number) {
                Some(Order { chain: Some(chain), .. }) => (
                    200,
                    vec![("Content-Type", "application/pem-certificate-chain".into())],
                    chain.clone().into_bytes(),
                ),
                _ => problem(404, "malformed", "no chain"),
            },
        }
    }
}
