//! The slots that an owner has granted.

use crate::{
    directory::{Announcement, State},
    error, inventory, name,
    slot::{
        ANNOUNCEMENT_INTERVAL, Acquire, AnnouncementResponse, ENGINE_TAKEOVER_WAIT, Exclusions,
        HANDSHAKE_INTERVAL, Lease, MAX_HOLD, Ownership, Refusal, Renewal, Report,
        SERVICE_TAKEOVER_WAIT, SLOT_LEASE, START_TIMEOUT, SlowStart, Target, Token,
        with_clock_drift,
    },
    time::{Span, Time},
};

/// Sum of the weights of consecutive failures at which an upstream is suspended.
const SUSPENSION_WEIGHT: u32 = 4;
/// Weight of a connection that broke.
const BROKEN_WEIGHT: u32 = 2;
/// Weight of work that was not sent, which can have a local cause.
const UNSENT_WEIGHT: u32 = 1;

plain! {
    /// A granted slot, as its owner keeps it.
    #[derive(Eq)]
    pub struct Grant {
        /// Id of the slot.
        pub id: u64,
        /// The instance that holds the slot.
        pub holder: name::Instance,
        /// When the slot expires, on the owner's clock.
        pub until: Time,
        /// Whether the slot was granted for a fixed time, without renewals.
        pub held: bool,
        /// Number of cold starts of the upstream before the grant.
        pub epoch: u32,
    }

    /// The slots of one upstream, as the old owner hands them over to a new one.
    #[derive(Eq)]
    pub struct Handover {
        /// The upstream.
        pub upstream: name::Upstream,
        /// The old owner.
        pub owner: name::Instance,
        /// Id of the old owner's process.
        pub boot: u64,
        /// The last announcement of the upstream.
        pub announcement: Announcement,
        /// The limit on the upstream's slots.
        #[serde(rename = "warmth")]
        pub slow_start: SlowStart,
        /// Slots in use. Their `until` is relative to the start of the handover.
        pub used: Vec<Grant>,
    }
}

/// An upstream with its ownership and the slots granted on it.
#[derive(Clone, Debug)]
struct Entry {
    announcement: Announcement,
    ownership: Ownership,
    slow_start: SlowStart,
    grants: Vec<Grant>,
    /// Sum of the weights of failures since the last completion or announcement.
    failures: u32,
}

/// The upstreams that an instance owns or is about to own.
#[derive(Clone, Debug)]
pub struct Table {
    instance: name::Instance,
    boot: u64,
    next_id: u64,
    entries: Vec<Entry>,
    exclusions: Exclusions,
}

impl Entry {
    fn new(announcement: &Announcement, known: bool) -> Self {
        Self {
            announcement: announcement.clone(),
            ownership: Ownership::new(announcement.incarnation, known),
            slow_start: SlowStart::new(announcement.cold, announcement.warm),
            grants: Vec::new(),
            failures: 0,
        }
    }

    fn in_use(&self) -> u32 {
        u32::try_from(self.grants.len()).unwrap_or(u32::MAX)
    }

    fn free(&self) -> u32 {
        if self.failures >= SUSPENSION_WEIGHT {
            return 0;
        }
        self.slow_start.limit().saturating_sub(self.in_use())
    }

    /// Counts a failure. An upstream that only fails gets no work until its next
    /// announcement, and then starts with its cold limit again.
    fn failed(&mut self, weight: u32, epoch: u32) {
        let before = self.failures;
        self.failures += weight;
        let suspended = before < SUSPENSION_WEIGHT && self.failures >= SUSPENSION_WEIGHT;
        if suspended && weight == BROKEN_WEIGHT && epoch == self.slow_start.epoch() {
            self.slow_start.reset();
        }
    }

    fn expire(&mut self, now: Time) {
        self.grants.retain(|grant| now < grant.until);
    }

    fn update(&mut self, announcement: &Announcement, now: Time) {
        self.announcement.clone_from(announcement);
        self.failures = 0;
        if self.ownership.restarted(announcement.incarnation, now) {
            self.slow_start.reset();
        }
        let is_cold = announcement.state == State::Cold;
        self.slow_start
            .announced(announcement.cold, announcement.warm, is_cold);
    }
}

impl Exclusions {
    /// Returns whether the upstream gets no new work for the target.
    #[must_use]
    pub fn excludes(&self, announcement: &Announcement, target: &Target) -> bool {
        let version = match target {
            Target::Version(version) => self.versions.binary_search(version).is_ok(),
            Target::Service(_) => false,
        };
        version
            || self.domains.binary_search(&announcement.domain).is_ok()
            || self.upstreams.binary_search(&announcement.upstream).is_ok()
    }
}

