//! Crash evidence and the judgement that follows from it.

mod judgement;

use std::sync::Arc;

pub use self::judgement::Change;
use self::judgement::{Count, Judgement};

use crate::{
    digest,
    limit::Rate,
    request::Fingerprint,
    time::{Span, Time},
};

/// Crashes at which a request is guilty.
pub const REQUEST_CRASHES: u32 = 2;

/// Crashes at which a part of a prompt is guilty.
pub const PART_CRASHES: u32 = 3;

/// Time for which a crash counts.
pub(super) const RETENTION: Span = Span::from_secs(120);

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// Maximum number of charges of one crash: those of 64 requests with five parts each.
const MAX_CHARGES: usize = 1_024;

/// Maximum number of bans that are kept.
const MAX_BANS: usize = 256;

/// Time for which a subject has to be guilty until it is banned beyond the retention of the
/// evidence. Answers that clear it arrive meanwhile.
const BAN_DELAY: Span = Span::from_secs(2);

/// Time from a ban until its first trial. It doubles with each trial.
const TRIAL_DELAY: Span = Span::from_secs(60);

/// Maximum number of times that [`TRIAL_DELAY`] doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Rate at which requests with a suspect part run over all instances. A crash and the evidence about
/// it take less than a second to reach the leader of the control instances.
const SUSPECT_RATE: Rate = Rate::from_milli(1_000);

/// Prefix of the names under which permits for subjects are requested.
const PERMIT_PREFIX: &str = "suspect/";

/// Distance, in the upper 16 bits, between the digest of a part and that of the same part in requests
/// of one kind. It is arbitrary, and the lower bits tell the kinds apart.
const KIND_MARK: u64 = 0x51ed;

/// Name under which the permit for an experiment is requested: one request, over all instances,
/// that tells parts apart which ran together.
pub const EXPERIMENT_PERMIT: &str = "suspect/experiment";

plain! {
    /// What a crash may be due to.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Subject {
        /// A part of the prompt, or one in requests of one kind only, by its digest.
        Part(u64),
        /// A request and its copies.
        Request(Fingerprint),
    }

    /// Which answer speaks for a subject.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Answer {
        /// None.
        Missing,
        /// One shortly before the crash.
        Before,
        /// One after the crash, which clears the subject.
        After,
    }

    /// A subject that ran on an upstream when it crashed.
    #[derive(Copy, Eq)]
    pub struct Charge {
        /// The subject.
        pub subject: Subject,
        /// The answer that speaks for it.
        pub answer: Answer,
    }

    /// The end of an upstream's process under the requests that it ran.
    #[derive(Eq)]
    pub struct Crash {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Incarnation of the upstream.
        pub incarnation: u64,
        /// Time since the crash.
        pub age: Span,
        /// What ran there, sorted by subject.
        pub charges: Vec<Charge>,
    }

    /// The ban of a guilty subject.
    #[derive(Copy, Eq)]
    pub struct Ban {
        /// The subject.
        pub subject: Subject,
        /// Number of trials since the first ban.
        pub round: u32,
        /// Whether a complete answer has ended the ban.
        pub lifted: bool,
    }

    /// Evidence and bans that an instance sends to another one.
    #[derive(Eq, Default)]
    pub struct Message {
        /// Crashes.
        pub crashes: Vec<Crash>,
        /// Bans.
        pub bans: Vec<Ban>,
    }
}

/// What the evidence says about a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing that an answer has not refuted.
    Clear,
    /// It may have caused a crash.
    Suspect,
    /// It crashes upstreams.
    Guilty,
}

/// A crash with its time and the revisions of the set in which it and its charges last changed.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    at: Time,
    revision: u64,
    /// For each charge, at the same position.
    charge_revisions: Vec<u64>,
}

impl KnownCrash {
    /// Returns what changed after a revision of the set.
    fn since(&self, revision: u64, now: Time) -> Crash {
        let charges = self.crash.charges.iter().zip(&self.charge_revisions);
        let changed = charges.filter(|(_, changed)| **changed > revision);
        Crash {
            upstream: self.crash.upstream.clone(),
            incarnation: self.crash.incarnation,
            age: now.since(self.at),
            charges: changed.map(|(charge, _)| *charge).collect(),
        }
    }
}

/// A ban with the time of its next trial and the revision of the set in which it last changed.
#[derive(Clone, Debug)]
struct KnownBan {
    ban: Ban,
    due: Time,
    revision: u64,
}

