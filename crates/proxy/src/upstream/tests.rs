use super::*;
use crate::upload::Payload;
use hyper::{HeaderMap, Method, Uri};
use tokio::net::TcpListener;

const LONG: Duration = Duration::from_secs(30);

/// Guards against a node that is blamed for the proxy's own shortage, and loses all its keys.
#[tokio::test(flavor = "current_thread")]
async fn a_lack_of_descriptors_is_not_the_nodes_fault() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let upstreams = Upstreams::new(Descriptors::new(0), Budget::new(0), Duration::from_secs(30), 0, None);
    let entry = Entry { server: 1, ..Entry::default() };
    upstreams.update_endpoints(true, &[(entry, node.local_addr().ok())]);
    let job = Job {
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::new(),
        body: Payload::empty(),
        waiter: None,
    };
    let outcome = upstreams.attempt(1, Rc::new(job), std::time::Instant::now(), LONG, Rc::default()).await;
    assert_eq!(outcome.status, Status::NotSent);
}
