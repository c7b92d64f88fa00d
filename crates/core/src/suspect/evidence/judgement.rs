//! The judgement about subjects.

use super::{
    Answer, Ban, Charge, EvidenceSet, KnownCrash, MAX_CRASHES, PART_CRASHES, Standing, Subject,
};
use crate::time::Time;

/// Crashes that don't count against a part that was answered shortly before the first of them.
const CRASHES_AFTER_ANSWER: u32 = 3;

/// Crashes at which another part may be the cause of crashes instead of a guilty one.
const RIVAL_CRASHES: u32 = PART_CRASHES - 1;

/// Crashes of a guilty part that no other one explains and that leave it in doubt: one may have
/// another cause.
const UNEXPLAINED_CRASHES: u32 = 1;

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

/// The judgement about a subject that is not clear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Judgement {
    /// The subject.
    pub subject: Subject,
    /// What the evidence says.
    pub standing: Standing,
    /// Time from which on it says so.
    pub since: Time,
}

/// A change of the judgement about a subject, with the crashes that no answer and no guilty part
/// explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The subject.
    pub subject: Subject,
    /// What the evidence says now.
    pub standing: Standing,
    /// Crashes without an answer shortly before.
    pub missing: u32,
    /// Crashes shortly after an answer.
    pub before: u32,
}

// A set of crashes is a word with a bit for each.
const _: () = assert!(MAX_CRASHES <= u64::BITS as usize);

/// The crashes of which a subject was not cleared, as bits by their positions.
#[derive(Clone, Copy, Debug)]
pub(super) struct Count {
    /// The subject.
    pub subject: Subject,
    /// Crashes without an answer shortly before.
    missing: u64,
    /// Crashes shortly after an answer.
    before: u64,
    /// For a part in requests of one kind, whether this kind lacks an answer that the part itself has.
    lacks_answer: Option<bool>,
}

impl Count {
    /// Returns whether the crashes say more than those of another subject. Those of a part in requests
    /// of one kind do so only if the part itself has an answer that this kind lacks.
    fn is_counted(&self) -> bool {
        self.lacks_answer != Some(false)
    }

    const fn crashes(&self) -> u64 {
        self.missing | self.before
    }

    /// Returns the crashes without those that a guilty part explains.
    const fn without(&self, explained: u64) -> Self {
        Self {
            subject: self.subject,
            missing: self.missing & !explained,
            before: self.before & !explained,
            lacks_answer: self.lacks_answer,
        }
    }

    /// Returns the number of crashes that count.
    const fn total(&self) -> u32 {
        let before = self.before.count_ones();
        self.missing.count_ones() + before.saturating_sub(CRASHES_AFTER_ANSWER)
    }

    /// Returns whether other parts may have caused these crashes.
    ///
    /// A part that is answered while upstreams crash is a cause only if it ran in each crash.
    fn is_explained_by(&self, others: &[&Self]) -> bool {
        let crashes = self.crashes();
        if crashes.count_ones() < RIVAL_CRASHES {
            return false;
        }
        let rivals = others
            .iter()
            .filter(|o| o.missing.count_ones() >= RIVAL_CRASHES);
        let of_rivals = rivals.fold(0, |all, rival| all | rival.crashes());
        let explained = (crashes & of_rivals).count_ones();
        let is_enough =
            explained >= RIVAL_CRASHES && crashes.count_ones() - explained <= UNEXPLAINED_CRASHES;
        is_enough || others.iter().any(|o| crashes & !o.crashes() == 0)
    }
}

const fn is_part(subject: Subject) -> bool {
    matches!(subject, Subject::Part(_))
}

/// Returns the charge of the part of which the subject is that of one kind, among sorted charges.
fn part_of(charges: &[Charge], subject: Subject) -> Option<&Charge> {
    let least = subject.least_part()?;
    let at = charges.partition_point(|c| c.subject < least);
    // The digests go round.
    let next = charges.get(at).filter(|c| is_part(c.subject));
    let found = next.or(charges.first())?;
    subject.is_kind_of(found.subject).then_some(found)
}

