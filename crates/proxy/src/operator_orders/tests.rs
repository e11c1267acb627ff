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
        let expected = OperatorOrders { drain: true, bans: ["a".to_owned()].into(), ..Default::default() };
        assert_eq!(store.orders(), expected);
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

/// Guards against a process that does not know of a ban that ended before its start, or between two looks.
#[test]
fn a_ban_that_ended_recently_is_told_to_a_process_that_did_not_see_it() {
    let window = Duration::from_secs(9);
    let mut orders = OperatorOrders::default();
    orders.lift_ban("never-banned", 1_000);
    let before = orders.clone();
    orders.ban("a".into());
    let during = orders.clone();
    orders.lift_ban("a", 20_000);
    let newly_lifted = |previous: &OperatorOrders, now: u64| -> Vec<String> {
        orders.newly_lifted(previous, now, window).cloned().collect()
    };
    // A clock that was set back makes the end of a ban no older.
    for now in [0, 20_000, 28_999] {
        assert_eq!(newly_lifted(&before, now), ["a"], "{now}");
    }
    assert!(newly_lifted(&before, 29_000).is_empty());
    // A process that had the ban notices its end.
    assert!(newly_lifted(&during, 20_000).is_empty() && newly_lifted(&orders, 20_000).is_empty());
    let text = serde_json::to_string(&orders).expect("JSON");
    assert_eq!(serde_json::from_str::<OperatorOrders>(&text).expect("orders"), orders);
    let of_before: OperatorOrders = serde_json::from_str(r#"{"drain":false,"bans":["b"]}"#).expect("orders");
    assert!(of_before.lifted.is_empty() && of_before.bans.contains("b"));
}

/// Guards against a file that grows with every ban that ends.
#[test]
fn the_oldest_ends_of_bans_are_forgotten() {
    let mut orders = OperatorOrders::default();
    for number in 0..2 * MAX_LIFTED as u64 {
        orders.ban(format!("node-{number}"));
        orders.lift_ban(&format!("node-{number}"), number);
    }
    assert_eq!(orders.lifted.len(), MAX_LIFTED);
    assert_eq!(orders.lifted.values().min(), Some(&(MAX_LIFTED as u64)));
}
