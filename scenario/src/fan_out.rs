//! Simulated transfers of configurations from control instances to all entry instances at once.

use std::fmt::Write;

use masticlock_core::{
    consensus::Payload,
    digest,
    transfer::{Digest, Download, Parcel, Stored, choose_part},
};

/// Interval of an entry instance's polls, which tell it the newest revision, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// Time between the end of a part and the first byte of the next one, in milliseconds.
const ROUND_TRIP_MS: u64 = 5;

/// Time until a receiver turns to another sender after its own has ended, in milliseconds.
const FAILURE_MS: u64 = 550;

/// Largest parcel in bytes.
const MAX_BYTES: u64 = 8 * 1_024 * 1_024;

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of entry instances.
    pub receivers: usize,
    /// Number of control instances.
    pub senders: usize,
    /// Bytes that the link of an entry instance carries in a millisecond.
    pub receiver_rate: u64,
    /// Bytes that the link of a control instance carries in a millisecond.
    pub sender_rate: u64,
    /// Times of changes in milliseconds, and the sizes of their parcels in bytes.
    pub changes: Vec<(u64, usize)>,
    /// Control instance that ends, and when, in milliseconds.
    pub lost_sender: Option<(usize, u64)>,
}

/// What came of a simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Time at which each entry instance holds the last change, in milliseconds; sorted. Instances
    /// that never do are missing.
    pub in_force_at: Vec<u64>,
    /// Bytes that the control instances have sent.
    pub sent: u64,
    /// Bytes that were given up by entry instances.
    pub discarded: u64,
}

/// A part on its way.
#[derive(Clone, Copy, Debug)]
struct Flight {
    /// Time from which on bytes come.
    from: u64,
    parcel: usize,
    offset: u64,
    /// Bytes that are still to come.
    rest: u64,
}

#[derive(Debug)]
struct Receiver {
    sender: usize,
    download: Download,
    /// Revision that it holds, and the newest one that it knows of.
    held: u64,
    known: u64,
    flight: Option<Flight>,
    blocked_until: u64,
}

/// Returns the parcels of the changes; revisions count from 1.
fn parcels(changes: &[(u64, usize)]) -> Vec<Parcel> {
    let parcel = |(at, (_, size)): (usize, &(u64, usize))| {
        let seed = digest::mix(at as u64);
        let word = |n: usize| digest::mix(seed ^ n as u64).to_le_bytes();
        let bytes: Vec<u8> = (0..size.div_ceil(8)).flat_map(word).collect();
        let stored = Stored {
            revision: at as u64 + 1,
            digest: Digest::of(&seed.to_le_bytes()),
            content: Payload::default(),
        };
        Parcel::new(&stored, None, &bytes)
    };
    changes.iter().enumerate().map(parcel).collect()
}

impl Receiver {
    /// Requests the next part at `now`, if there is a newer configuration.
    fn request(&mut self, now: u64, parcels: &[Parcel], newest: usize) {
        if self.known <= self.held || self.flight.is_some() || now < self.blocked_until {
            return;
        }
        let fetch = self.download.request(self.held, None);
        let begun = fetch.partial.map(|p| p.parcel);
        let position = parcels.iter().position(|p| Some(p.head().parcel) == begun);
        let part = choose_part(&fetch, &parcels[newest], position.map(|at| &parcels[at]));
        let parcel = usize::try_from(part.head.revision - 1).unwrap_or(newest);
        self.flight = Some(Flight {
            from: now + ROUND_TRIP_MS,
            parcel,
            offset: part.offset,
            rest: part.bytes.as_bytes().len() as u64,
        });
    }

    /// Accepts the part that has arrived.
    fn accept(&mut self, flight: Flight, parcels: &[Parcel]) {
        let part = parcels[flight.parcel].part(flight.offset);
        // A part that is not accepted is requested again.
        if let Ok(Some((head, _))) = self.download.accept(&part, MAX_BYTES) {
            self.held = self.held.max(head.revision);
        }
    }
}