/// All crash evidence that an instance has, and the bans.
///
/// Crashes are merged by upstream and incarnation, charges by subject and bans by round, each to the
/// stronger statement. Evidence that is merged in any order and any number of times therefore gives
/// the same judgement.
#[derive(Clone, Debug, Default)]
pub struct EvidenceSet {
    /// Sorted by upstream and incarnation.
    crashes: Vec<KnownCrash>,
    /// Sorted by subject.
    bans: Vec<KnownBan>,
    /// Sorted by subject.
    judgements: Vec<Judgement>,
    /// The crashes of all subjects as of the last judgement, sorted by subject.
    counts: Vec<Count>,
    /// Changes of judgements that were not taken yet.
    changes: Vec<Change>,
    /// Number of changes.
    revision: u64,
}

impl Subject {
    /// Returns a part of the prompt in requests of one kind, which may crash upstreams where requests
    /// of other kinds with the part don't.
    #[must_use]
    pub const fn of_kind(part: u64, kind: u64) -> Self {
        Self::Part(part.wrapping_add((KIND_MARK << 48) | (digest::mix(kind) >> 16)))
    }

    /// Returns the part with the lowest digest of which this may be the part in requests of one kind, in
    /// the order in which digests go round, or `None` for a request.
    const fn least_part(self) -> Option<Self> {
        match self {
            Self::Part(own) => {
                let farthest = (KIND_MARK << 48) | (u64::MAX >> 16);
                Some(Self::Part(own.wrapping_sub(farthest)))
            }
            Self::Request(_) => None,
        }
    }

    /// Returns whether this is the other part in requests of one kind, so that all requests with this
    /// one have the other one too.
    #[must_use]
    pub const fn is_kind_of(self, other: Self) -> bool {
        match (self, other) {
            (Self::Part(own), Self::Part(other)) => own.wrapping_sub(other) >> 48 == KIND_MARK,
            _ => false,
        }
    }

    /// Returns the name under which permits for the subject are requested.
    #[must_use]
    pub fn permit_name(self) -> Arc<str> {
        match self {
            Self::Part(part) => format!("{PERMIT_PREFIX}part/{part:016x}").into(),
            Self::Request(fingerprint) => format!("{PERMIT_PREFIX}request/{fingerprint}").into(),
        }
    }

    /// Returns the number of crashes at which the subject is guilty.
    const fn limit(self) -> u32 {
        match self {
            Self::Part(_) => PART_CRASHES,
            Self::Request(_) => REQUEST_CRASHES,
        }
    }
}

/// Returns whether permits are requested for a subject under this name.
#[must_use]
pub fn is_permit_name(name: &str) -> bool {
    name.starts_with(PERMIT_PREFIX)
}

impl Ban {
    /// Returns how late in the history of the subject the ban is.
    const fn order(self) -> (u32, bool) {
        (self.round, self.lifted)
    }

    /// Returns the time until its next trial.
    fn trial_delay(self) -> Span {
        TRIAL_DELAY.times(1 << self.round.min(MAX_DOUBLINGS))
    }
}

