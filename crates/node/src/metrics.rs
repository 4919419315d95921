//! The metrics page `/metrics` of the admin socket, and the command `applemill metrics` that prints it.

use crate::fleet::is_inconsistent;
use crate::print::print;
use applemill_admin::{AdminRequest, CallError, Reply, fetch};
use applemill_background::State;
use applemill_certificate_manager::CertificateManager;
use applemill_fleet::{FleetNode, FleetView, state_label};
use applemill_metrics::{CONTENT_TYPE, CertificateFacts, Facts, FleetFacts, PeerFacts, page};
use applemill_tls::{Handshakes, Tls};
use std::path::Path;

/// Path of the page on the admin socket.
const PAGE_PATH: &str = "/metrics";

/// Answers requests for the metrics page; `None` for any other request.
pub fn answer(
    request: &AdminRequest,
    ready: bool,
    fleet: Option<&FleetNode>,
    certificates: Option<(&CertificateManager, &Tls)>,
) -> Option<Reply> {
    (request.path == PAGE_PATH && request.command.is_none()).then(|| {
        let facts = Facts {
            ready,
            version: env!("CARGO_PKG_VERSION").to_owned(),
            fleet: fleet.map(|f| fleet_facts(&f.view())),
            certificates: certificates
                .map(|(certificate_manager, tls)| certificate_facts(certificate_manager, tls)),
        };
        Reply::Text(CONTENT_TYPE, page(&facts))
    })
}

fn fleet_facts(view: &FleetView) -> FleetFacts {
    let peers = view.peer_statuses.iter().map(|peer| PeerFacts {
        node: peer.node,
        state: state_label(peer.state),
        heard_s: peer.heard_ms.map(|at| ((view.now_ms - at) / 1000.0).max(0.0)),
        inconsistent: is_inconsistent(peer, &view.info),
    });
    FleetFacts {
        nodes: view.nodes,
        senders: view.senders.nodes,
        config: format!("{:08x}", view.info.config),
        peers: peers.collect(),
        has_duplicate: view.has_duplicate,
        unconfigured: view.unconfigured.len(),
        awaited_peers: view.awaited_peers.len(),
    }
}

fn certificate_facts(certificate_manager: &CertificateManager, tls: &Tls) -> CertificateFacts {
    let Handshakes { full, resumed, failed } = tls.handshakes();
    CertificateFacts {
        certificates: certificate_manager
            .statuses()
            .into_iter()
            .map(|c| (c.name, c.standing.label(), c.not_after))
            .collect(),
        tasks: certificate_manager
            .tasks()
            .into_iter()
            .map(|t| (t.name, task_state_label(t.state), t.runs, t.failures))
            .collect(),
        handshakes: [full, resumed, failed],
    }
}

/// Label of a background task's state, in `/up` and `/metrics`.
pub fn task_state_label(state: State) -> &'static str {
    match state {
        State::Waiting => "waits",
        State::Due => "due",
        State::Late => "late",
        State::Running => "runs",
    }
}

/// Prints the metrics of the node behind an admin socket. Always returns true.
///
/// # Errors
/// No node answers.
pub fn run(socket: &Path) -> Result<bool, CallError> {
    print(&fetch(socket, PAGE_PATH)?);
    Ok(true)
}
