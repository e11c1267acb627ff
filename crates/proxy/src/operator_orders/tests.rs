use super::*;
use tempfile::TempDir;

fn folder() -> TempDir {
    TempDir::new().expect("a folder")
}

fn ban(id: &'static str) -> impl FnOnce(&mut OperatorOrders) {
    move |orders| orders.bans.extend([id.to_owned()])
}

fn store(dir: &TempDir) -> OrderStore {
    OrderStore::open(Some(dir.path().to_owned()))
}

#[tokio::test(flavor = "current_thread")]
async fn an_order_given_at_one_process_is_seen_by_another_and_by_the_next() {
    let dir = folder();
    let (one, other) = (store(&dir), store(&dir));
    one.update(ban("a")).await.expect("stored");
    assert!(other.refresh() && !other.refresh());
    other.update(|orders| orders.drain = true).await.expect("stored");
    assert!(one.refresh());
    let next = store(&dir);
    assert!(next.refresh());
    for store in [one, other, next] {
        assert_eq!(store.orders(), OperatorOrders { drain: true, bans: ["a".to_owned()].into() });
    }
}

/// Danger: a damaged file must neither end the process nor make it forget what it knows.
#[tokio::test(flavor = "current_thread")]
async fn a_damaged_file_is_no_news_and_is_written_anew_by_the_next_order() {
    for damage in ["", "{\"bans\":", "\0\u{7f}", "{\"bans\":7}", "[]x"] {
        let dir = folder();
        let one = store(&dir);
        one.update(ban("a")).await.expect("stored");
        fs::write(dir.path().join(FILE), damage).expect("written");
        assert!(!one.refresh() && one.orders().bans.contains("a"), "{damage:?}");
        assert!(!store(&dir).refresh());
        one.update(ban("b")).await.expect("stored");
        let next = store(&dir);
        assert!(next.refresh() && next.orders().bans.len() == 2, "{damage:?}");
    }
}

/// Danger: a yes for what is not stored would be forgotten by the next process.
#[tokio::test(flavor = "current_thread")]
async fn an_order_that_cannot_be_stored_changes_nothing() {
    let dir = folder();
    let one = store(&dir);
    let held = lock(dir.path()).await.expect("locked");
    assert!(one.update(|orders| orders.drain = true).await.is_err() && !one.orders().drain);
    drop(held);
    let many = |orders: &mut OperatorOrders| orders.bans.extend((0..=MAX_BANS).map(|n| n.to_string()));
    assert!(one.update(many).await.is_err() && one.orders().bans.is_empty());
    let nowhere = OrderStore::open(Some(dir.path().join("missing")));
    assert!(nowhere.update(|orders| orders.drain = true).await.is_err() && !nowhere.orders().drain);
    let unstored = OrderStore::open(None);
    unstored.update(|orders| orders.drain = true).await.expect("taken");
    assert!(unstored.orders().drain && !unstored.refresh());
}