impl EvidenceSet {
    /// Counts the crashes of all subjects, sorted by subject.
    fn count_charges(&self) -> Vec<Count> {
        let mut counts: Vec<Count> = Vec::new();
        for (at, known) in self.crashes.iter().enumerate() {
            let crash = 1 << at;
            let charges = &known.crash.charges;
            counts.extend(charges.iter().filter_map(|charge| {
                let (missing, before) = match charge.answer {
                    Answer::Missing => (crash, 0),
                    Answer::Before => (0, crash),
                    Answer::After => return None,
                };
                let part = part_of(charges, charge.subject);
                Some(Count {
                    subject: charge.subject,
                    missing,
                    before,
                    lacks_answer: part.map(|part| part.answer > charge.answer),
                })
            }));
        }
        counts.sort_unstable_by_key(|c| c.subject);
        counts.dedup_by(|next, kept| {
            let is_same = next.subject == kept.subject;
            if is_same {
                kept.missing |= next.missing;
                kept.before |= next.before;
                kept.lacks_answer = kept.lacks_answer.max(next.lacks_answer);
            }
            is_same
        });
        counts
    }

    fn count(&self, subject: Subject) -> Option<&Count> {
        let found = self.counts.binary_search_by_key(&subject, |c| c.subject);
        found.ok().map(|at| &self.counts[at])
    }

    /// Adds the banned parts of a kind and those that cause crashes to the guilty ones, the worst one
    /// first, with the crashes that they explain.
    fn convict<F>(&self, guilty: &mut Vec<Subject>, explained: &mut u64, of_kind: F) -> Vec<Count>
    where
        F: Fn(Option<&Count>) -> bool,
    {
        for ban in self.bans.iter().filter(|b| !b.ban.lifted) {
            let subject = ban.ban.subject;
            let count = self.count(subject);
            if is_part(subject) && of_kind(count) {
                *explained |= count.map_or(0, Count::crashes);
                guilty.push(subject);
            }
        }
        let mut causes: Vec<Count> = Vec::new();
        loop {
            let parts = self
                .counts
                .iter()
                .filter(|c| c.is_counted() && is_part(c.subject) && of_kind(Some(*c)));
            let parts = parts.map(|c| c.without(*explained));
            let convictable = parts.clone().filter(|c| c.total() >= c.subject.limit());
            let Some(worst) = convictable.max_by_key(|c| (c.missing.count_ones(), c.total()))
            else {
                return causes;
            };
            let is_alike = |c: &Count| c.total() == worst.total() && c.crashes() == worst.crashes();
            let alike: Vec<Count> = parts.filter(is_alike).collect();
            guilty.extend(alike.iter().map(|c| c.subject));
            causes.extend(alike);
            *explained |= worst.crashes();
        }
    }

    /// Judges all subjects anew.
    ///
    /// The part with the most crashes explains them for all other subjects; crashes shortly after an
    /// answer say less. Parts that only ever ran together can't be told apart. What a part explains is
    /// no sign against another part in requests of one kind, but not the reverse: one that only guilty
    /// requests of a kind have would hide their cause.
    pub(super) fn judge(&mut self, now: Time) {
        self.lift_refuted(now);
        self.counts = self.count_charges();
        let mut guilty: Vec<Subject> = Vec::new();
        let mut explained = 0;
        let is_whole = |count: Option<&Count>| count.is_none_or(|c| c.lacks_answer.is_none());
        let mut causes = self.convict(&mut guilty, &mut explained, is_whole);
        causes.extend(self.convict(&mut guilty, &mut explained, |_| true));
        let banned = self.bans.iter().filter(|b| !b.ban.lifted);
        guilty.extend(banned.map(|b| b.ban.subject));
        guilty.sort_unstable();
        guilty.dedup();
        let others = self.counts.iter().filter(|c| c.is_counted());
        let others = others.map(|c| c.without(explained));
        let others: Vec<Count> = others.filter(|c| c.crashes() != 0).collect();
        let mut judgements: Vec<Judgement> = Vec::new();
        let mut add = |subject, standing| {
            let known = self
                .judgements
                .binary_search_by_key(&subject, |j| j.subject)
                .map(|at| self.judgements[at]);
            let since = known.ok().filter(|k| k.standing == standing);
            judgements.push(Judgement {
                subject,
                standing,
                since: since.map_or(now, |k| k.since),
            });
        };
        for subject in &guilty {
            add(*subject, Standing::Guilty);
        }
        for count in &others {
            if guilty.binary_search(&count.subject).is_ok() {
                continue;
            }
            if count.total() >= count.subject.limit() {
                add(count.subject, Standing::Guilty);
            } else if count.total() > 0 {
                add(count.subject, Standing::Suspect);
            }
        }
        judgements.sort_unstable_by_key(|j| j.subject);
        causes.extend(others);
        self.record_changes(&judgements, &causes);
        self.judgements = judgements;
    }

