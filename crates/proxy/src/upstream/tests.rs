use super::*;
use crate::socket::{Probe, Socket, Waiter};
use crate::upload::Payload;
use aniseyoke_config::model::Opening as OpeningRules;
use aniseyoke_pace::FleetPosition;
use hyper::{HeaderMap, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(30);
/// The number of the one node.
const NODE: ServerId = 1;
/// A client that has gone is known to have within this time.
const NOTICED_WITHIN: Duration = Duration::from_millis(300);
/// A client that may have gone is waited for so long.
const PROBE_TIMEOUT: Duration = Duration::from_millis(20);

fn job(waiter: Option<Waiter>) -> Rc<Job> {
    let uri = Uri::from_static("/read/1");
    Rc::new(Job { method: Method::GET, uri, headers: HeaderMap::new(), body: Payload::empty(), waiter })
}

async fn attempt(upstreams: &Rc<Upstreams>, job: Rc<Job>) -> Outcome {
    upstreams.clone().attempt(NODE, job, std::time::Instant::now(), LONG, Rc::default()).await
}

/// Guards against a node that is blamed for the proxy's own shortage, and loses all its keys.
#[tokio::test(flavor = "current_thread")]
async fn a_lack_of_descriptors_is_not_the_nodes_fault() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let upstreams = Upstreams::new(DescriptorBudget::new(0), Budget::new(0), LONG, 0, None);
    let entry = Entry { server: NODE, ..Entry::default() };
    upstreams.update_endpoints(true, &[(entry, node.local_addr().ok())]);
    assert_eq!(attempt(&upstreams, job(None)).await.status, Status::NotSent);
}

/// A client that has closed its connection, as one that waits for an answer.
async fn client_that_left() -> (Rc<Socket>, Waiter) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    let socket = Socket::new(stream, DescriptorBudget::new(1).try_acquire().expect("a descriptor"));
    drop(client);
    let waiter = Waiter::new(&socket, Probe::InterimResponse, PROBE_TIMEOUT);
    (socket, waiter)
}

/// Answers one request on a connection.
async fn answer_one(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let answer = b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("written");
}

/// Guards against a connection that is closed with a client that left while it waited for one: where opening is limited the
/// next request may have to wait for a permit.
#[tokio::test(flavor = "current_thread")]
async fn an_idle_connection_goes_back_when_the_client_that_it_was_taken_for_has_left() {
    let serving = async {
        let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let rules = OpeningRules { per_node: 1000.0, origin: 1000.0 };
        let opening = OpenLimiter::new(rules, None, FleetPosition::new(0, 1));
        let idle_time = LONG.as_nanos() as Nanos;
        let (descriptors, budget) = (DescriptorBudget::new(9), Budget::new(1 << 20));
        let upstreams = Upstreams::new(descriptors, budget, LONG, idle_time, Some(opening));
        let entry = Entry { server: NODE, state: State::Ready, ..Entry::default() };
        upstreams.update_endpoints(true, &[(entry, node.local_addr().ok())]);
        let first = async {
            let (mut stream, _) = node.accept().await.expect("a connection");
            answer_one(&mut stream).await;
            stream
        };
        let (outcome, mut stream) = tokio::join!(attempt(&upstreams, job(None)), first);
        assert_eq!(outcome.status, Status::Ok);
        let (_socket, waiter) = client_that_left().await;
        let for_nobody = timeout(NOTICED_WITHIN, attempt(&upstreams, job(Some(waiter)))).await;
        assert!(for_nobody.is_err(), "an attempt whose client has gone is ended by who waits for the client");
        let (outcome, ()) = tokio::join!(attempt(&upstreams, job(None)), answer_one(&mut stream));
        assert_eq!(outcome.status, Status::Ok);
    };
    LocalSet::new().run_until(timeout(LONG, serving)).await.expect("in time");
}
