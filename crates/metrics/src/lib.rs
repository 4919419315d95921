//! Formats the readiness of a node and the state of its fleet and certificates as an OpenMetrics 1.0 page; no
//! I/O and no clock. The program passes in the facts for each page, and decides where the page is served and
//! who may read it.
//!
//! ```
//! use applemill_metrics::{Facts, page};
//!
//! let text = page(&Facts { ready: true, version: "0.2.0".into(), ..Facts::default() });
//! assert!(text.contains("applemill_ready 1.0\n"));
//! assert!(text.ends_with("# EOF\n"));
//! ```

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

/// The content type of the page.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State of the node at the time of the page.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// Whether the node can serve requests.
    pub ready: bool,
    /// Version of the program.
    pub version: String,
    /// State of the fleet; `None` if no other nodes are configured.
    pub fleet: Option<FleetFacts>,
    /// State of certificates and background tasks; `None` if there are no certificates.
    pub certificates: Option<CertificateFacts>,
}

/// State of the fleet as this node sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetFacts {
    /// Number of configured nodes.
    pub nodes: u32,
    /// Number of nodes that may be sending to cold servers; `None` while this node may not send.
    pub senders: Option<u32>,
    /// Digest of the node's configuration.
    pub config: String,
    /// State of each other node.
    pub peers: Vec<PeerFacts>,
    /// Whether another process runs with this node's number.
    pub has_duplicate: bool,
    /// Count of node numbers that were received but are not configured.
    pub unconfigured: usize,
    /// Count of nodes that must learn of this node's restart before it may send.
    pub awaited_peers: usize,
}

/// State of another node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerFacts {
    /// Number of the node.
    pub node: u32,
    /// Label of its state.
    pub state: &'static str,
    /// Seconds since its last message; `None` if none was received.
    pub heard_s: Option<f64>,
    /// Whether it has another version or configuration, or two processes run with its number.
    pub inconsistent: bool,
}

/// State of certificates, background tasks and TLS handshakes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CertificateFacts {
    /// For each certificate: name, label of its state, and end of validity in seconds since 1970.
    pub certificates: Vec<(String, &'static str, Option<f64>)>,
    /// For each background task: name, label of its state, number of successful runs and of failed runs.
    pub tasks: Vec<(String, &'static str, u64, u64)>,
    /// Number of TLS handshakes: full, resumed by a ticket, and failed.
    pub handshakes: [u64; 3],
}

type Labels = Vec<(&'static str, String)>;
type GaugeFamily = Family<Labels, Gauge<f64, AtomicU64>>;
type CounterFamily = Family<Labels, Counter>;

/// The metrics of one page; the library encodes them.
struct PageBuilder(Registry);

impl PageBuilder {
    fn gauge(&mut self, name: &str, help: &str, unit: Option<Unit>) -> GaugeFamily {
        let gauge = GaugeFamily::default();
        match unit {
            Some(unit) => self.0.register_with_unit(name, help, unit, gauge.clone()),
            None => self.0.register(name, help, gauge.clone()),
        }
        gauge
    }

    fn set_value(&mut self, name: &str, help: &str, value: f64) {
        self.gauge(name, help, None).get_or_create(&Vec::new()).set(value);
    }

    fn counter(&mut self, name: &str, help: &str) -> CounterFamily {
        let counter = CounterFamily::default();
        self.0.register(name, help, counter.clone());
        counter
    }

    fn add_fleet(&mut self, fleet: &FleetFacts) {
        self.set_value("fleet_nodes", "Nodes that are configured", f64::from(fleet.nodes));
        // Left out while this node may not send: a zero would be read as a number of senders.
        if let Some(senders) = fleet.senders {
            self.set_value(
                "fleet_senders",
                "Nodes that may be sending to cold servers",
                f64::from(senders),
            );
        }
        self.set_value(
            "fleet_doubled",
            "Another program runs under this node's number",
            f64::from(fleet.has_duplicate),
        );
        self.set_value(
            "fleet_beyond",
            "Numbers heard of that are not configured",
            fleet.unconfigured as f64,
        );
        self.set_value(
            "fleet_waits_for",
            "Nodes that must hear that this one is back",
            fleet.awaited_peers as f64,
        );
        let config = self.gauge("fleet_configuration", "The digest of this node's configuration", None);
        config.get_or_create(&vec![("digest", fleet.config.clone())]).set(1.0);
        let state =
            self.gauge("fleet_peer_state", "How another node stands: the one state that it is in", None);
        let inconsistent =
            self.gauge("fleet_peer_odd", "Another version, configuration, or two programs", None);
        let heard_age =
            self.gauge("fleet_peer_heard_age", "Since another node was heard", Some(Unit::Seconds));
        for peer in &fleet.peers {
            let node = || ("node", peer.node.to_string());
            state.get_or_create(&vec![node(), ("state", peer.state.to_owned())]).set(1.0);
            inconsistent.get_or_create(&vec![node()]).set(f64::from(peer.inconsistent));
            if let Some(age) = peer.heard_s {
                heard_age.get_or_create(&vec![node()]).set(age);
            }
        }
    }

    fn add_certificates(&mut self, facts: &CertificateFacts) {
        let state =
            self.gauge("certificate_state", "How a certificate stands: the one state it is in", None);
        let not_after_gauge =
            self.gauge("certificate_not_after", "When it ends, since 1970", Some(Unit::Seconds));
        for (name, label, not_after) in &facts.certificates {
            let name = || ("name", name.clone());
            state.get_or_create(&vec![name(), ("state", (*label).to_owned())]).set(1.0);
            if let Some(at) = not_after {
                not_after_gauge.get_or_create(&vec![name()]).set(*at);
            }
        }
        let state = self.gauge("task_state", "Work beside requests: the one state it is in", None);
        let runs = self.counter("task_runs", "Runs of work beside requests, by how they ended");
        for (name, label, succeeded, failed) in &facts.tasks {
            let name = || ("name", name.clone());
            state.get_or_create(&vec![name(), ("state", (*label).to_owned())]).set(1.0);
            runs.get_or_create(&vec![name(), ("end", "well".to_owned())]).inc_by(*succeeded);
            runs.get_or_create(&vec![name(), ("end", "failed".to_owned())]).inc_by(*failed);
        }
        let handshakes = self.counter("tls_handshakes", "Handshakes, by what became of them");
        for (result, count) in ["full", "resumed", "failed"].into_iter().zip(facts.handshakes) {
            handshakes.get_or_create(&vec![("end", result.to_owned())]).inc_by(count);
        }
    }
}

/// Formats the facts as a page. Nothing is counted or kept between two pages.
pub fn page(facts: &Facts) -> String {
    let mut page = PageBuilder(Registry::with_prefix("applemill"));
    page.set_value("ready", "It could serve", f64::from(facts.ready));
    let version = page.gauge("version", "The program's version", None);
    version.get_or_create(&vec![("version", facts.version.clone())]).set(1.0);
    if let Some(fleet) = &facts.fleet {
        page.add_fleet(fleet);
    }
    if let Some(certificates) = &facts.certificates {
        page.add_certificates(certificates);
    }
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = encode(&mut text, &page.0);
    text
}
