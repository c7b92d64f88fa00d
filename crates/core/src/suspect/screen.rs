//! Screening of requests by one entry instance of the gateway.
//!
//! A guilty part is refused. A suspect one, or a guilty one in doubt, runs by a permit of the control
//! instances' leader, which hands out one at a time over all instances. Both are checked again right
//! before the request is written, whatever it is for: a first attempt, a retry, a larger model or
//! the rest of a stream.

use std::sync::Arc;

use super::{
    Process, ended,
    evidence::{
        Answer, Change, Charge, Crash, EXPERIMENT_PERMIT, EvidenceSet, Message, Standing, Subject,
        is_permit_name,
    },
};
use crate::{
    fault::Fault,
    limit::{Permit, Rate, Stock, Want},
    time::{Span, Time},
};

/// Time after an answer on a part for which it speaks for the part.
const ANSWER_MEMORY: Span = Span::from_secs(30);

/// Maximum number of parts whose last answers are kept.
const MAX_ANSWERED: usize = 4_096;

/// Time for which a request's want for a permit counts.
const WANT_TTL: Span = Span::from_millis(700);

/// Maximum number of subjects for which permits are wanted at once.
const MAX_WANTS: usize = 64;

/// Time for which no second trial is made on an upstream: a crash would tell nothing of either.
const TRIAL_TIME: Span = Span::from_secs(1);

/// What a new connection to an upstream has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It was accepted.
    Accepted,
    /// The machine answered, and no process listens.
    Refused,
    /// There was no answer.
    Silent,
}

/// Which other upstream has accepted a connection since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Witness {
    /// None.
    None,
    /// One of another failure domain.
    Far,
    /// One of the same failure domain.
    Near,
}

/// Returns whether the process of an upstream has crashed whose connection broke.
///
/// `upstream` is what new connections to it have shown. An instance that is cut off itself may be
/// refused everywhere, and a failure domain that is cut off is silent as a whole. An upstream that is
/// leaving ends as planned.
#[must_use]
pub fn is_crash(upstream: Probe, witness: Witness, is_leaving: bool) -> bool {
    let has_ended = match upstream {
        Probe::Accepted => false,
        Probe::Refused => witness > Witness::None,
        Probe::Silent => witness == Witness::Near,
    };
    has_ended && !is_leaving
}

/// Permission to run a request with suspect or guilty subjects once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The subjects, sorted.
    subjects: Vec<Subject>,
    /// Time until which the request must be sent.
    until: Time,
}

/// The last answers on a part.
#[derive(Clone, Copy, Debug)]
struct Answered {
    part: u64,
    /// Time of the last complete answer.
    complete: Option<Time>,
    /// Time at which an answer last went on well past its beginning.
    progress: Option<Time>,
}

impl Answered {
    /// Returns the later time of the two.
    fn last(&self) -> Option<Time> {
        self.complete.max(self.progress)
    }
}

/// The evidence of an entry instance and its permits.
#[derive(Clone, Debug, Default)]
pub struct Screen {
    set: EvidenceSet,
    /// Sorted by part.
    answered: Vec<Answered>,
    stock: Stock,
    /// Subjects for which requests want permits, sorted, with the time of the last want.
    wants: Vec<(Subject, Time)>,
    /// Time of the last want for an experiment.
    experiment_wanted: Option<Time>,
    ended: ended::Store,
    /// Upstreams on which trials were made, with their times.
    trials: Vec<(Arc<str>, Time)>,
}

impl Screen {
    /// Returns the evidence.
    #[must_use]
    pub const fn set(&self) -> &EvidenceSet {
        &self.set
    }

    /// Returns the standing of a request with these subjects: the worst of its parts, or guilty if
    /// the request itself is.
    #[must_use]
    pub fn standing(&self, subjects: &[Subject]) -> Standing {
        if self.set.is_clear() || Fault::NoBan.is_injected() {
            return Standing::Clear;
        }
        let standing = |s: &Subject| match (s, self.set.standing(*s)) {
            // Its copies are told apart from other causes by their parts.
            (Subject::Request(_), Standing::Suspect) => Standing::Clear,
            (_, standing) => standing,
        };
        subjects
            .iter()
            .map(standing)
            .max()
            .unwrap_or(Standing::Clear)
    }

