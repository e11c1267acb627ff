//! The admin endpoint: a listener of its own for operators' calls, which takes one call a connection and answers it at once.

mod call;
mod reply;

pub use call::Call;
pub use reply::AdminReply;

use crate::bind::{bind, BindError};
use aniseyoke_sockets::{classify_accept_error, AcceptError, Uninterrupted};
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

/// So many callers are served at once. One more takes the place of the oldest, since callers that never finish would fill
/// the endpoint for good.
const MAX_CALLERS: usize = 8;
/// The descriptors that the endpoint may need: its listener, its callers, and one that was just accepted.
pub const DESCRIPTORS: usize = MAX_CALLERS + 2;
/// The memory that the endpoint may need, in bytes.
pub const MEMORY_BYTES: usize = (MAX_CALLERS + 1) * 4 * MAX_CALL_BYTES;
/// A call must be complete, and carried out, within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// What a caller still sends after its answer is read for so long, or the answer might be lost with it.
const LINGER: Duration = Duration::from_millis(100);
/// After a failure to accept the next connection is accepted so much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes read at a time.
const READ_SIZE: usize = 1024;

/// Listens at `addr` and has each call carried out by `act`.
///
/// # Errors
/// If the listener can't be opened.
pub async fn open<F, A>(addr: SocketAddr, act: F) -> Result<(), BindError>
where
    F: Fn(Call) -> A + 'static,
    A: Future<Output = AdminReply> + 'static,
{
    let (listener, bound) = bind("PROXY_MGMT", addr).await?;
    tracing::info!("operators call at {bound}");
    tokio::task::spawn_local(accept_all(listener, Rc::new(act)));
    Ok(())
}

/// A caller that is being served.
struct Caller {
    number: u64,
    /// Its call is complete, so that it must be answered.
    complete: Rc<Cell<bool>>,
    task: AbortHandle,
}

async fn accept_all<F, A>(listener: TcpListener, act: Rc<F>)
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
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if callers.borrow().len() >= MAX_CALLERS {
            let mut served = callers.borrow_mut();
            // Those whose call is complete must be answered, and are within a moment.
            let oldest = served.iter().position(|caller| !caller.complete.get()).unwrap_or(0);
            served.remove(oldest).task.abort();
        }
        let complete = Rc::new(Cell::new(false));
        let (received, act, served) = (complete.clone(), act.clone(), callers.clone());
        let task = tokio::task::spawn_local(async move {
            let _ = timeout(CALL_TIMEOUT, serve_call(stream, &received, &*act)).await;
            served.borrow_mut().retain(|caller| caller.number != number);
        });
        callers.borrow_mut().push(Caller { number, complete, task: task.abort_handle() });
    }
}

/// Reads a call, has it carried out and answers it; `complete` is set once it has been read.
async fn serve_call<F, A>(stream: TcpStream, complete: &Cell<bool>, act: &F) -> io::Result<()>
where
    F: Fn(Call) -> A,
    A: Future<Output = AdminReply>,
{
    let mut stream = Uninterrupted(stream);
    let mut received = Vec::new();
    let parsed = loop {
        if let Some(parsed) = parse(&received) {
            break parsed;
        }
        let mut chunk = [0; READ_SIZE];
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
            let reply = act(call.clone()).await;
            if !matches!(call, Call::Ready | Call::Version) {
                tracing::info!("operators' call {call:?}: {reply:?}");
            }
            reply
        }
        Err(reply) => {
            tracing::info!("operators' call that can't be read: {reply:?}");
            reply
        }
    };
    stream.write_all(reply.to_http().as_bytes()).await?;
    stream.shutdown().await?;
    let _ =
        timeout(LINGER, async { while matches!(stream.read(&mut [0; READ_SIZE]).await, Ok(1..)) {} }).await;
    Ok(())
}