impl Table {
    /// Returns the empty table of a process. `boot` must differ from the id of
    /// every earlier process of the instance.
    #[must_use]
    pub fn new(instance: name::Instance, boot: u64) -> Self {
        let hash = blake3::hash(&boot.to_le_bytes());
        let mut prefix = [0; 4];
        prefix.copy_from_slice(&hash.as_bytes()[..4]);
        Self {
            instance,
            boot,
            // Ids start at a hash of `boot`, so that a slot of an earlier process is not
            // taken for one of this process.
            next_id: u64::from(u32::from_le_bytes(prefix)) << 32,
            entries: Vec::new(),
            exclusions: Exclusions::default(),
        }
    }

    /// Replaces what gets no new work.
    pub fn set_exclusions(&mut self, exclusions: Exclusions) {
        self.exclusions = exclusions;
    }

    fn find(&self, upstream: &name::Upstream) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.announcement.upstream.cmp(upstream))
    }

    /// Records an announcement and returns the response. `known` says whether
    /// another instance may have owned the upstream before.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::Fenced`] for an old incarnation.
    pub fn announced(
        &mut self,
        announcement: &Announcement,
        known: bool,
        now: Time,
    ) -> Result<AnnouncementResponse, error::Error> {
        let at = match self.find(&announcement.upstream) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, Entry::new(announcement, known));
                at
            }
        };
        let entry = &mut self.entries[at];
        if announcement.incarnation < entry.announcement.incarnation {
            let message = format!("{} has a newer incarnation", announcement.upstream);
            return Err(error::Error::new(error::Kind::Fenced, message));
        }
        entry.expire(now);
        entry.update(announcement, now);
        let token = Token {
            owner: self.instance.clone(),
            boot: self.boot,
            issued: now,
        };
        let wait = match announcement.offer {
            inventory::Offer::Engine => ENGINE_TAKEOVER_WAIT,
            inventory::Offer::Service => SERVICE_TAKEOVER_WAIT,
        };
        if entry
            .ownership
            .announced(&token, announcement.token.as_ref(), wait)
        {
            // Signs of a cold start may have been missed since the last announcement.
            entry.slow_start.reset();
        }
        let settled = entry.ownership.may_grant(now) || entry.ownership.grants_from() > now;
        Ok(AnnouncementResponse {
            token,
            interval: if settled {
                ANNOUNCEMENT_INTERVAL
            } else {
                HANDSHAKE_INTERVAL
            },
        })
    }

    /// Grants a slot on the upstream with the largest free share.
    ///
    /// # Errors
    ///
    /// Returns the reason why no slot is granted.
    pub fn acquire(
        &mut self,
        request: &Acquire,
        holder: &name::Instance,
        now: Time,
    ) -> Result<Lease, Refusal> {
        if request.hold.is_some_and(|hold| hold > MAX_HOLD) {
            return Err(Refusal::Long);
        }
        let mut best: Option<(u64, usize)> = None;
        let mut refusal = Refusal::NoUpstream;
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let announcement = &entry.announcement;
            if announcement.state == State::Leaving
                || !announcement.serves(&request.target)
                || request.avoid.contains(&announcement.upstream)
                || self.exclusions.excludes(announcement, &request.target)
            {
                continue;
            }
            if !entry.ownership.may_grant(now) {
                if refusal == Refusal::NoUpstream {
                    refusal = Refusal::Waiting(entry.ownership.grants_from());
                }
                continue;
            }
            entry.expire(now);
            let free = entry.free();
            if free == 0 {
                refusal = Refusal::Full;
                continue;
            }
            let share = u64::from(free) * 1_000 / u64::from(entry.slow_start.limit());
            if best.is_none_or(|(other, _)| share > other) {
                best = Some((share, at));
            }
        }
        let (_, at) = best.ok_or(refusal)?;
        Ok(self.grant(at, request.hold, holder, now))
    }

    fn grant(
        &mut self,
        at: usize,
        hold: Option<Span>,
        holder: &name::Instance,
        now: Time,
    ) -> Lease {
        let id = self.next_id;
        self.next_id += 1;
        let entry = &mut self.entries[at];
        entry.grants.push(Grant {
            id,
            holder: holder.clone(),
            until: now + with_clock_drift(START_TIMEOUT.plus(hold.unwrap_or(SLOT_LEASE))),
            held: hold.is_some(),
            epoch: entry.slow_start.epoch(),
        });
        Lease {
            id,
            owner: self.instance.clone(),
            upstream: entry.announcement.upstream.clone(),
            incarnation: entry.announcement.incarnation,
            address: entry.announcement.address.clone(),
            far: None,
        }
    }

    /// Renews a slot.
    pub fn renew(&mut self, upstream: &name::Upstream, id: u64, now: Time) -> Renewal {
        let Ok(at) = self.find(upstream) else {
            return Renewal::Later;
        };
        let entry = &mut self.entries[at];
        if !entry.ownership.may_grant(now) {
            return Renewal::Later;
        }
        entry.expire(now);
        match entry.grants.iter_mut().find(|grant| grant.id == id) {
            Some(grant) => {
                if !grant.held {
                    grant.until = now + with_clock_drift(START_TIMEOUT.plus(SLOT_LEASE));
                }
                Renewal::Renewed
            }
            None => Renewal::Gone,
        }
    }

    /// Records that a slot is released. A repeated or late release has no effect.
    pub fn release(&mut self, upstream: &name::Upstream, id: u64, report: Report, now: Time) {
        let Ok(at) = self.find(upstream) else {
            return;
        };
        let entry = &mut self.entries[at];
        entry.expire(now);
        let Some(at) = entry.grants.iter().position(|grant| grant.id == id) else {
            return;
        };
        let grant = entry.grants.swap_remove(at);
        match report {
            Report::Completed { first_ms } => {
                entry.failures = 0;
                entry.slow_start.completed(first_ms, grant.epoch);
            }
            Report::Refused if grant.epoch == entry.slow_start.epoch() => entry.slow_start.reset(),
            Report::Failed => entry.failed(BROKEN_WEIGHT, grant.epoch),
            Report::NotSent => entry.failed(UNSENT_WEIGHT, grant.epoch),
            Report::Unreachable => {
                entry.failed(UNSENT_WEIGHT, grant.epoch);
                // A process that restarts is cold before its first announcement says so.
                if grant.epoch == entry.slow_start.epoch() {
                    entry.slow_start.reset();
                }
            }
            Report::Refused | Report::Cancelled => {}
        }
    }

    /// Returns the number of free slots and the sum of the limits for a target.
    #[must_use]
    pub fn capacity(&self, target: &Target, now: Time) -> (u32, u32) {
        self.entries
            .iter()
            .filter(|e| {
                e.announcement.serves(target)
                    && e.announcement.state != State::Leaving
                    && e.ownership.may_grant(now)
                    && !self.exclusions.excludes(&e.announcement, target)
            })
            .fold((0, 0), |(free, all), e| {
                (free + e.free(), all + e.slow_start.limit())
            })
    }

    /// Returns the number of slots in use and the limit of an upstream.
    #[must_use]
    pub fn load(&self, upstream: &name::Upstream) -> Option<(u32, u32)> {
        let entry = &self.entries[self.find(upstream).ok()?];
        Some((entry.in_use(), entry.slow_start.limit()))
    }

    /// Returns whether the instance may grant slots on the upstream now.
    #[must_use]
    pub fn owns(&self, upstream: &name::Upstream, now: Time) -> bool {
        self.find(upstream)
            .is_ok_and(|at| self.entries[at].ownership.may_grant(now))
    }

    /// Removes an upstream that no longer exists.
    pub fn forget(&mut self, upstream: &name::Upstream) {
        if let Ok(at) = self.find(upstream) {
            self.entries.remove(at);
        }
    }

    /// Stops granting slots and returns the handover of each owned upstream.
    pub fn hand_over(&mut self, now: Time) -> Vec<Handover> {
        let mut handovers = Vec::new();
        for entry in &mut self.entries {
            entry.expire(now);
            if !entry.ownership.may_grant(now) {
                entry.ownership.relinquish(now);
                continue;
            }
            entry.ownership.relinquish(now);
            let relative = |grant: &Grant| Grant {
                until: Time::ZERO + grant.until.since(now),
                ..grant.clone()
            };
            handovers.push(Handover {
                upstream: entry.announcement.upstream.clone(),
                owner: self.instance.clone(),
                boot: self.boot,
                announcement: entry.announcement.clone(),
                slow_start: entry.slow_start.clone(),
                used: entry.grants.iter().map(relative).collect(),
            });
        }
        handovers
    }

    /// Takes over the slots of an upstream from an owner that stopped granting them.
    pub fn take_over(&mut self, handover: Handover, now: Time) {
        let at = match self.find(&handover.upstream) {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry::new(&handover.announcement, true);
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        if entry.announcement.incarnation > handover.announcement.incarnation
            || entry.ownership.may_grant(now)
        {
            return;
        }
        if !entry
            .ownership
            .accept_handover(handover.owner, handover.boot)
        {
            return;
        }
        entry.slow_start = handover.slow_start;
        for grant in handover.used {
            if entry.grants.iter().all(|own| own.id != grant.id) {
                let left = with_clock_drift(grant.until.since(Time::ZERO));
                entry.grants.push(Grant {
                    until: now + left,
                    ..grant
                });
            }
        }
    }
}