    /// Returns the subjects that may run by a permit only.
    fn restricted(&self, subjects: &[Subject]) -> Vec<Subject> {
        let is_restricted = |s: &&Subject| self.standing(&[**s]) > Standing::Clear;
        let mut restricted: Vec<_> = subjects.iter().filter(is_restricted).copied().collect();
        restricted.sort_unstable();
        restricted.dedup();
        restricted
    }

    /// Takes the permits that a request needs, or records that they are wanted and returns `None`.
    pub fn try_out(&mut self, subjects: &[Subject], now: Time) -> Option<Trial> {
        let restricted = self.restricted(subjects);
        let lacks = |s: &&Subject| self.stock.count(&s.permit_name(), 0, now) == 0;
        let lacking: Vec<_> = restricted.iter().filter(lacks).copied().collect();
        for subject in &lacking {
            self.want(*subject, now);
        }
        if !lacking.is_empty() {
            return self.try_experiment(subjects, restricted, now);
        }
        let mut until = None;
        for subject in &restricted {
            let end = self.stock.take(&subject.permit_name(), 0, now)?;
            until = until.into_iter().chain([end]).min();
        }
        Some(Trial {
            subjects: restricted,
            until: until?,
        })
    }

    /// Takes the permit for an experiment with a request that may be sound and needs more than the
    /// permit for one suspect part, or records that it is wanted and returns `None`.
    fn try_experiment(
        &mut self,
        subjects: &[Subject],
        restricted: Vec<Subject>,
        now: Time,
    ) -> Option<Trial> {
        let is_single = restricted.len() == 1 && self.standing(subjects) < Standing::Guilty;
        if is_single || Fault::NoExperiment.is_injected() || !self.is_in_doubt(subjects) {
            return None;
        }
        let Some(until) = self.stock.take(EXPERIMENT_PERMIT, 0, now) else {
            self.experiment_wanted = Some(now);
            return None;
        };
        Some(Trial {
            subjects: restricted,
            until,
        })
    }

    /// Returns whether a request with these subjects may be sound although it is restricted.
    #[must_use]
    pub fn is_in_doubt(&self, subjects: &[Subject]) -> bool {
        self.set.is_in_doubt(subjects)
    }

    fn want(&mut self, subject: Subject, now: Time) {
        match self.wants.binary_search_by_key(&subject, |w| w.0) {
            Ok(at) => self.wants[at].1 = now,
            Err(at) if self.wants.len() < MAX_WANTS => self.wants.insert(at, (subject, now)),
            Err(_) => {}
        }
    }

    /// Returns whether a request may be sent now, by its trial if it has one.
    #[must_use]
    pub fn may_send(&self, subjects: &[Subject], trial: Option<&Trial>, now: Time) -> bool {
        if self.standing(subjects) == Standing::Clear {
            return true;
        }
        let is_covered = |s: &Subject| {
            trial.is_some_and(|t| now < t.until && t.subjects.binary_search(s).is_ok())
        };
        self.restricted(subjects).iter().all(is_covered)
    }

    /// Records that a trial is made on an upstream.
    pub fn begin_trial(&mut self, upstream: &Arc<str>, now: Time) {
        self.trials.retain(|(_, at)| now.since(*at) < TRIAL_TIME);
        self.trials.push((upstream.clone(), now));
    }

    /// Returns the upstreams on which a trial was made a moment ago.
    pub fn trials(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let is_recent = move |at: Time| now.since(at) < TRIAL_TIME;
        let recent = self.trials.iter().filter(move |(_, at)| is_recent(*at));
        recent.map(|(upstream, _)| upstream)
    }

    /// Returns the permits that this instance wants.
    pub fn permit_wants(&mut self, now: Time) -> Vec<Want> {
        self.wants.retain(|(_, at)| now.since(*at) < WANT_TTL);
        let want = |(subject, _): &(Subject, Time)| Want {
            upstream: subject.permit_name(),
            incarnation: self.set.ban(*subject).map_or(0, |b| u64::from(b.round)),
            count: 1,
            demand: Rate::default(),
        };
        let experiment = self.experiment_wanted;
        let experiment = experiment
            .filter(|at| now.since(*at) < WANT_TTL)
            .map(|_| Want {
                upstream: EXPERIMENT_PERMIT.into(),
                incarnation: 0,
                count: 1,
                demand: Rate::default(),
            });
        self.wants.iter().map(want).chain(experiment).collect()
    }

