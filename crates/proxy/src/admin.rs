//! The admin endpoint: a separate listener for operators' calls, which handles one call per connection.

mod call;
mod reply;

pub use call::Call;
pub use reply::AdminReply;

use crate::bind::{bind, BindError};
use aniseyoke_sockets::{classify_accept_error, AcceptError, UninterruptedStream};
use call::{parse, MAX_CALL_BYTES};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Most callers that are served at once. One more replaces the oldest, since callers that never finish their
/// call would otherwise block the endpoint for good.
const MAX_CALLERS: usize = 8;
/// Most descriptors that the endpoint uses: its listener, its callers, and one connection that was just
/// accepted.
pub const DESCRIPTORS: usize = MAX_CALLERS + 2;
/// Most memory that the endpoint uses.
pub const MEMORY_BYTES: usize = (MAX_CALLERS + 1) * 4 * MAX_CALL_BYTES;
/// Timeout for reading a call, executing it and sending its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the input of a caller is read and discarded after the answer. Closing a connection with unread
/// input resets it, and might discard the answer.
const LINGER: Duration = Duration::from_millis(100);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of the read buffer, in bytes.
const READ_CHUNK_BYTES: usize = 1024;

/// Listens at `addr` and executes each call with `handler`.
///
/// # Errors
/// If the listener can't be opened.
pub async fn open<F, A>(addr: SocketAddr, handler: F) -> Result<(), BindError>
where
    F: Fn(Call) -> A + 'static,
    A: Future<Output = AdminReply> + 'static,
{
    let (listener, bound) = bind("PROXY_MGMT", addr).await?;
    tracing::info!("operators call at {bound}");
    tokio::task::spawn_local(accept_all(listener, Rc::new(handler)));
    Ok(())
}

/// A caller that is being served.
struct Caller {
    number: u64,
    /// Whether its call is complete, so that it must be answered.
    complete: Rc<Cell<bool>>,
    task: AbortHandle,
}

async fn accept_all<F, A>(listener: TcpListener, handler: Rc<F>)
where
    F: Fn(Call) -> A + 'static,
    A: Future<Output = AdminReply> + 'static,
{
    let callers: Rc<RefCell<Vec<Caller>>> = Rc::default();
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) if classify_accept_error(&e) == AcceptError::Transient => continue,
            Err(e) => {
                tracing::warn!("admin endpoint: accept: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if callers.borrow().len() >= MAX_CALLERS {
            let mut served = callers.borrow_mut();
            // Prefers callers whose call is incomplete: the others are about to be answered.
            let oldest = served.iter().position(|caller| !caller.complete.get()).unwrap_or(0);
            served.remove(oldest).task.abort();
        }
        let complete = Rc::new(Cell::new(false));
        let (call_complete, handler, served) = (complete.clone(), handler.clone(), callers.clone());
        let task = tokio::task::spawn_local(async move {
            let _ = timeout(CALL_TIMEOUT, serve_call(stream, &call_complete, &*handler)).await;
            served.borrow_mut().retain(|caller| caller.number != number);
        });
        callers.borrow_mut().push(Caller { number, complete, task: task.abort_handle() });
    }
}

/// Reads a call, executes it and answers it. Sets `complete` once the call has been read.
async fn serve_call<F, A>(stream: TcpStream, complete: &Cell<bool>, handler: &F) -> io::Result<()>
where
    F: Fn(Call) -> A,
    A: Future<Output = AdminReply>,
{
    let mut stream = UninterruptedStream(stream);
    let mut received = Vec::new();
    let parsed = loop {
        if let Some(parsed) = parse(&received) {
            break parsed;
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        match stream.read(&mut chunk).await? {
            0 => break Err(AdminReply::BadCall("the call is not whole")),
            n => received.extend_from_slice(&chunk[..n]),
        }
        if received.starts_with(b"\r\n") {
            received.drain(..2);
        }
    };
    complete.set(true);
    let reply = match parsed {
        Ok(call) => {
            let reply = handler(call.clone()).await;
            if !matches!(call, Call::Ready | Call::Version) {
                tracing::info!("admin endpoint: call {call:?}: {reply:?}");
            }
            reply
        }
        Err(reply) => {
            tracing::info!("admin endpoint: malformed call: {reply:?}");
            reply
        }
    };
    stream.write_all(reply.to_http().as_bytes()).await?;
    stream.shutdown().await?;
    let _ =
        timeout(LINGER, async { while matches!(stream.read(&mut [0; READ_CHUNK_BYTES]).await, Ok(1..)) {} })
            .await;
    Ok(())
}
