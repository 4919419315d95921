//! Validation of challenges at a node, as an authority does it.

use crate::client::attempt;
use ring::digest::{SHA256, digest};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::{ClientConfig, ClientConnection, DigitallySignedStruct, Error, SignatureScheme};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Validates an http-01 challenge (RFC 8555, 8.3).
pub fn by_http(node: SocketAddr, name: &str, token: &str, answer: &str) -> Result<(), String> {
    let request = format!(
        "GET /.well-known/acme-challenge/{token} HTTP/1.1\r\nHost: {name}\r\nConnection: close\r\n\r\n"
    );
    let message = attempt(node, request.as_bytes()).ok_or_else(|| format!("{node} does not answer"))?;
    let body = String::from_utf8_lossy(&message.body).into_owned();
    match (message.status(), body.trim_end() == answer) {
        (200, true) => Ok(()),
        (status, _) => Err(format!("{node} answers {status}, or with another key authorisation")),
    }
}

/// Accepts every certificate: the challenge certificate is self-signed and is inspected after the handshake
/// (RFC 8737, 3).
#[derive(Debug)]
struct AcceptAny;

impl ServerCertVerifier for AcceptAny {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn verify_tls13_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        vec![SignatureScheme::ECDSA_NISTP256_SHA256, SignatureScheme::RSA_PSS_SHA256]
    }
}

/// Validates a tls-alpn-01 challenge (RFC 8737, 3).
pub fn by_tls(node: SocketAddr, name: &str, answer: &str) -> Result<(), String> {
    let describe = |e: &dyn std::fmt::Display| format!("{node}: {e}");
    let mut config =
        ClientConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|e| describe(&e))?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(AcceptAny))
            .with_no_client_auth();
    config.alpn_protocols = vec![b"acme-tls/1".to_vec()];
    let server = ServerName::try_from(name.to_owned()).map_err(|e| describe(&e))?;
    let mut session = ClientConnection::new(Arc::new(config), server).map_err(|e| describe(&e))?;
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(5)).map_err(|e| describe(&e))?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|e| describe(&e))?;
    while session.is_handshaking() {
        session.complete_io(&mut stream).map_err(|e| describe(&e))?;
    }
    if session.alpn_protocol() != Some(b"acme-tls/1") {
        return Err(describe(&"acme-tls/1 was not negotiated"));
    }
    // id-pe-acmeIdentifier, critical; its value is an octet string that contains the digest as an octet
    // string (RFC 8737, 3).
    let oid = [6, 8, 0x2b, 6, 1, 5, 5, 7, 1, 31, 1, 1, 0xff, 4, 34, 4, 32];
    let extension = [&oid[..], digest(&SHA256, answer.as_bytes()).as_ref()].concat();
    let certificate =
        session.peer_certificates().and_then(|c| c.first()).map(|c| c.to_vec()).unwrap_or_default();
    let contains = |part: &[u8]| certificate.windows(part.len()).any(|w| w == part);
    if contains(&extension) && contains(name.as_bytes()) {
        Ok(())
    } else {
        Err(describe(&"certificate lacks the acmeIdentifier extension or the name"))
    }
}