    /// Takes over the permits for subjects among those of an answer to a poll sent at `sent`.
    pub fn take_permits(&mut self, permits: &mut Vec<Permit>, sent: Time, now: Time) {
        let own = permits.extract_if(.., |p| is_permit_name(&p.upstream));
        for permit in own {
            // The round only tells the lenders' permits apart.
            let permit = Permit {
                incarnation: 0,
                ..permit
            };
            self.stock.add(&permit, sent, now);
        }
    }

    /// Records that an upstream crashed while it ran a request with these subjects, and charges the
    /// runs with the crash that ended there a moment before.
    pub fn crashed(
        &mut self,
        upstream: &Arc<str>,
        incarnation: u64,
        subjects: &[Subject],
        now: Time,
    ) {
        self.charge(upstream, incarnation, subjects, now, now);
        let is_there = |run: &ended::Run| {
            run.process.upstream == *upstream && run.process.incarnation == incarnation
        };
        let crash = |run: &ended::Run| is_there(run).then_some(now);
        let crashed = self.ended.take_crashed(crash, now);
        self.charge_runs(crashed, now);
    }

    /// Charges subjects with a crash at `at` and returns whether that is new.
    fn charge(
        &mut self,
        upstream: &Arc<str>,
        incarnation: u64,
        subjects: &[Subject],
        at: Time,
        now: Time,
    ) -> bool {
        if subjects.is_empty() {
            return false;
        }
        let mut subjects = subjects.to_vec();
        subjects.sort_unstable();
        subjects.dedup();
        let charge = |subject: &Subject| Charge {
            subject: *subject,
            answer: self.answer(*subject, Answer::Missing, at),
        };
        let crash = Crash {
            upstream: upstream.clone(),
            incarnation,
            age: now.since(at),
            charges: subjects.iter().map(charge).collect(),
        };
        self.set.add(&crash, now)
    }

    /// Charges runs that have ended with crashes at these times and returns whether that is new.
    fn charge_runs(&mut self, crashed: Vec<(ended::Run, Time)>, now: Time) -> bool {
        let mut is_new = false;
        for (run, at) in crashed {
            let process = &run.process;
            let (upstream, incarnation) = (&process.upstream, process.incarnation);
            is_new |= self.charge(upstream, incarnation, &run.subjects, at, now);
        }
        is_new
    }

    /// Charges the runs that have ended with the crashes on record.
    fn charge_known(&mut self, now: Time) -> bool {
        let set = &self.set;
        let crash =
            |run: &ended::Run| set.crash_time(&run.process.upstream, run.process.incarnation);
        let crashed = self.ended.take_crashed(crash, now);
        self.charge_runs(crashed, now)
    }

    /// Records that this side has given up the answer to a request with these subjects. The upstream
    /// may crash under it all the same.
    ///
    /// Returns whether a crash of the upstream is known that it may have caused.
    pub fn left(&mut self, process: &Process, subjects: &[Subject], now: Time) -> bool {
        self.add_ended(process, subjects, false, now);
        self.charge_known(now)
    }

    /// Records that a connection broke and nothing shows why yet.
    pub fn broke(&mut self, process: &Process, subjects: &[Subject], now: Time) {
        self.add_ended(process, subjects, true, now);
    }

    fn add_ended(&mut self, process: &Process, subjects: &[Subject], is_broken: bool, now: Time) {
        let run = ended::Run {
            process: process.clone(),
            subjects: subjects.to_vec(),
            at: now,
            is_broken,
            is_watched: !self.are_trusted(subjects, now),
            looks: 0,
        };
        self.ended.add(run, now);
    }

    /// Records that the process has answered a request completely. A connection that broke well before
    /// was no sign of a crash.
    pub fn survived(&mut self, process: &Process, now: Time) {
        self.ended.forget_survived(process, now);
    }

    /// Returns the upstreams to look at now, with their incarnations: runs with parts that no answer
    /// speaks for ended there a moment ago.
    pub fn due_looks(&mut self, now: Time) -> Vec<(Arc<str>, u64)> {
        self.ended.due_looks(now)
    }

