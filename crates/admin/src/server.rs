//! The server of the admin socket.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tracing::warn;

const MAX_COMMAND_BYTES: usize = 64 * 1024;
/// Limit of concurrent connections: operators are few, and each connection takes a descriptor from clients.
const MAX_CONNECTIONS: usize = 8;
/// Time after which a connection is closed.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(10);

/// A request of an operator.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// Path of the request.
    pub path: String,
    /// Body of a command; `None` if a page is read.
    pub command: Option<Value>,
}

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A page or a result in JSON.
    Json(Value),
    /// A page in another format: its content type and its text.
    Text(&'static str, String),
    /// There is no page or command at this path.
    NotFound,
    /// The command cannot be carried out, with the reason.
    BadRequest(String),
}

/// Answers requests of operators.
pub type AdminHandler = Rc<dyn Fn(&AdminRequest) -> Reply>;

/// A Unix socket that listens under a temporary name beside its path, open to this process's user only. It
/// finds out early whether the socket can be made, and leaves what stands at the path as it is until
/// [`PreparedSocket::publish`]. Dropping it removes the temporary file.
pub struct PreparedSocket {
    path: PathBuf,
    temporary: TemporaryFile,
    /// Device and inode of the file.
    inode: (u64, u64),
    listener: UnixListener,
}

/// A file that is removed on drop, if it still exists then.
struct TemporaryFile(PathBuf);

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

impl PreparedSocket {
    /// Creates the socket under its temporary name, with restricted permissions.
    ///
    /// # Errors
    /// The socket cannot be created, or a directory stands at the path.
    pub fn bind(path: &Path) -> std::io::Result<PreparedSocket> {
        if path.is_dir() {
            return Err(ErrorKind::IsADirectory.into());
        }
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(format!(".{}", std::process::id()));
        let temporary = TemporaryFile(PathBuf::from(temporary));
        let _ = std::fs::remove_file(&temporary.0);
        let listener = UnixListener::bind(&temporary.0)?;
        std::fs::set_permissions(&temporary.0, std::fs::Permissions::from_mode(0o600))?;
        let metadata = std::fs::metadata(&temporary.0)?;
        let inode = (metadata.dev(), metadata.ino());
        Ok(PreparedSocket { path: path.to_owned(), temporary, inode, listener })
    }

    /// Moves the socket to its path. A file left there by another node is replaced.
    ///
    /// # Errors
    /// The socket cannot be moved.
    pub fn publish(self) -> std::io::Result<(UnixSocketFile, UnixListener)> {
        std::fs::rename(&self.temporary.0, &self.path)?;
        Ok((UnixSocketFile { path: self.path, inode: self.inode }, self.listener))
    }

    /// Where the socket appears once it is published.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// The file of a published socket. It is removed on drop, unless another file has replaced it.
pub struct UnixSocketFile {
    path: PathBuf,
    /// Device and inode of the file.
    inode: (u64, u64),
}

impl UnixSocketFile {
    /// Keeps the file on drop, because another process is about to replace it.
    pub fn keep_file(mut self) {
        self.inode = (0, 0);
    }
}

impl Drop for UnixSocketFile {
    fn drop(&mut self) {
        let is_same = |about: std::fs::Metadata| (about.dev(), about.ino()) == self.inode;
        if std::fs::metadata(&self.path).is_ok_and(is_same) {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Serves operators at a published socket, until the future is dropped.
pub async fn serve(socket_file: UnixSocketFile, listener: UnixListener, handler: AdminHandler) {
    accept(listener, handler).await;
    drop(socket_file);
}

async fn accept(listener: UnixListener, handler: AdminHandler) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        // Waits while the limit of connections is reached.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                spawn_local(async move {
                    let _ =
                        tokio::time::timeout(MAX_CONNECTION_TIME, handle_connection(stream, handler)).await;
                    drop(permit);
                });
            }
            Err(e) => {
                warn!("admin: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn handle_connection(stream: UnixStream, handler: AdminHandler) {
    let service = service_fn(|request| answer(request, &handler));
    // Errors are caused by the client: it disconnected, or it violated the protocol and has been answered.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(
    request: Request<Incoming>,
    handler: &AdminHandler,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let command = if head.method == hyper::Method::POST {
        let read = Limited::new(body, MAX_COMMAND_BYTES).collect().await.ok();
        match read.and_then(|body| serde_json::from_slice(&body.to_bytes()).ok()) {
            Some(command) => Some(command),
            None => {
                return Ok(json_page(StatusCode::BAD_REQUEST, &json!({"wrong": "the order is no JSON"})));
            }
        }
    } else {
        None
    };
    Ok(match handler(&AdminRequest { path, command }) {
        Reply::Json(value) => json_page(StatusCode::OK, &value),
        Reply::Text(content_type, text) => {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
            response
        }
        Reply::NotFound => json_page(StatusCode::NOT_FOUND, &json!({"wrong": "there is no such page"})),
        Reply::BadRequest(reason) => json_page(StatusCode::CONFLICT, &json!({"wrong": reason})),
    })
}

fn json_page(status: StatusCode, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{value}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
