//! HTTPS client for ACME authorities. Each request has a connection of its own, with limits on time and
//! answer size. Requests are few and days apart, so connections are not kept.

use base64::Engine;
use bytes::Bytes;
use http::header::{HOST, HeaderValue, RETRY_AFTER};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use instant_acme::{BodyWrapper, BytesResponse, Error, HttpClient};
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// Largest answer that is accepted. A certificate chain is a few kilobytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Status and `Retry-After` of the last answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerInfo {
    /// HTTP status; 0 if no answer came.
    pub(crate) status: u16,
    /// Time from `Retry-After`, in seconds since 1970.
    pub(crate) retry_at_s: Option<f64>,
}

pub(crate) type SharedAnswerInfo = Arc<Mutex<AnswerInfo>>;

pub(crate) struct Client {
    connector: TlsConnector,
    timeout: Duration,
    answer_info: SharedAnswerInfo,
}

impl Client {
    /// Trusts the roots in the file `root`, or those of this machine.
    pub(crate) fn new(
        root: Option<&str>,
        timeout: Duration,
        answer_info: SharedAnswerInfo,
    ) -> Result<Client, String> {
        let mut roots = RootCertStore::empty();
        match root {
            Some(path) => {
                let pem = crate::files::read_file(path)?;
                let certificates =
                    rustls::pki_types::CertificateDer::pem_slice_iter(&pem).filter_map(Result::ok);
                if roots.add_parsable_certificates(certificates).0 == 0 {
                    return Err(format!("{path}: no certificate in PEM"));
                }
            }
            None => {
                let certificates = rustls_native_certs::load_native_certs();
                if roots.add_parsable_certificates(certificates.certs).0 == 0 {
                    return Err(
                        "this machine has no root certificates to verify an authority with; set root"
                            .into(),
                    );
                }
            }
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Client { connector: TlsConnector::from(Arc::new(config)), timeout, answer_info })
    }
}

/// Parses `Retry-After` (RFC 9110, 10.2.3) to seconds since 1970.
fn retry_at_s(value: Option<&HeaderValue>, now: SystemTime) -> Option<f64> {
    let text = value?.to_str().ok()?.trim();
    let at = match text.parse::<u64>() {
        Ok(seconds) => now.checked_add(Duration::from_secs(seconds))?,
        Err(_) => httpdate::parse_http_date(text).ok()?,
    };
    Some(at.duration_since(UNIX_EPOCH).ok()?.as_secs_f64())
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

async fn send(
    connector: TlsConnector,
    mut request: Request<BodyWrapper<Bytes>>,
) -> Result<Response<Full<Bytes>>, BoxError> {
    let uri = request.uri().clone();
    if uri.scheme_str() != Some("https") {
        return Err(format!("{uri}: not an https URL").into());
    }
    let host = uri.host().ok_or("URL has no host")?;
    let host_name = host.trim_start_matches('[').trim_end_matches(']').to_owned();
    let port = uri.port_u16().unwrap_or(443);
    let stream = TcpStream::connect((host_name.as_str(), port)).await?;
    let stream = connector.connect(ServerName::try_from(host_name)?, stream).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection_task = tokio::spawn(connection);
    let authority = uri.authority().ok_or("URL has no host")?.as_str();
    request.headers_mut().insert(HOST, HeaderValue::from_str(authority)?);
    *request.uri_mut() = uri.path_and_query().map_or("/", |p| p.as_str()).parse()?;
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?.to_bytes();
    connection_task.abort();
    Ok(Response::from_parts(head, Full::new(body)))
}

impl HttpClient for Client {
    fn request(
        &self,
        request: Request<BodyWrapper<Bytes>>,
    ) -> Pin<Box<dyn Future<Output = Result<BytesResponse, Error>> + Send>> {
        let (connector, timeout, answer_info) =
            (self.connector.clone(), self.timeout, self.answer_info.clone());
        let url = request.uri().to_string();
        Box::pin(async move {
            *answer_info.lock().unwrap_or_else(PoisonError::into_inner) = AnswerInfo::default();
            let answered = tokio::time::timeout(timeout, send(connector, request)).await;
            let response = match answered {
                Ok(Ok(response)) => response,
                Ok(Err(e)) => return Err(Error::Other(format!("{url}: {e}").into())),
                Err(_) => return Err(Error::Other(format!("{url}: no answer in {timeout:?}").into())),
            };
            *answer_info.lock().unwrap_or_else(PoisonError::into_inner) = AnswerInfo {
                status: response.status().as_u16(),
                retry_at_s: retry_at_s(response.headers().get(RETRY_AFTER), SystemTime::now()),
            };
            Ok(BytesResponse::from(response))
        })
    }
}

/// Reads the key for external account binding, in base64url, from its file.
pub(crate) fn account_key(path: &str) -> Result<Vec<u8>, String> {
    let text =
        String::from_utf8_lossy(&crate::files::read_file(path)?).trim().trim_end_matches('=').to_owned();
    let key = base64::prelude::BASE64_URL_SAFE_NO_PAD.decode(text);
    key.map_err(|_| format!("{path}: not a key in base64url"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retry_after_is_parsed_as_seconds_or_a_date() {
        let now = UNIX_EPOCH + Duration::from_secs(1_000_000);
        let at = |text: &str| retry_at_s(Some(&HeaderValue::from_str(text).unwrap()), now);
        assert_eq!(at("120"), Some(1_000_120.0));
        assert_eq!(at(" 0 "), Some(1_000_000.0));
        assert_eq!(at("Fri, 31 Dec 1999 23:59:59 GMT"), Some(946_684_799.0));
        assert_eq!(
            (at("-1"), at("soon"), at("99999999999999999999"), retry_at_s(None, now)),
            (None, None, None, None)
        );
        assert_eq!(at("18446744073709551615"), None);
    }
}