    /// Takes a later process in the place of another one as the sign that the earlier one crashed.
    ///
    /// `is_replaced` returns whether a later process is listed in the place of one that did not announce
    /// its end.
    pub fn detect_restarts<F>(&mut self, is_replaced: F, now: Time)
    where
        F: Fn(&Process) -> bool,
    {
        let mut replaced = self.ended.broken();
        replaced.retain(|process| is_replaced(process));
        if replaced.is_empty() {
            return;
        }
        let has_crashed =
            |run: &ended::Run| run.is_broken && replaced.binary_search(&run.process).is_ok();
        let crash = |run: &ended::Run| has_crashed(run).then_some(now);
        let crashed = self.ended.take_crashed(crash, now);
        self.charge_runs(crashed, now);
    }

    /// Returns which answer speaks for a subject that was charged with a crash at `at`, if `known`
    /// did so far.
    fn answer(&self, subject: Subject, known: Answer, at: Time) -> Answer {
        let Subject::Part(part) = subject else {
            return Answer::Missing;
        };
        let Ok(index) = self.answered.binary_search_by_key(&part, |a| a.part) else {
            return Answer::Missing;
        };
        let answered = self.answered[index];
        let is_cleared = answered.complete.is_some_and(|t| t > at)
            || (known == Answer::Missing && answered.progress.is_some_and(|t| t > at));
        let is_recent = |t: Option<Time>| t.is_some_and(|t| t > at || at.since(t) < ANSWER_MEMORY);
        if is_cleared {
            Answer::After
        } else if is_recent(answered.last()) {
            Answer::Before
        } else {
            Answer::Missing
        }
    }

    /// Returns whether all parts among the subjects were answered a short time ago.
    #[must_use]
    pub fn are_trusted(&self, subjects: &[Subject], now: Time) -> bool {
        let is_trusted = |s: &Subject| match s {
            Subject::Part(_) => self.answer(*s, Answer::Missing, now) != Answer::Missing,
            Subject::Request(_) => true,
        };
        subjects.iter().all(is_trusted)
    }

    /// Records a complete answer to a request with these subjects.
    ///
    /// Returns whether that is new evidence.
    pub fn answered(&mut self, subjects: &[Subject], now: Time) -> bool {
        self.remember(subjects, |answered| answered.complete = Some(now), now);
        self.set.answered(subjects, now)
    }

    /// Records an answer to a request with these subjects that goes on well past its beginning.
    ///
    /// It speaks for the parts only. Returns whether that is new evidence.
    pub fn progressed(&mut self, subjects: &[Subject], now: Time) -> bool {
        let is_part = |s: &&Subject| matches!(s, Subject::Part(_));
        let parts: Vec<Subject> = subjects.iter().filter(is_part).copied().collect();
        self.remember(&parts, |answered| answered.progress = Some(now), now);
        self.set.progressed(&parts, now)
    }

    /// Calls `set` with the entries of the parts among the subjects.
    fn remember<F>(&mut self, subjects: &[Subject], set: F, now: Time)
    where
        F: Fn(&mut Answered),
    {
        for subject in subjects {
            let Subject::Part(part) = *subject else {
                continue;
            };
            if let Ok(at) = self.answered.binary_search_by_key(&part, |a| a.part) {
                set(&mut self.answered[at]);
                continue;
            }
            if self.answered.len() >= MAX_ANSWERED {
                let is_recent = |t: Time| now.since(t) < ANSWER_MEMORY;
                self.answered.retain(|a| a.last().is_some_and(is_recent));
                if self.answered.len() >= MAX_ANSWERED {
                    continue;
                }
            }
            if let Err(at) = self.answered.binary_search_by_key(&part, |a| a.part) {
                let mut answered = Answered {
                    part,
                    complete: None,
                    progress: None,
                };
                set(&mut answered);
                self.answered.insert(at, answered);
            }
        }
    }

    /// Returns the changes of judgements since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.set.take_changes()
    }

    /// Merges evidence from a control instance. Returns whether this instance knows more about it,
    /// which the others need.
    pub fn merge(&mut self, message: &Message, now: Time) -> bool {
        if message.crashes.is_empty() && message.bans.is_empty() {
            return false;
        }
        self.set.merge(message, now);
        let mut set = std::mem::take(&mut self.set);
        let is_new = set.apply_answers(|c, at| self.answer(c.subject, c.answer, at), now);
        self.set = set;
        self.charge_known(now) || is_new
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Time) {
        self.set.expire(now);
        self.stock.expire(now);
    }
}
