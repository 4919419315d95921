//! TLS in small: an issuer of certificates, files of them, and a client that checks chain, name and time as any would.

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

/// Seconds since 1970.
pub fn unix_now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64)
}

/// Whoever gives out certificates: the root itself.
pub struct Issuer(CertifiedIssuer<'static, KeyPair>);

impl Issuer {
    /// A new one, with a key of its own.
    pub fn new(name: &str) -> Issuer {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        params.distinguished_name.push(DnType::CommonName, name);
        Issuer(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    /// Its own certificate in PEM.
    pub fn root(&self) -> String {
        self.0.pem()
    }

    /// A chain for a key and these names, good from and to so many seconds from now.
    pub fn chain(&self, names: &[String], key: &impl rcgen::PublicKeyData, from: i64, to: i64) -> String {
        let mut params = CertificateParams::new(names.to_vec()).unwrap();
        let at = |s: i64| OffsetDateTime::from_unix_timestamp(unix_now() + s).unwrap();
        (params.not_before, params.not_after) = (at(from), at(to));
        params.serial_number = Some(SerialNumber::from(fastrand::u64(1..)));
        params.use_authority_key_identifier_extension = true;
        format!("{}{}", params.signed_by(key, &self.0).unwrap().pem(), self.root())
    }

    /// A chain and its key, both in PEM.
    pub fn pair(&self, names: &[&str], from: i64, to: i64) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
        (self.chain(&names, &key, from, to), key.serialize_pem())
    }
}

/// A folder that goes with its owner.
pub struct Folder(pub PathBuf);

impl Folder {
    /// A new, empty one.
    pub fn new(name: &str) -> Folder {
        let name = format!("applemill-{name}-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// Writes a file, by rename: its place.
    pub fn put(&self, name: &str, text: &str) -> String {
        let (path, beside) = (self.0.join(name), self.0.join(format!(".{name}")));
        std::fs::write(&beside, text).unwrap();
        std::fs::rename(&beside, &path).unwrap();
        path.display().to_string()
    }

    /// Its place.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How a client speaks TLS.
#[derive(Clone)]
pub struct Secure(pub(crate) Arc<ClientConfig>);

impl Secure {
    /// One that trusts a root, and asks to come again by ticket.
    pub fn trusting(root: &str) -> Secure {
        Secure::speaking(root, b"http/1.1", &[&rustls::version::TLS13, &rustls::version::TLS12])
    }

    /// The same, of these versions, that wants to speak this.
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

    /// The same, with a certificate of its own: its chain and key, in PEM.
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

    /// Connects and shakes hands.
    ///
    /// # Errors
    /// There is no connection, or it is not to be trusted.
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

/// A connection by TLS.
pub struct SecureClient {
    /// It.
    pub stream: BufReader<StreamOwned<ClientConnection, TcpStream>>,
}

impl SecureClient {
    /// Sends a request and reads its answer.
    pub fn ask(&mut self, bytes: &[u8]) -> Option<Message> {
        self.stream.get_mut().write_all(bytes).ok()?;
        Message::read(&mut self.stream)
    }

    /// It came again by ticket.
    pub fn resumed(&self) -> bool {
        self.stream.get_ref().conn.handshake_kind() == Some(rustls::HandshakeKind::Resumed)
    }

    /// The first certificate that was shown.
    pub fn shown(&self) -> Vec<u8> {
        let certificates = self.stream.get_ref().conn.peer_certificates();
        certificates.and_then(|c| c.first()).map_or_else(Vec::new, |c| c.to_vec())
    }
}
