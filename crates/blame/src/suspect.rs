//! The properties of an attempt that its failure may be attributed to.

use std::fmt;
use std::rc::Rc;

/// The kinds of suspects. The server comes first, because a failure that the server alone explains must never
/// be attributed to anything else; the others follow from the narrowest, which is preferred among equals, to
/// the broadest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKind {
    /// A server, with all its work.
    Server,
    /// A route at one server.
    Cell,
    /// A key, such as a lot.
    Key,
    /// A tenant.
    Tenant,
    /// A route.
    Route,
    /// A class of requests.
    Class,
}

impl SuspectKind {
    /// The kind's name in pages and on the command line.
    pub fn word(self) -> &'static str {
        match self {
            SuspectKind::Server => "server",
            SuspectKind::Cell => "route-at-server",
            SuspectKind::Key => "key",
            SuspectKind::Tenant => "tenant",
            SuspectKind::Route => "route",
            SuspectKind::Class => "class",
        }
    }

    /// Parses the kinds that an operator may hold. Servers are handled by the balancer, and a class is known
    /// here by number only.
    pub fn parse_holdable(word: &str) -> Option<SuspectKind> {
        [SuspectKind::Key, SuspectKind::Tenant, SuspectKind::Route].into_iter().find(|k| k.word() == word)
    }
}

impl fmt::Display for SuspectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// Something that failures may be attributed to, identified by a stable hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspect {
    /// The kind.
    pub kind: SuspectKind,
    /// The hash of the name, or the number of a server or class.
    pub id: u64,
}

impl Suspect {
    /// This suspect at one server only.
    pub(crate) fn at_server(self, server: u64) -> Suspect {
        match self.kind {
            SuspectKind::Cell => self,
            // For a route, this is the cell that is counted for every attempt.
            kind => {
                Suspect { kind: SuspectKind::Cell, id: mix(self.id ^ server.rotate_left(17 + kind as u32)) }
            }
        }
    }
}

/// A readable name for verdicts; suspects without one are shown by number.
pub type DisplayName = Option<Rc<str>>;

/// The properties of a request by which failures are compared. Hashes must be spread over all 64 bits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTraits {
    /// Hash of the route.
    pub route: Option<u64>,
    /// The class, by the balancer's index.
    pub class: u64,
    /// Hash of the tenant.
    pub tenant: Option<u64>,
    /// Hash of the key.
    pub key: Option<u64>,
    /// The route's name.
    pub route_text: DisplayName,
    /// The class's name.
    pub class_text: DisplayName,
    /// The tenant's name.
    pub tenant_text: DisplayName,
    /// The key as it was sent.
    pub key_text: DisplayName,
}

/// The suspects of one attempt, the server first.
pub(crate) type Suspects = [Option<Suspect>; 6];

impl RequestTraits {
    /// The suspects that may be held.
    pub(crate) fn holdable_suspects(&self) -> [Option<Suspect>; 4] {
        let suspect = |kind, id: Option<u64>| id.map(|id| Suspect { kind, id });
        [
            suspect(SuspectKind::Key, self.key),
            suspect(SuspectKind::Tenant, self.tenant),
            suspect(SuspectKind::Route, self.route),
            suspect(SuspectKind::Class, Some(self.class)),
        ]
    }

    /// All suspects of an attempt at a server.
    pub(crate) fn suspects_at(&self, server: u64) -> Suspects {
        let [key, tenant, route, class] = self.holdable_suspects();
        let cell = route.map(|r| r.at_server(server));
        [Some(Suspect { kind: SuspectKind::Server, id: server }), cell, key, tenant, route, class]
    }

    pub(crate) fn display_name(&self, suspect: Suspect) -> DisplayName {
        match suspect.kind {
            SuspectKind::Route | SuspectKind::Cell => self.route_text.clone(),
            SuspectKind::Tenant => self.tenant_text.clone(),
            SuspectKind::Key => self.key_text.clone(),
            SuspectKind::Class => self.class_text.clone(),
            SuspectKind::Server => None,
        }
    }
}

/// Spreads the bits of a number evenly (the SplitMix64 finalizer).
fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// How an attempt ended of which something was sent. Attempts of which nothing was sent are not evidence
/// here: an unreachable server is not the fault of any request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// Complete answer.
    Success,
    /// The connection broke, or the answer was truncated.
    Disconnected,
    /// Answer with a server error.
    Error,
    /// No complete answer in time.
    TimedOut,
}
