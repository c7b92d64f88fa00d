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

fn fingerprint(key: &Key, body: &[u8]) -> Fingerprint {
    Fingerprint::of(&key.account, body)
}

fn read_content(store: &Store, key: &Key, from: u64) -> Option<(Vec<u8>, bool)> {
    match store.read(key, from) {
        Contents::Chunks(chunks) => Some((
            chunks.iter().flat_map(|p| p.content.clone()).collect(),
            chunks.iter().any(|p| p.last),
        )),
        Contents::Gone => None,
    }
}

/// Guards against a second run of a request that is repeated at another
/// instance, and against a replica with gaps or duplicates or without its start.
#[test]
fn repeated_request_reads_the_answer_from_its_start() {
    let names: Vec<_> = (0..3).map(instance).collect();
    let key = key("a", "k");
    let home_instance = home(&key, &names).unwrap().clone();
    let runner = names.iter().find(|n| **n != home_instance).unwrap().clone();
    let mut home_store = Store::new(home_instance.clone(), 1_000);
    let mut store = Store::new(runner.clone(), 1_000);
    let body_fingerprint = fingerprint(&key, b"body");
    assert_eq!(
        home_store.begin(&key, body_fingerprint, &runner, NOW),
        Admission::Run
    );
    store.record(key.clone(), body_fingerprint, NOW);
    store.append(&key, b"one ".to_vec(), false, NOW);
    let first = store.pending_updates(|_| Some(home_instance.clone()));
    store.append(&key, b"two".to_vec(), true, NOW);
    let second = store.pending_updates(|_| Some(home_instance.clone()));
    // The second update arrives first and contains the first chunk again.
    for (to, update) in second.iter().chain(&first).chain(&second) {
        assert_eq!(*to, home_instance);
        let chunks = home_store.merge(update.clone(), NOW);
        store.acknowledge(&key, &home_instance, chunks);
    }
    assert!(
        store
            .pending_updates(|_| Some(home_instance.clone()))
            .is_empty()
    );
    assert_eq!(
        home_store.begin(&key, body_fingerprint, &names[0], NOW),
        Admission::Follow
    );
    assert_eq!(
        read_content(&home_store, &key, 0),
        Some((b"one two".to_vec(), true))
    );
    assert_eq!(
        read_content(&home_store, &key, 1),
        Some((b"two".to_vec(), true))
    );
    // A new home receives the whole answer.
    let next = names
        .iter()
        .find(|n| **n != home_instance && **n != runner)
        .unwrap();
    let again = store.pending_updates(|_| Some(next.clone()));
    assert_eq!(again[0].1.chunks.len(), 2);
}

/// Guards against an answer that is returned to another client account or for another body.
#[test]
fn answers_belong_to_one_account_and_body() {
    let (mine, other) = (key("a", "k"), key("b", "k"));
    let mut store = Store::new(instance(0), 1_000);
    let body_fingerprint = fingerprint(&mine, b"body");
    assert_eq!(
        store.begin(&mine, body_fingerprint, &instance(0), NOW),
        Admission::Run
    );
    store.append(&mine, b"secret".to_vec(), true, NOW);
    assert_eq!(read_content(&store, &other, 0), None);
    let theirs = fingerprint(&other, b"body");
    assert_eq!(
        store.begin(&other, theirs, &instance(0), NOW),
        Admission::Run
    );
    let changed = fingerprint(&mine, b"another body");
    assert_eq!(
        store.begin(&mine, changed, &instance(0), NOW),
        Admission::Reused
    );
}

/// Guards against stored answers that fill the memory or are never removed.
#[test]
fn answers_are_bounded_in_time_and_bytes() {
    let mut store = Store::new(instance(0), 1_000);
    for number in 0..50u64 {
        let key = key("a", &number.to_string());
        let now = NOW + Span::from_millis(number);
        store.record(key.clone(), fingerprint(&key, b""), now);
        store.append(&key, vec![0; 90], number % 2 == 0, now);
        assert!(store.bytes() <= 1_000);
    }
    // Incomplete answers are evicted after complete ones.
    assert!(read_content(&store, &key("a", "49"), 0).is_some());
    store.expire(NOW + STALL_TIMEOUT + Span::from_secs(1));
    assert!(read_content(&store, &key("a", "49"), 0).is_none());
    store.expire(NOW + RETENTION + Span::from_secs(1));
    assert_eq!(store.bytes(), 0);
    let abandoned = key("a", "x");
    store.record(abandoned.clone(), fingerprint(&abandoned, b""), NOW);
    store.abandon(&abandoned, &instance(1));
    assert!(read_content(&store, &abandoned, 0).is_some());
    store.abandon(&abandoned, &instance(0));
    assert!(read_content(&store, &abandoned, 0).is_none());
}
