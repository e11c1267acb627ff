use super::*;
use crate::socket::{PeerHandle, Probe, Socket};
use crate::upload::Payload;
use aniseyoke_config::model::Opening as OpeningRules;
use aniseyoke_pace::FleetPosition;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The id of the only node.
const NODE: ServerId = 1;
/// An attempt whose client has gone must not end within this time.
const NO_OUTCOME_TIME: Duration = Duration::from_millis(300);
/// How long a client's reaction to a probe is waited for.
const PROBE_TIMEOUT: Duration = Duration::from_millis(20);

fn job(client_handle: Option<PeerHandle>) -> Rc<Job> {
    let uri = Uri::from_static("/read/1");
    Rc::new(Job {
        id: HeaderValue::from_static("id"),
        reserved_id: None,
        method: Method::GET,
        uri,
        headers: HeaderMap::new(),
        body: Payload::empty(),
        client_handle,
    })
}

async fn attempt(upstreams: &Rc<Upstreams>, job: Rc<Job>) -> Outcome {
    upstreams.clone().attempt(NODE, job, std::time::Instant::now(), TEST_TIMEOUT, Rc::default()).await
}

/// Guards against a node that is ejected, and loses all its keys, because the proxy itself is short of
/// descriptors.
#[tokio::test(flavor = "current_thread")]
async fn an_attempt_without_a_free_descriptor_is_not_sent() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let upstreams =
        Upstreams::new(DescriptorBudget::new(0), Budget::new(0), TEST_TIMEOUT, 0, None, Metrics::new());
    let entry = Entry { server: NODE, ..Entry::default() };
    upstreams.update_endpoints(true, &[(entry, node.local_addr().ok())]);
    assert_eq!(attempt(&upstreams, job(None)).await.status, Status::NotSent);
}

/// Returns the socket of a client that has closed its connection, and a handle on that client.
async fn disconnected_client() -> (Rc<Socket>, PeerHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    let socket = Socket::new(stream, DescriptorBudget::new(1).try_acquire().expect("a descriptor"));
    drop(client);
    let client_handle = PeerHandle::new(&socket, Probe::InterimResponse, PROBE_TIMEOUT);
    (socket, client_handle)
}

/// Reads one request from a connection and answers it.
async fn answer_one(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let answer = b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("written");
}

/// Guards against closing an idle connection that was reserved for a client that left: if the opening of
/// connections is limited, the next request may have to wait for a permit.
#[tokio::test(flavor = "current_thread")]
async fn an_idle_connection_reserved_for_a_client_that_left_returns_to_the_pool() {
    let scenario = async {
        let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let rules = OpeningRules { per_node: 1000.0, origin: 1000.0 };
        let opening = OpenLimiter::new(rules, None, FleetPosition::new(0, 1));
        let idle_time = TEST_TIMEOUT.as_nanos() as Nanos;
        let (descriptors, budget) = (DescriptorBudget::new(9), Budget::new(1 << 20));
        let upstreams =
            Upstreams::new(descriptors, budget, TEST_TIMEOUT, idle_time, Some(opening), Metrics::new());
        let entry = Entry { server: NODE, state: State::Ready, ..Entry::default() };
        upstreams.update_endpoints(true, &[(entry, node.local_addr().ok())]);
        let first_answer = async {
            let (mut stream, _) = node.accept().await.expect("a connection");
            answer_one(&mut stream).await;
            stream
        };
        let (outcome, mut stream) = tokio::join!(attempt(&upstreams, job(None)), first_answer);
        assert_eq!(outcome.status, Status::Ok);
        let (_socket, client_handle) = disconnected_client().await;
        let without_client = timeout(NO_OUTCOME_TIME, attempt(&upstreams, job(Some(client_handle)))).await;
        assert!(without_client.is_err(), "an attempt whose client has gone must wait until it is aborted");
        let (outcome, ()) = tokio::join!(attempt(&upstreams, job(None)), answer_one(&mut stream));
        assert_eq!(outcome.status, Status::Ok);
    };
    LocalSet::new().run_until(timeout(TEST_TIMEOUT, scenario)).await.expect("in time");
}