    /// Lifts the bans of subjects that answers have cleared of all crashes on record. Such answers
    /// may arrive after the ban, or before an instance learns of it.
    fn lift_refuted(&mut self, now: Time) {
        let banned = self.bans.iter().filter(|b| !b.ban.lifted).map(|b| b.ban);
        let refuted: Vec<Ban> = banned.filter(|ban| self.is_refuted(ban.subject)).collect();
        for ban in refuted {
            self.merge_ban(
                Ban {
                    lifted: true,
                    ..ban
                },
                now,
            );
        }
    }

    /// Returns whether there are crashes on record with which a subject was charged, and it was
    /// cleared of all.
    fn is_refuted(&self, subject: Subject) -> bool {
        let of_subject = |known: &KnownCrash| {
            let charges = &known.crash.charges;
            let found = charges.binary_search_by_key(&subject, |c| c.subject);
            found.ok().map(|at| charges[at].answer)
        };
        let mut answers = self.crashes.iter().filter_map(of_subject).peekable();
        answers.peek().is_some() && answers.all(|answer| answer == Answer::After)
    }

    /// Keeps the differences between the present judgements and the next ones.
    fn record_changes(&mut self, next: &[Judgement], counts: &[Count]) {
        let standing_in = |judgements: &[Judgement], subject: Subject| {
            let found = judgements.binary_search_by_key(&subject, |j| j.subject);
            found.map_or(Standing::Clear, |at| judgements[at].standing)
        };
        let cleared = self.judgements.iter().map(|j| j.subject);
        let mut subjects: Vec<Subject> = cleared.chain(next.iter().map(|j| j.subject)).collect();
        subjects.sort_unstable();
        subjects.dedup();
        for subject in subjects {
            let standing = standing_in(next, subject);
            let is_same = standing == standing_in(&self.judgements, subject);
            if is_same || self.changes.len() >= MAX_CHANGES {
                continue;
            }
            let count = counts.iter().find(|c| c.subject == subject);
            self.changes.push(Change {
                subject,
                standing,
                missing: count.map_or(0, |c| c.missing.count_ones()),
                before: count.map_or(0, |c| c.before.count_ones()),
            });
        }
    }

    /// Returns whether a request with these subjects may be sound although parts of it are suspect
    /// or guilty, so that running it tells them from others.
    ///
    /// A guilty part is in doubt while parts that the request does not have may have caused all its
    /// crashes, except one for another reason. A request with the part that is the cause fails this
    /// as soon as there are a few crashes.
    #[must_use]
    pub fn is_in_doubt(&self, subjects: &[Subject]) -> bool {
        let is_guilty = |s: &&Subject| self.standing(**s) == Standing::Guilty;
        let guilty: Vec<Subject> = subjects.iter().filter(is_guilty).copied().collect();
        if guilty.is_empty() {
            return true;
        }
        // The parts of the request in other kinds of requests are no other parts.
        let is_own = |other: Subject| {
            let mut own = subjects.iter();
            own.any(|s| *s == other || other.is_kind_of(*s))
        };
        let parts = self.counts.iter();
        let parts = parts.filter(|c| c.is_counted() && is_part(c.subject));
        let others: Vec<&Count> = parts.filter(|c| !is_own(c.subject)).collect();
        guilty.iter().all(|subject| {
            let count = self.count(*subject).filter(|c| c.is_counted());
            count.is_some_and(|count| count.is_explained_by(&others))
        })
    }
}
