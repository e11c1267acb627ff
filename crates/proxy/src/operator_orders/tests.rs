use super::*;
use std::fs;
use tempfile::TempDir;

fn temp_dir() -> TempDir {
    TempDir::new().expect("a folder")
}

fn ban(id: &'static str) -> impl FnOnce(&mut OperatorOrders) {
    move |orders| orders.bans.extend([id.to_owned()])
}

fn store(dir: &TempDir) -> OrderStore {
    OrderStore::open(Some(dir.path().to_owned()))
}

#[tokio::test(flavor = "current_thread")]
async fn an_update_by_one_process_is_seen_by_another_and_by_a_later_one() {
    let dir = temp_dir();
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

/// Guards against a damaged file that ends the process, or makes it lose the orders in force.
#[tokio::test(flavor = "current_thread")]
async fn a_damaged_file_changes_no_orders_and_is_replaced_by_the_next_update() {
    for damage in ["", "{\"bans\":", "\0\u{7f}", "{\"bans\":7}", "[]x"] {
        let dir = temp_dir();
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

/// Guards against an update that reports success without being stored: the next process would not know of it.
#[tokio::test(flavor = "current_thread")]
async fn an_update_that_cannot_be_stored_fails_and_changes_nothing() {
    let dir = temp_dir();
    let one = store(&dir);
    let lock_file = lock(dir.path()).await.expect("locked");
    assert!(one.update(|orders| orders.drain = true).await.is_err() && !one.orders().drain);
    drop(lock_file);
    let ban_too_many =
        |orders: &mut OperatorOrders| orders.bans.extend((0..=MAX_BANS).map(|n| n.to_string()));
    assert!(one.update(ban_too_many).await.is_err() && one.orders().bans.is_empty());
    let missing_dir = OrderStore::open(Some(dir.path().join("missing")));
    assert!(missing_dir.update(|orders| orders.drain = true).await.is_err() && !missing_dir.orders().drain);
    let without_dir = OrderStore::open(None);
    without_dir.update(|orders| orders.drain = true).await.expect("taken");
    assert!(without_dir.orders().drain && !without_dir.refresh());
}