impl Deployment {
    /// Plays the changes for `length` milliseconds.
    #[must_use]
    pub fn play(&self, length: u64) -> Outcome {
        let parcels = parcels(&self.changes);
        let mut receivers: Vec<_> = (0..self.receivers)
            .map(|at| Receiver {
                sender: at % self.senders,
                download: Download::default(),
                held: 0,
                known: 0,
                flight: None,
                blocked_until: 0,
            })
            .collect();
        let last = parcels.len() as u64;
        let mut outcome = Outcome {
            in_force_at: Vec::new(),
            sent: 0,
            discarded: 0,
        };
        for now in 0..length {
            let newest = self.changes.iter().filter(|(at, _)| *at <= now).count();
            let Some(newest) = newest.checked_sub(1) else {
                continue;
            };
            if let Some((lost, at)) = self.lost_sender
                && at == now
            {
                for receiver in receivers.iter_mut().filter(|r| r.sender == lost) {
                    receiver.sender = (lost + 1) % self.senders;
                    receiver.flight = None;
                    receiver.blocked_until = now + FAILURE_MS;
                }
            }
            let mut active = vec![0; self.senders];
            for receiver in &receivers {
                if receiver.flight.is_some_and(|f| f.from <= now) {
                    active[receiver.sender] += 1;
                }
            }
            for (at, receiver) in receivers.iter_mut().enumerate() {
                if now % POLL_INTERVAL_MS == at as u64 % POLL_INTERVAL_MS
                    && now >= receiver.blocked_until
                {
                    receiver.known = newest as u64 + 1;
                }
                if let Some(flight) = &mut receiver.flight
                    && flight.from <= now
                {
                    let share = self.sender_rate / active[receiver.sender].max(1);
                    let moved = flight.rest.min(share.min(self.receiver_rate));
                    flight.rest -= moved;
                    outcome.sent += moved;
                    if flight.rest == 0 {
                        let flight = *flight;
                        receiver.flight = None;
                        let before = receiver.held;
                        receiver.accept(flight, &parcels);
                        if before < last && receiver.held == last {
                            outcome.in_force_at.push(now);
                        }
                    }
                }
                receiver.request(now, &parcels, newest);
            }
        }
        outcome.discarded = receivers.iter().map(|r| r.download.discarded()).sum();
        outcome
    }
}

/// Sizes of the parcels in the page, in bytes.
const PAGE_SIZES: [usize; 2] = [1_000_000, 4 * 1_024 * 1_024];

/// Numbers of entry instances in the page.
const PAGE_RECEIVERS: [usize; 2] = [72, 320];

/// Returns the section of the fault matrix.
///
/// # Panics
///
/// Never: writing to a string does not fail.
#[must_use]
pub fn page() -> String {
    let mut text = String::from(
        "## Configurations on their way

Parcels from seven control instances with 1,000 Mbit/s to all entry instances with 10 Mbit/s at once, by the decisions of
`core::transfer`. A cell gives the time until the last instance holds the last change, the bytes sent for each instance, and
those given up.

| fault | 72 entries, 1 MB | 72 entries, 4 MB | 320 entries, 1 MB | 320 entries, 4 MB |
|---|---|---|---|---|
",
    );
    for (label, loses, changes) in [
        ("none", false, 1),
        ("a control instance ends after 0.5 s", true, 1),
        ("five changes in two seconds", false, 5),
        ("both", true, 5),
    ] {
        write!(text, "| {label} |").expect("a string");
        for receivers in PAGE_RECEIVERS {
            for size in PAGE_SIZES {
                let deployment = Deployment {
                    receivers,
                    senders: 7,
                    receiver_rate: 1_250,
                    sender_rate: 125_000,
                    changes: (0..changes).map(|n| (400 * n, size)).collect(),
                    lost_sender: loses.then_some((3, 500)),
                };
                let outcome = deployment.play(16_000);
                let missing = receivers - outcome.in_force_at.len();
                let last = outcome.in_force_at.last().copied().unwrap_or_default();
                let each = |bytes: u64| bytes / receivers as u64 / 1_000;
                write!(
                    text,
                    " {last} ms, {} KB, {} KB{} |",
                    each(outcome.sent),
                    each(outcome.discarded),
                    if missing > 0 { ", **not all**" } else { "" }
                )
                .expect("a string");
            }
        }
        text.push('\n');
    }
    text.push('\n');
    text
}
