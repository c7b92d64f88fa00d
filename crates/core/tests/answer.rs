//! Tests of stored answers.

use masticlock_core::{
    answer::{Admission, Contents, RETENTION, STALL_TIMEOUT, Store, home},
    claim::Key,
    name,
    request::Fingerprint,
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(1_000);

fn instance(at: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{at}")).unwrap()
}

fn key(account: &str, key: &str) -> Key {
    Key {
        account: name::Account::try_from(account).unwrap(),
        key: key.to_owned(),
    }
}

fn print(key: &Key, body: &[u8]) -> Fingerprint {
    Fingerprint::of(&key.account, body)
}

fn text(store: &Store, key: &Key, from: u64) -> Option<(Vec<u8>, bool)> {
    match store.read(key, from) {
        Contents::Chunks(chunks) => Some((
            chunks.iter().flat_map(|p| p.content.clone()).collect(),
            chunks.iter().any(|p| p.last),
        )),
        Contents::Gone => None,
    }
}

/// Guards against a second run of a request that is repeated at another
/// instance, and against a copy with gaps, repeats or a late start.
#[test]
fn a_repeated_request_follows_from_the_start() {
    let names: Vec<_> = (0..3).map(instance).collect();
    let key = key("a", "k");
    let at = home(&key, &names).unwrap().clone();
    let runner = names.iter().find(|n| **n != at).unwrap().clone();
    let mut home_store = Store::new(at.clone(), 1_000);
    let mut store = Store::new(runner.clone(), 1_000);
    let digest = print(&key, b"body");
    assert_eq!(home_store.begin(&key, digest, &runner, NOW), Admission::Run);
    store.record(key.clone(), digest, NOW);
    store.append(&key, b"one ".to_vec(), false, NOW);
    let first = store.pending_updates(|_| Some(at.clone()));
    store.append(&key, b"two".to_vec(), true, NOW);
    let second = store.pending_updates(|_| Some(at.clone()));
    // The second copy comes first and repeats the first piece.
    for (to, copy) in second.iter().chain(&first).chain(&second) {
        assert_eq!(*to, at);
        let chunks = home_store.merge(copy.clone(), NOW);
        store.acknowledge(&key, &at, chunks);
    }
    assert!(store.pending_updates(|_| Some(at.clone())).is_empty());
    assert_eq!(
        home_store.begin(&key, digest, &names[0], NOW),
        Admission::Follow
    );
    assert_eq!(
        text(&home_store, &key, 0),
        Some((b"one two".to_vec(), true))
    );
    assert_eq!(text(&home_store, &key, 1), Some((b"two".to_vec(), true)));
    // A new home gets the whole answer again.
    let next = names.iter().find(|n| **n != at && **n != runner).unwrap();
    let again = store.pending_updates(|_| Some(next.clone()));
    assert_eq!(again[0].1.chunks.len(), 2);
}

/// Guards against an answer that another client account or another body gets.
#[test]
fn answers_belong_to_one_account_and_body() {
    let (mine, other) = (key("a", "k"), key("b", "k"));
    let mut store = Store::new(instance(0), 1_000);
    let digest = print(&mine, b"body");
    assert_eq!(
        store.begin(&mine, digest, &instance(0), NOW),
        Admission::Run
    );
    store.append(&mine, b"secret".to_vec(), true, NOW);
    assert_eq!(text(&store, &other, 0), None);
    let theirs = print(&other, b"body");
    assert_eq!(
        store.begin(&other, theirs, &instance(0), NOW),
        Admission::Run
    );
    let changed = print(&mine, b"another body");
    assert_eq!(
        store.begin(&mine, changed, &instance(0), NOW),
        Admission::Reused
    );
}

/// Guards against stored answers that fill the memory or stay for ever.
#[test]
fn answers_are_bounded_in_time_and_bytes() {
    let mut store = Store::new(instance(0), 1_000);
    for number in 0..50u64 {
        let key = key("a", &number.to_string());
        let now = NOW + Span::from_millis(number);
        store.record(key.clone(), print(&key, b""), now);
        store.append(&key, vec![0; 90], number % 2 == 0, now);
        assert!(store.bytes() <= 1_000);
    }
    // Answers that still run are dropped after complete ones.
    assert!(text(&store, &key("a", "49"), 0).is_some());
    store.expire(NOW + STALL_TIMEOUT + Span::from_secs(1));
    assert!(text(&store, &key("a", "49"), 0).is_none());
    store.expire(NOW + RETENTION + Span::from_secs(1));
    assert_eq!(store.bytes(), 0);
    let gone = key("a", "x");
    store.record(gone.clone(), print(&gone, b""), NOW);
    store.abandon(&gone, &instance(1));
    assert!(text(&store, &gone, 0).is_some());
    store.abandon(&gone, &instance(0));
    assert!(text(&store, &gone, 0).is_none());
}
