//! Differences between configurations, their transfer, and how long an older one is obeyed.

use masticlock_core::{
    consensus::Payload,
    currency::Currency,
    delta::{Delta, Error as DeltaError},
    digest,
    time::{Span, Time},
    transfer::{Archive, Digest, Download, Error, PART_BYTES, Parcel, Part, Stored, choose_part},
};

const MAX_BYTES: u64 = 8 * 1_024 * 1_024;

/// Returns bytes that can't be compressed.
fn bytes(seed: u64, count: usize) -> Vec<u8> {
    let byte = |n: usize| digest::mix(seed ^ digest::mix(n as u64)).to_le_bytes()[0];
    (0..count).map(byte).collect()
}

fn route(number: u64) -> String {
    let word = digest::mix(number);
    format!(
        r#"{{"Name":"r-{word:x}","Split":[{{"To":"a","Weight":1}},{{"To":"b","Weight":{number}}}]}}"#
    )
}

fn configuration<I>(routes: I) -> Vec<u8>
where
    I: IntoIterator<Item = u64>,
{
    let routes: Vec<_> = routes.into_iter().map(route).collect();
    format!(r#"{{"Routes":[{}]}}"#, routes.join(",")).into_bytes()
}

fn parcel(revision: u64, size: usize) -> Parcel {
    let content = Payload::from(bytes(revision, 10));
    let stored = Stored {
        revision,
        digest: Digest::of(content.as_bytes()),
        content,
    };
    Parcel::new(&stored, None, &bytes(revision, size))
}

/// Guards against a difference from which another content results.
#[test]
fn a_difference_gives_the_content_for_any_change() {
    let base = configuration(0..400);
    let changed = configuration((0..400).filter(|n| n % 7 != 3).chain(400..450).rev());
    let added = configuration(0..420);
    for target in [changed, added, base.clone(), Vec::new(), bytes(1, 20_000)] {
        let delta = Delta::between(&base, &target);
        assert_eq!(delta.apply(&base, 1 << 20), Ok(target));
    }
}

/// Guards against a change that costs as many bytes as the whole configuration.
#[test]
fn a_difference_is_in_proportion_to_the_change() {
    let base = configuration(0..10_000);
    let mut routes: Vec<u64> = (0..10_000).collect();
    routes.remove(17);
    routes.insert(5_000, 20_000);
    routes.push(20_001);
    let delta = Delta::between(&base, &configuration(routes));
    let size = postcard::to_stdvec(&delta).unwrap().len();
    assert!(size < 1_000, "{size} bytes for three changed routes");
}

/// Guards against a difference that is used with another base than it was made for.
#[test]
fn a_difference_that_does_not_fit_is_refused() {
    let base = configuration(0..400);
    let delta = Delta::between(&base, &configuration(200..400));
    assert_eq!(delta.apply(&base[..90], 1 << 20), Err(DeltaError::Range));
    assert_eq!(delta.apply(&base, 50), Err(DeltaError::TooLarge));
}

/// Returns what the sender with these parcels answers to the receiver.
fn answer(download: &Download, held: u64, parcels: &[&Parcel]) -> Part {
    let fetch = download.request(held, None);
    let newest = parcels.last().unwrap();
    let begun = fetch.partial.map(|p| p.parcel);
    let begun = parcels.iter().find(|p| Some(p.head().parcel) == begun);
    choose_part(&fetch, newest, begun.copied())
}

/// Guards against a transfer that starts anew at another control instance.
#[test]
fn a_transfer_goes_on_at_another_sender() {
    let sent = parcel(2, 5 * PART_BYTES + 10);
    let mut download = Download::default();
    for _ in 0..3 {
        let part = answer(&download, 1, &[&sent]);
        assert_eq!(download.accept(&part, MAX_BYTES), Ok(None));
    }
    // The other sender has encoded the same content.
    let other = parcel(2, 5 * PART_BYTES + 10);
    let part = answer(&download, 1, &[&other]);
    assert_eq!(part.offset, 3 * PART_BYTES as u64);
    assert_eq!(download.accept(&part, MAX_BYTES), Ok(None));
    assert_eq!(download.discarded(), 0);
}

/// Guards against a receiver that never ends a transfer because a newer configuration always comes
/// before.
#[test]
fn changes_in_quick_succession_do_not_starve_a_slow_receiver() {
    let all: Vec<_> = (2..40).map(|r| parcel(r, 4 * PART_BYTES)).collect();
    let mut download = Download::default();
    let mut held = 1;
    // A new configuration comes with each part.
    for newest in 0..all.len() {
        let known: Vec<_> = all[..=newest].iter().collect();
        let part = answer(&download, held, &known);
        if let Some((head, _)) = download.accept(&part, MAX_BYTES).unwrap() {
            assert!(head.revision > held);
            held = head.revision;
        }
    }
    assert!(held > 30, "the receiver holds revision {held} only");
}

/// Guards against a large configuration that delays a small one which replaces it.
#[test]
fn a_small_newer_configuration_replaces_the_rest_of_a_large_one() {
    let (large, small) = (parcel(2, 30 * PART_BYTES), parcel(3, 100));
    let mut download = Download::default();
    let part = answer(&download, 1, &[&large]);
    download.accept(&part, MAX_BYTES).unwrap();
    let part = answer(&download, 1, &[&large, &small]);
    let (head, _) = download.accept(&part, MAX_BYTES).unwrap().unwrap();
    assert_eq!(head.revision, 3);
    assert_eq!(download.discarded(), PART_BYTES as u64);
}

/// Guards against parcels that are damaged, mixed or too large.
#[test]
fn a_damaged_or_mixed_parcel_is_given_up() {
    let sent = parcel(2, 2 * PART_BYTES);
    let mut download = Download::default();
    download.accept(&sent.part(0), MAX_BYTES).unwrap();
    let mut part = sent.part(PART_BYTES as u64);
    let mut flipped = part.bytes.as_bytes().to_vec();
    flipped[100] ^= 1;
    part.bytes = Payload::from(flipped);
    assert_eq!(download.accept(&part, MAX_BYTES), Err(Error::Damaged));
    assert_eq!(download.request(1, None).partial, None);

    let other = parcel(3, 2 * PART_BYTES);
    download.accept(&sent.part(0), MAX_BYTES).unwrap();
    let mixed = download.accept(&other.part(PART_BYTES as u64), MAX_BYTES);
    assert!(matches!(mixed, Err(Error::OutOfOrder { .. })));
    let repeated = download.accept(&sent.part(0), MAX_BYTES);
    assert!(matches!(repeated, Err(Error::OutOfOrder { .. })));
    let rest = sent.part(PART_BYTES as u64);
    assert!(download.accept(&rest, MAX_BYTES).unwrap().is_some());

    let large = download.accept(&sent.part(0), 100);
    assert_eq!(large, Err(Error::TooLarge));
}

/// Guards against an archive that grows with the number of changes.
#[test]
fn an_archive_keeps_the_newest_contents_only() {
    let mut archive = Archive::default();
    archive.insert(0, Payload::default());
    assert!(archive.newest().is_none());
    for revision in 1..30 {
        archive.insert(revision, Payload::from(bytes(revision, 3 * 1_024 * 1_024)));
    }
    archive.insert(4, Payload::default());
    assert_eq!(archive.newest().unwrap().revision, 29);
    let known = |r| {
        let digest = Digest::of(&bytes(r, 3 * 1_024 * 1_024));
        archive.get(digest).is_some()
    };
    assert!(known(25) && !known(20));
}

/// Guards against an older configuration that is obeyed after a newer one must be in force.
#[test]
fn an_older_configuration_is_obeyed_until_the_newer_one_must_be_in_force() {
    let limit = Span::from_millis(2_500);
    let at = |ms| Time::ZERO + Span::from_secs(100) + Span::from_millis(ms);
    let mut currency = Currency::default();
    assert_eq!(currency.obey_until(limit), None);
    currency.learn(7, at(0), 7);
    assert_eq!(currency.obey_until(limit), None, "it is held");
    currency.learn(9, at(400), 7);
    currency.learn(8, at(100), 7);
    currency.learn(8, at(300), 7);
    assert_eq!(currency.newest(), Some(9));
    assert_eq!(currency.obey_until(limit), Some(at(100 + 2_000)));
    assert!(currency.is_ready(limit, at(1_500)));
    assert!(!currency.is_ready(limit, at(1_700)));
    currency.hold(8);
    assert_eq!(currency.obey_until(limit), Some(at(400 + 2_000)));
    currency.hold(9);
    assert_eq!(currency, Currency::default());
}