impl EvidenceSet {
    /// Returns the number of changes of the set.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    fn find(&self, upstream: &str, incarnation: u64) -> Result<usize, usize> {
        let key = |k: &KnownCrash| (*k.crash.upstream).cmp(upstream);
        self.crashes
            .binary_search_by(|k| key(k).then(k.crash.incarnation.cmp(&incarnation)))
    }

    /// Returns whether a crash of the incarnation of the upstream is known.
    #[must_use]
    pub fn has_crash(&self, upstream: &str, incarnation: u64) -> bool {
        self.find(upstream, incarnation).is_ok()
    }

    /// Returns when the incarnation of the upstream crashed, if that is known.
    #[must_use]
    pub fn crash_time(&self, upstream: &str, incarnation: u64) -> Option<Time> {
        let at = self.find(upstream, incarnation).ok()?;
        Some(self.crashes[at].at)
    }

    /// Merges a crash and returns whether anything is new.
    pub fn add(&mut self, crash: &Crash, now: Time) -> bool {
        let is_new = self.merge_crash(crash, now);
        if is_new {
            self.judge(now);
        }
        is_new
    }

    fn merge_crash(&mut self, crash: &Crash, now: Time) -> bool {
        if crash.age >= RETENTION {
            return false;
        }
        let next = self.revision + 1;
        let at = match self.find(&crash.upstream, crash.incarnation) {
            Ok(at) => at,
            Err(_) if self.is_too_old(now - crash.age) => return false,
            Err(at) => {
                let known = KnownCrash {
                    crash: Crash {
                        charges: Vec::new(),
                        ..crash.clone()
                    },
                    at: now - crash.age,
                    revision: next,
                    charge_revisions: Vec::new(),
                };
                self.crashes.insert(at, known);
                at
            }
        };
        let known = &mut self.crashes[at];
        let mut is_new = known.crash.charges.is_empty();
        for charge in &crash.charges {
            let charges = &mut known.crash.charges;
            match charges.binary_search_by_key(&charge.subject, |c| c.subject) {
                Ok(at) if charges[at].answer < charge.answer => {
                    charges[at].answer = charge.answer;
                    known.charge_revisions[at] = next;
                }
                Err(at) if charges.len() < MAX_CHARGES => {
                    charges.insert(at, *charge);
                    known.charge_revisions.insert(at, next);
                }
                Ok(_) | Err(_) => continue,
            }
            is_new = true;
        }
        if is_new {
            known.revision = next;
            self.revision = next;
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|at| self.crashes[*at].at);
            oldest.map(|at| self.crashes.remove(at));
        }
        is_new
    }

    /// Returns whether the record is full of crashes no older than one at that time.
    fn is_too_old(&self, at: Time) -> bool {
        self.crashes.len() >= MAX_CRASHES && self.crashes.iter().all(|k| k.at >= at)
    }

    /// Merges the evidence and bans of another instance and returns whether anything is new.
    pub fn merge(&mut self, message: &Message, now: Time) -> bool {
        let mut is_new = false;
        for crash in &message.crashes {
            is_new |= self.merge_crash(crash, now);
        }
        for ban in &message.bans {
            is_new |= self.merge_ban(*ban, now);
        }
        if is_new {
            self.judge(now);
        }
        is_new
    }

    fn merge_ban(&mut self, ban: Ban, now: Time) -> bool {
        let known = KnownBan {
            ban,
            due: now + ban.trial_delay(),
            revision: self.revision + 1,
        };
        match self
            .bans
            .binary_search_by_key(&ban.subject, |b| b.ban.subject)
        {
            Ok(at) if self.bans[at].ban.order() >= ban.order() => return false,
            Ok(at) => self.bans[at] = known,
            Err(at) => {
                if self.bans.len() >= MAX_BANS {
                    return false;
                }
                self.bans.insert(at, known);
            }
        }
        self.revision += 1;
        true
    }

    /// Returns what changed after a revision of this set.
    #[must_use]
    pub fn since(&self, revision: u64, now: Time) -> Message {
        let crashes = self.crashes.iter().filter(|k| k.revision > revision);
        let bans = self.bans.iter().filter(|b| b.revision > revision);
        Message {
            crashes: crashes.map(|k| k.since(revision, now)).collect(),
            bans: bans.map(|b| b.ban).collect(),
        }
    }

    /// Applies what is known about answers to the subjects of all crashes.
    ///
    /// `answer` returns which answer speaks for the subject of a charge with a crash at that time.
    /// Returns whether that changed the evidence.
    pub fn apply_answers<F>(&mut self, answer: F, now: Time) -> bool
    where
        F: Fn(&Charge, Time) -> Answer,
    {
        let next = self.revision + 1;
        let mut is_new = false;
        for known in &mut self.crashes {
            let charges = known.crash.charges.iter_mut();
            for (charge, revision) in charges.zip(&mut known.charge_revisions) {
                if charge.answer == Answer::After {
                    continue;
                }
                let answer = answer(charge, known.at);
                if answer > charge.answer {
                    charge.answer = answer;
                    *revision = next;
                    known.revision = next;
                    is_new = true;
                }
            }
        }
        if is_new {
            self.revision = next;
            self.judge(now);
        }
        is_new
    }

    /// Records a complete answer on the subjects, which clears them of all crashes so far and lifts
    /// their bans. Returns whether that changed the evidence.
    pub fn answered(&mut self, subjects: &[Subject], now: Time) -> bool {
        if self.crashes.is_empty() && self.bans.is_empty() {
            return false;
        }
        let cleared = |charge: &Charge, _| {
            if subjects.contains(&charge.subject) {
                Answer::After
            } else {
                Answer::Missing
            }
        };
        let is_new = self.apply_answers(cleared, now);
        self.lift_bans(subjects, is_new, now)
    }

    /// Records an answer on the parts that goes on well past the time at which a guilty part crashes
    /// its upstream. Returns whether that changed the evidence.
    ///
    /// It clears the parts of crashes before which no answer on them is known. A part that crashes
    /// upstreams late has such answers, so the crashes after them count until one is complete.
    pub fn progressed(&mut self, parts: &[Subject], now: Time) -> bool {
        if self.crashes.is_empty() && self.bans.is_empty() {
            return false;
        }
        let cleared = |charge: &Charge, _| {
            if charge.answer == Answer::Missing && parts.contains(&charge.subject) {
                Answer::After
            } else {
                Answer::Missing
            }
        };
        let is_new = self.apply_answers(cleared, now);
        self.lift_bans(parts, is_new, now)
    }

    /// Lifts the bans of subjects for which an answer speaks. `is_new` is whether the answer has
    /// changed the evidence, and so is the result.
    fn lift_bans(&mut self, subjects: &[Subject], mut is_new: bool, now: Time) -> bool {
        for subject in subjects {
            let lifted = self.ban(*subject).map(|ban| Ban {
                lifted: true,
                ..ban
            });
            is_new |= lifted.is_some_and(|ban| self.merge_ban(ban, now));
        }
        if is_new {
            self.judge(now);
        }
        is_new
    }

    /// Returns the changes of judgements since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the crashes of which a subject was not cleared, as upstreams and incarnations.
    #[must_use]
    pub fn crashes(&self, subject: Subject) -> Vec<(Arc<str>, u64)> {
        let is_charged = |k: &&KnownCrash| {
            let charges = &k.crash.charges;
            charges
                .binary_search_by_key(&subject, |c| c.subject)
                .is_ok_and(|at| charges[at].answer < Answer::After)
        };
        let crashes = self.crashes.iter().filter(is_charged);
        crashes
            .map(|k| (k.crash.upstream.clone(), k.crash.incarnation))
            .collect()
    }

    /// Returns whether no subject is suspect or guilty.
    #[must_use]
    pub const fn is_clear(&self) -> bool {
        self.judgements.is_empty()
    }

    /// Returns what the evidence says about a subject.
    #[must_use]
    pub fn standing(&self, subject: Subject) -> Standing {
        let found = self
            .judgements
            .binary_search_by_key(&subject, |j| j.subject);
        found.map_or(Standing::Clear, |at| self.judgements[at].standing)
    }

    /// Returns the numbers of suspect and guilty subjects.
    #[must_use]
    pub fn totals(&self) -> (usize, usize) {
        let guilty = self.judgements.iter();
        let guilty = guilty.filter(|j| j.standing == Standing::Guilty).count();
        (self.judgements.len() - guilty, guilty)
    }

    /// Returns the ban of a subject that is not lifted.
    #[must_use]
    pub fn ban(&self, subject: Subject) -> Option<Ban> {
        self.known_ban(subject).map(|known| known.ban)
    }

    fn known_ban(&self, subject: Subject) -> Option<&KnownBan> {
        let found = self.bans.binary_search_by_key(&subject, |b| b.ban.subject);
        let known = &self.bans[found.ok()?];
        (!known.ban.lifted).then_some(known)
    }

    /// Bans the subjects that have been guilty for some time and returns them.
    pub fn ban_guilty(&mut self, now: Time) -> Vec<Subject> {
        let due = self.judgements.iter().filter(|j| {
            j.standing == Standing::Guilty
                && now.since(j.since) >= BAN_DELAY
                && self.ban(j.subject).is_none()
        });
        let due: Vec<_> = due.map(|j| j.subject).collect();
        for subject in &due {
            let found = self.bans.binary_search_by_key(subject, |b| b.ban.subject);
            let last = found.ok().map(|at| self.bans[at].ban.round);
            let ban = Ban {
                subject: *subject,
                round: last.map_or(0, |round| round + 1),
                lifted: false,
            };
            self.merge_ban(ban, now);
        }
        due
    }

    /// Returns the rate of the permits for a subject, or `None` if it may not run now.
    ///
    /// Only the leader of the control instances makes permits, so only it decides on a trial.
    #[must_use]
    pub fn permit_rate(&self, name: &str, round: u64, is_leader: bool, now: Time) -> Option<Rate> {
        if name == EXPERIMENT_PERMIT {
            return (!self.is_clear()).then_some(SUSPECT_RATE);
        }
        let judgement = self
            .judgements
            .iter()
            .find(|j| *j.subject.permit_name() == *name)?;
        match (judgement.standing, self.known_ban(judgement.subject)) {
            (Standing::Suspect, _) => Some(SUSPECT_RATE),
            (Standing::Guilty, Some(known)) => {
                let is_due = now >= known.due && u64::from(known.ban.round) == round;
                (is_due || !is_leader).then_some(SUSPECT_RATE)
            }
            (Standing::Guilty | Standing::Clear, _) => None,
        }
    }

    /// Records that a permit was handed out. The next trial of a ban comes later.
    pub fn permit_issued(&mut self, name: &str, now: Time) {
        let banned = self
            .bans
            .iter()
            .find(|b| !b.ban.lifted && *b.ban.subject.permit_name() == *name);
        if let Some(ban) = banned.map(|b| b.ban) {
            let round = ban.round + 1;
            self.merge_ban(Ban { round, ..ban }, now);
        }
    }

    /// Makes the trials of all bans due, because a service has a new version.
    pub fn reconsider(&mut self, now: Time) {
        for known in &mut self.bans {
            known.due = known.due.min(now);
        }
    }

    /// Drops old crashes.
    pub fn expire(&mut self, now: Time) {
        let before = self.crashes.len();
        self.crashes.retain(|k| now.since(k.at) < RETENTION);
        if self.crashes.len() < before {
            self.judge(now);
        }
    }
}
