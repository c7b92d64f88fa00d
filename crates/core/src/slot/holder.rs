//! The slots that an instance holds.

use crate::{
    slot::{Lease, RENEWAL_INTERVAL, Renewal, SLOT_LEASE, START_TIMEOUT},
    time::{Span, Time},
};

/// A slot that the instance holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The slot.
    pub lease: Lease,
    /// When the slot expires.
    pub until: Time,
    /// Whether the work has started.
    started: bool,
    /// When the work must have started.
    start_by: Time,
    /// When the slot is due for renewal; `None` if it is not renewed.
    renew_at: Option<Time>,
}

/// The slots that an instance holds, sorted by id and upstream.
///
/// Every time limit counts from when the request to the owner was sent. The
/// owner counts from when it receives the request, so a slot expires here
/// before the owner grants it again.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    held: Vec<Held>,
}

impl Holder {
    fn find(&self, lease: &Lease) -> Result<usize, usize> {
        self.held.binary_search_by(|held| {
            (held.lease.id, &held.lease.upstream).cmp(&(lease.id, &lease.upstream))
        })
    }

    /// Records a slot that was requested at `sent`. Returns whether its work can
    /// still start; if not, the slot is not recorded and has to be released.
    #[must_use]
    pub fn granted(&mut self, lease: Lease, hold: Option<Span>, sent: Time, now: Time) -> bool {
        if now >= sent + START_TIMEOUT {
            return false;
        }
        let Err(at) = self.find(&lease) else {
            return false;
        };
        let renew_at = hold.is_none().then_some(sent + RENEWAL_INTERVAL);
        self.held.insert(
            at,
            Held {
                lease,
                until: sent + hold.unwrap_or(SLOT_LEASE),
                started: false,
                start_by: sent + START_TIMEOUT,
                renew_at,
            },
        );
        true
    }

    /// Records that the work starts. Returns whether it may start.
    #[must_use]
    pub fn start(&mut self, lease: &Lease, now: Time) -> bool {
        let Ok(at) = self.find(lease) else {
            return false;
        };
        let held = &mut self.held[at];
        let allowed = held.started || now < held.start_by;
        held.started = allowed;
        allowed
    }

    /// Returns the slots that are due for renewal and schedules the next renewal of each.
    pub fn due_renewals(&mut self, now: Time) -> Vec<Lease> {
        let mut due = Vec::new();
        for held in &mut self.held {
            if held.renew_at.is_some_and(|at| at <= now) {
                held.renew_at = Some(now + RENEWAL_INTERVAL);
                due.push(held.lease.clone());
            }
        }
        due
    }

    /// Records the response to a renewal that was sent at `sent`.
    pub fn renewed(&mut self, lease: &Lease, renewal: Renewal, sent: Time, now: Time) {
        let Ok(at) = self.find(lease) else {
            return;
        };
        let held = &mut self.held[at];
        match renewal {
            Renewal::Renewed if held.renew_at.is_some() => {
                held.until = held.until.max(sent + SLOT_LEASE);
            }
            Renewal::Renewed | Renewal::Later => {}
            Renewal::Gone => held.until = held.until.min(now),
        }
    }

    /// Removes and returns the slots that expired or whose work did not start in
    /// time. Their work must be cancelled.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Lease> {
        let mut expired = Vec::new();
        self.held.retain(|held| {
            let valid = now < held.until && (held.started || now < held.start_by);
            if !valid {
                expired.push(held.lease.clone());
            }
            valid
        });
        expired
    }

    /// Removes a slot whose work has ended. Returns whether it was held.
    pub fn released(&mut self, lease: &Lease) -> bool {
        match self.find(lease) {
            Ok(at) => {
                self.held.remove(at);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the slots that are held.
    #[must_use]
    pub fn held(&self) -> &[Held] {
        &self.held
    }
}
