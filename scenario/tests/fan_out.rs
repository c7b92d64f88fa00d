//! Configurations on their way to all entry instances at once.

use masticlock_scenario::fan_out::{Deployment, Outcome};

/// Bytes that a link of 10 Mbit/s carries in a millisecond.
const ENTRY_RATE: u64 = 1_250;

/// Bytes that a link of 1,000 Mbit/s carries in a millisecond.
const CONTROL_RATE: u64 = 125_000;

/// Size of the largest configuration in bytes.
const LARGEST: usize = 4 * 1_024 * 1_024;

fn deployment(receivers: usize, changes: &[(u64, usize)]) -> Deployment {
    Deployment {
        receivers,
        senders: 7,
        receiver_rate: ENTRY_RATE,
        sender_rate: CONTROL_RATE,
        changes: changes.to_vec(),
        lost_sender: None,
    }
}

/// Returns the time at which the last instance holds the last change.
fn last(outcome: &Outcome, receivers: usize) -> u64 {
    assert_eq!(outcome.in_force_at.len(), receivers, "{outcome:?}");
    outcome.in_force_at.iter().copied().max().unwrap()
}

/// Guards against a size of configurations from which on none arrives, with the largest one on its
/// way to 320 instances, and against control instances whose links are the bound.
#[test]
fn the_time_until_a_configuration_is_everywhere_grows_with_its_size() {
    for receivers in [10, 72, 320] {
        let times = [40_000, 400_000, 1_000_000, 2_000_000, LARGEST].map(|size| {
            let outcome = deployment(receivers, &[(0, size)]).play(8_000);
            assert_eq!(outcome.sent, (receivers * size.next_multiple_of(8)) as u64);
            let took = last(&outcome, receivers);
            println!("{receivers} instances, {size} bytes: {took} ms");
            // A tenth more than the link takes, the poll and the round trips.
            let limit = size as u64 * 11 / 10 / ENTRY_RATE + 300;
            assert!(took < limit, "{receivers} {size}: {took} ms");
            took
        });
        assert!(times.is_sorted(), "{times:?}");
    }
}

/// Guards against instances that begin again when a control instance ends while it sends.
#[test]
fn a_control_instance_that_ends_costs_no_more_than_a_part_for_each_receiver() {
    let mut deployment = deployment(320, &[(0, LARGEST)]);
    deployment.lost_sender = Some((3, 2_000));
    let outcome = deployment.play(8_000);
    let part = 64 * 1_024;
    assert!(outcome.sent <= (320 * LARGEST + 46 * part) as u64);
    assert_eq!(outcome.discarded, 0);
    let took = last(&outcome, 320);
    assert!(took < 3_700 + 300 + 550 + 64, "{took} ms");
}

/// Guards against changes in series that keep instances from the last one.
#[test]
fn of_five_changes_in_two_seconds_the_last_one_comes_into_force() {
    let changes: Vec<_> = (0..5).map(|n| (400 * n, 1_000_000)).collect();
    let outcome = deployment(320, &changes).play(8_000);
    // The rest of one that has begun, and the last one.
    let took = last(&outcome, 320);
    assert!(took < 1_600 + 2 * 880 + 600, "{took} ms");
}
