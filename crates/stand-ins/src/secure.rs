//! TLS for tests: an issuer of certificates, folders for files, and a client that verifies chain, name and
//! validity.

use crate::PATIENCE;
use crate::http::Message;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
    SerialNumber,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use time::OffsetDateTime;

/// Current Unix time in seconds.
pub fn unix_now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64)
}

/// A root that issues certificates directly.
pub struct Issuer(CertifiedIssuer<'static, KeyPair>);

impl Issuer {
    /// Creates a root with a new key.
    pub fn new(name: &str) -> Issuer {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        params.distinguished_name.push(DnType::CommonName, name);
        Issuer(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    /// The root certificate in PEM.
    pub fn root(&self) -> String {
        self.0.pem()
    }

    /// Issues a chain for a key and names, in PEM. `from` and `to` bound its validity, in seconds from now.
    pub fn chain(&self, names: &[String], key: &impl rcgen::PublicKeyData, from: i64, to: i64) -> String {
        let mut params = CertificateParams::new(names.to_vec()).unwrap();
        let seconds_from_now = |s: i64| OffsetDateTime::from_unix_timestamp(unix_now() + s).unwrap();
        (params.not_before, params.not_after) = (seconds_from_now(from), seconds_from_now(to));
        params.serial_number = Some(SerialNumber::from(fastrand::u64(1..)));
        params.use_authority_key_identifier_extension = true;
        format!("{}{}", params.signed_by(key, &self.0).unwrap().pem(), self.root())
    }

    /// Issues a chain for a new key; both in PEM. `from` and `to` as for [`Self::chain`].
    pub fn pair(&self, names: &[&str], from: i64, to: i64) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
        (self.chain(&names, &key, from, to), key.serialize_pem())
    }
}

/// A temporary folder, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates an empty folder.
    pub fn new(name: &str) -> Folder {
        let name = format!("applemill-{name}-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// Writes a file atomically, by a rename. Returns its path.
    pub fn put(&self, name: &str, text: &str) -> String {
        let (path, temporary) = (self.0.join(name), self.0.join(format!(".{name}")));
        std::fs::write(&temporary, text).unwrap();
        std::fs::rename(&temporary, &path).unwrap();
        path.display().to_string()
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// TLS configuration of a client.
#[derive(Clone)]
pub struct Secure(pub(crate) Arc<ClientConfig>);

impl Secure {
    /// A configuration that trusts a root, for HTTP/1.1 over TLS 1.2 and 1.3. Sessions are resumed by ticket.
    pub fn trusting(root: &str) -> Secure {
        Secure::speaking(root, b"http/1.1", &[&rustls::version::TLS13, &rustls::version::TLS12])
    }

    /// A configuration that trusts a root, with an ALPN protocol and TLS versions.
    pub fn speaking(
        root: &str,
        protocol: &[u8],
        versions: &[&'static rustls::SupportedProtocolVersion],
    ) -> Secure {
        let mut roots = RootCertStore::empty();
        roots.add_parsable_certificates(CertificateDer::pem_slice_iter(root.as_bytes()).flatten());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(versions)
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        config.alpn_protocols = vec![protocol.to_vec()];
        Secure(Arc::new(config))
    }

    /// A configuration that trusts a root and presents a client certificate, given as chain and key in PEM.
    pub fn showing(root: &str, (chain, key): &(String, String)) -> Secure {
        let mut roots = RootCertStore::empty();
        roots.add_parsable_certificates(CertificateDer::pem_slice_iter(root.as_bytes()).flatten());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let chain = CertificateDer::pem_slice_iter(chain.as_bytes()).flatten().collect();
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap())
            .unwrap();
        Secure(Arc::new(config))
    }

    /// Connects and completes the handshake.
    ///
    /// # Errors
    /// The connection or the handshake fails, or the server's certificate is not valid for `name`.
    pub fn connect(&self, address: SocketAddr, name: &str) -> std::io::Result<SecureClient> {
        let stream = TcpStream::connect_timeout(&address, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        let name = ServerName::try_from(name.to_owned()).map_err(std::io::Error::other)?;
        let session = ClientConnection::new(self.0.clone(), name).map_err(std::io::Error::other)?;
        let mut stream = StreamOwned::new(session, stream);
        while stream.conn.is_handshaking() {
            stream.conn.complete_io(&mut stream.sock)?;
        }
        Ok(SecureClient { stream: BufReader::new(stream) })
    }
}

/// A TLS connection to a node.
pub struct SecureClient {
    /// The TLS stream.
    pub stream: BufReader<StreamOwned<ClientConnection, TcpStream>>,
}

impl SecureClient {
    /// Sends a request and reads the answer; none if either fails.
    pub fn ask(&mut self, bytes: &[u8]) -> Option<Message> {
        self.stream.get_mut().write_all(bytes).ok()?;
        Message::read(&mut self.stream)
    }

    /// Whether the session was resumed.
    pub fn resumed(&self) -> bool {
        self.stream.get_ref().conn.handshake_kind() == Some(rustls::HandshakeKind::Resumed)
    }

    /// The server's leaf certificate in DER; empty without one.
    pub fn shown(&self) -> Vec<u8> {
        let certificates = self.stream.get_ref().conn.peer_certificates();
        certificates.and_then(|c| c.first()).map_or_else(Vec::new, |c| c.to_vec())
    }
}
