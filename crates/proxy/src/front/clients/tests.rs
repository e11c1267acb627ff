use super::*;
use crate::descriptors::DescriptorBudget;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// Guards against a connection whose task panics and that keeps its descriptor and its place forever.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_whose_task_panics_is_removed_and_frees_its_descriptor() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
        let (_server, peer) = listener.accept().await.expect("accepted");
        let descriptors = DescriptorBudget::new(1);
        let permit = descriptors.try_acquire().expect("a descriptor");
        let clients = Rc::<Clients>::default();
        let registered = clients.register(Client::new(stream, peer, permit));
        assert_eq!((clients.open().len(), descriptors.used()), (1, 1));
        let task = spawn_local(async move {
            let _registered = registered;
            panic!("the panic of this test");
        });
        let ended: Result<(), _> = task.await;
        assert!(ended.is_err_and(|error| error.is_panic()));
        clients.all_closed().await;
        assert_eq!(descriptors.used(), 0);
    };
    LocalSet::new().run_until(scenario).await;
}
