//! Nodes that share a state folder and get their certificate from one ACME authority.

use crate::authority::{Authority, Manner};
use crate::client::{ask, attempt};
use crate::floor::{Record, backend, ok};
use crate::node::{Node, program};
use crate::secure::{Folder, Secure};
use crate::{PATIENCE, free_address, wait_for};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A request that the nodes serve.
pub const CERTIFIED_BID: &[u8] = b"POST /bid HTTP/1.1\r\nHost: a.lv\r\nContent-Length: 3\r\n\r\n100";

/// Nodes in front of one server, with one authority and one folder, for the names `a.lv` and `b.lv`.
pub struct Certified {
    /// The authority `main`.
    pub authority: Authority,
    /// Holds the nodes' folder `state` and the other files they read.
    pub folder: Folder,
    /// The nodes, each with the address of its listener without TLS.
    pub nodes: Vec<(Node, SocketAddr)>,
    /// Authorities in order of preference, as in the nodes' files.
    pub preferred: String,
    server: SocketAddr,
    /// Number of nodes started so far.
    started: usize,
    /// Lines appended to `[tls]`, and further sections.
    more: String,
}

impl Certified {
    /// Starts an authority whose certificates have a lifetime of `life` seconds, and no nodes yet.
    ///
    /// # Errors
    /// The authority cannot be started.
    pub fn new(life: i64, more: &str) -> std::io::Result<Certified> {
        let authority = Authority::start(Manner { life, nodes: Vec::new(), bound: None })?;
        let server = backend(&Record::default(), |_, _| ok(b"sold"));
        let folder = Folder::new("certified");
        folder.put("root.pem", &authority.root());
        Ok(Certified {
            authority,
            folder,
            nodes: Vec::new(),
            preferred: "\"main\"".into(),
            server,
            started: 0,
            more: more.to_owned(),
        })
    }

    /// Starts another node. The authority may validate challenges at any node.
    pub fn start(&mut self) {
        let mut command = Command::new(program());
        command.stderr(Stdio::piped());
        self.start_by(command).unwrap();
    }

    /// Starts another node by any program that takes the node's arguments.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start_by(&mut self, command: Command) -> std::io::Result<()> {
        let (number, plain) = (self.started, free_address());
        self.started += 1;
        let (state, root) = (self.folder.path().join("state"), self.folder.path().join("root.pem"));
        // Uses an external account if the folder has its key.
        let key = self.folder.path().join("mac");
        let account = if key.exists() {
            format!("account = \"lv-1\"\naccount_key = \"{}\"\n", key.display())
        } else {
            String::new()
        };
        let text = format!(
            "[[listener]]\naddress = \"LISTEN\"\ntls = true\n[[listener]]\naddress = \"{plain}\"\n\
             [node]\nname = \"n{number}\"\n\
             [tls]\nstate = \"{}\"\norders_a_week = 1000\n{}\n\
             [certificate.a]\nnames = [\"a.lv\", \"b.lv\"]\nauthorities = [{}]\ndefault = true\n\
             [pool.floor]\nservers = [{{ address = \"{}\" }}]\n\
             [class.bid]\neffect = \"unsafe\"\npatience = \"4s\"\n\
             [[route]]\nname = \"bid\"\nclass = \"bid\"\npool = \"floor\"\n\
             [authority.main]\ndirectory = \"{}\"\nroot = \"{}\"\ntimeout = \"2s\"\n{account}",
            state.display(),
            self.more,
            self.preferred,
            self.server,
            self.authority.directory(),
            root.display()
        );
        let node = Node::run_file(command, &text)?;
        self.authority.change(|m| m.nodes.push((plain, node.address)));
        wait_for("the node answers", || attempt(plain, CERTIFIED_BID).is_some());
        self.nodes.push((node, plain));
        Ok(())
    }

    /// Removes a running node: the authority no longer validates challenges at it.
    pub fn part_with(&mut self, node: usize) -> Node {
        let (node, plain) = self.nodes.remove(node);
        self.authority.change(|m| m.nodes.retain(|(address, _)| *address != plain));
        node
    }

    /// Requests renewal of the certificate `a` by `certs renew`.
    pub fn wish(&self) {
        self.wish_by(Command::new(program()), "a");
    }

    /// Requests renewal of any certificate, by any program that takes the node's arguments.
    pub fn wish_by(&self, mut program: Command, certificate: &str) {
        program.args(["certs", "renew"]).arg(self.nodes[0].0.file()).arg(certificate);
        let output = program.stdout(Stdio::null()).output().unwrap();
        assert!(output.status.success(), "{output:?}");
    }

    /// The certificate that a node presents now; none if the handshake fails.
    pub fn shown(&self, node: usize) -> Option<Vec<u8>> {
        let client = Secure::trusting(&self.authority.root());
        Some(client.connect(self.nodes.get(node)?.0.address, "a.lv").ok()?.shown())
    }

    /// Waits until all nodes present the same certificate other than `before`. Returns it, and the time from
    /// the first node with a new certificate to the last, in seconds.
    ///
    /// # Errors
    /// The nodes do not agree on a new certificate within 6 times [`PATIENCE`].
    pub fn renewed(&self, before: Option<&Vec<u8>>) -> Result<(Vec<u8>, f64), String> {
        let (end, mut first_seen) = (Instant::now() + 6 * PATIENCE, None);
        while Instant::now() < end {
            let presented: Vec<_> = (0..self.nodes.len()).map(|n| self.shown(n)).collect();
            let new: Vec<_> = presented.iter().flatten().filter(|s| Some(*s) != before).collect();
            if let Some(certificate) = new.first() {
                let since = *first_seen.get_or_insert_with(Instant::now);
                if new.len() == presented.len() && new.iter().all(|s| s == certificate) {
                    return Ok(((*certificate).clone(), since.elapsed().as_secs_f64()));
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!(
            "not all nodes present a new certificate; {:?}; {}",
            self.authority.counts(),
            self.up(0)
        ))
    }

    /// Like [`Self::renewed`], but returns only the certificate and panics on an error.
    pub fn all_show_another(&self, before: Option<&Vec<u8>>) -> Vec<u8> {
        self.renewed(before).unwrap().0
    }

    /// The body of a node's `/up`.
    pub fn up(&self, node: usize) -> String {
        let up = ask(self.nodes[node].1, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        String::from_utf8_lossy(&up.body).into_owned()
    }
}
