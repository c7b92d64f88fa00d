//! Parts of prompts that crash upstreams, beside sound requests that share their other parts.
//!
//! The decision code of entry and control instances runs on virtual time: the screens of up to 320
//! entry instances, the evidence of the control instances, and the permits of their leader.

use std::sync::Arc;

use masticlock_core::{
    digest,
    limit::{Issuer, Permit, Want},
    request::Fingerprint,
    suspect::{EvidenceSet, Progress, Screen, Standing, Subject, Trial},
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the virtual time.
const STEP: Span = Span::from_millis(10);

/// Interval of the polls of an entry instance, in steps.
const POLL: u64 = 20;

/// Interval of the polls between control instances, in steps.
const PEER_POLL: u64 = 15;

/// Interval at which a request that waits for a permit asks again, in steps.
const HOLD_RETRY: u64 = 3;

/// Longest time that a request waits for a permit.
const MAX_HOLD: Span = Span::from_millis(1_500);

/// Time from sending a request until the head of its answer.
const HEAD_TIME: Span = Span::from_millis(60);

/// Time between two events of an answer.
const EVENT_INTERVAL: Span = Span::from_millis(70);

/// `ContactMs`.
const CONTACT: Span = Span::from_secs(3);

/// Crashes after which a guilty part is known.
const KNOWN_CRASHES: usize = 5;

/// Requests with a known guilty part that may still reach upstreams.
const ALLOWED: usize = 3;

/// Sound requests from which on their share counts.
const MIN_SOUND: usize = 20;

/// Steps before guilty requests come, and while they come.
const QUIET_STEPS: u64 = 400;
const TROUBLED_STEPS: u64 = 2_400;

/// Number of parts that sound requests have one of.
const VARIANTS: u64 = 5;

/// The kind of most sound requests, which is the first one of the guilty ones too, and another one.
const KIND: u64 = 1;
const OTHER_KIND: u64 = 10;

/// Number of requests of which one is of the other kind, if there is one.
const OTHER_KIND_INTERVAL: u64 = 3;

/// Position of the number of a part in its digest. The digests of two parts are far apart.
const PART_SHIFT: u32 = 48;

/// First numbers of the parts: those that all requests share, the guilty ones, the variants.
const SHARED: u64 = 10;
const OTHER_SHARED: u64 = 20;
const GUILTY: u64 = 100;
const VARIANT: u64 = 200;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// None.
    None,
    /// No answer clears a part.
    NoClearing,
    /// Whatever ran when an upstream crashed is refused.
    BanAll,
    /// Nothing is refused.
    NoBan,
    /// A crash charges only the parts of requests whose answers have begun.
    ChargeBegun,
    /// Parts are judged over all kinds of requests at once.
    AllKinds,
}

/// What happens to the control instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// The leader starts again with nothing, and another one leads.
    LeaderCrash,
    /// A third of the entry instances reaches no control instance for some seconds.
    Cut,
}

/// The circumstances of a run.
#[derive(Clone, Debug)]
pub struct Case {
    /// Number of entry instances.
    pub entries: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Steps between two guilty requests.
    pub pace: u64,
    /// Parts that all requests of the route share.
    pub shared: u64,
    /// Number of guilty parts.
    pub guilty: u64,
    /// Whether the shared parts are first used when the guilty requests come.
    pub is_new: bool,
    /// Whether a guilty part crashes the upstream before the head of the answer is sent.
    pub is_before_head: bool,
    /// Whether sound requests of another kind have the guilty parts too.
    pub is_one_kind: bool,
    /// Number of kinds of the guilty requests, unless they are of one kind.
    pub kinds: u64,
    /// Time from the head of an answer, or its place, until a guilty part crashes the upstream.
    pub crash_delay: Span,
    /// Time until a crashed upstream is back.
    pub down: Span,
    /// Time from the head of a sound answer to its end.
    pub answer: Span,
    /// Number of upstreams that crash for another reason.
    pub others: u64,
    /// What happens to the control instances.
    pub disturbance: Disturbance,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Number of crashes under guilty requests.
    pub crashes: usize,
    /// Requests with a guilty part that were sent later than `ContactMs` after its fifth crash: the
    /// most of any part.
    pub late: usize,
    /// Sound requests of the kind of the guilty ones from twice that time on, and those of them that
    /// began at the first attempt.
    pub sound: (usize, usize),
    /// The same of the other kind.
    pub other: (usize, usize),
}

impl Outcome {
    /// Returns whether sound requests are served and guilty ones are stopped.
    #[must_use]
    pub fn holds(&self) -> bool {
        let are_served = |(sound, begun): (usize, usize)| sound < MIN_SOUND || 2 * begun >= sound;
        self.late <= ALLOWED && are_served(self.sound) && are_served(self.other)
    }
}

impl Case {
    /// Draws the circumstances.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (entries, upstreams) = if rng.random_range(0..4) == 0 {
            (320, 240)
        } else {
            (3, 9)
        };
        let disturbances = [
            Disturbance::None,
            Disturbance::None,
            Disturbance::LeaderCrash,
            Disturbance::Cut,
        ];
        let case = Self {
            entries,
            upstreams,
            pace: [1, 2, 5, 10, 50, 100][rng.random_range(0..6)],
            shared: rng.random_range(0..4),
            guilty: rng.random_range(1..3),
            is_new: rng.random_bool(0.7),
            crash_delay: Span::from_millis(rng.random_range(5..500)),
            is_before_head: false,
            is_one_kind: false,
            kinds: 1,
            down: Span::from_millis(rng.random_range(1_000..10_000)),
            answer: Span::from_millis(rng.random_range(100..12_000)),
            others: rng.random_range(0..3),
            disturbance: disturbances[rng.random_range(0..4)],
        };
        // Drawn last, so that earlier seeds keep their other circumstances.
        Self {
            is_before_head: rng.random_bool(0.5),
            is_one_kind: rng.random_bool(0.3),
            kinds: rng.random_range(1..5),
            ..case
        }
    }
}

/// A request that runs.
struct Run {
    entry: usize,
    upstream: usize,
    subjects: Vec<Subject>,
    head_at: Time,
    next_event: Time,
    ends: Time,
    progress: Progress,
    /// Position among the sound requests; none for a guilty one.
    sound: Option<usize>,
}

/// A sound request.
struct Sound {
    at: Time,
    has_begun: bool,
    /// Whether it is of the other kind.
    is_other: bool,
}

/// A request that waits for a permit.
struct Held {
    entry: usize,
    subjects: Vec<Subject>,
    since: Time,
    sound: Option<usize>,
}

/// An upstream.
#[derive(Default)]
struct Upstream {
    incarnation: u64,
    down_until: Time,
}

/// A control instance.
#[derive(Default)]
struct Control {
    evidence: EvidenceSet,
    issuer: Issuer,
}

/// Whether a request is sent.
enum Verdict {
    Send { is_trial: bool },
    Hold,
    Refuse,
}

struct World {
    case: Case,
    plant: Plant,
    now: Time,
    step: u64,
    entries: Vec<Screen>,
    /// Revision of each entry instance's evidence that its control instance has, and the reverse.
    seen: Vec<(u64, u64)>,
    controls: Vec<Control>,
    leader: usize,
    term: u64,
    upstreams: Vec<Upstream>,
    runs: Vec<Run>,
    held: Vec<Held>,
    /// All that ran when an upstream crashed.
    charged: Vec<Subject>,
    /// Crashes and arrivals by guilty part.
    crashes: Vec<Vec<Time>>,
    arrivals: Vec<Vec<Time>>,
    sound: Vec<Sound>,
    number: u64,
    rng: ChaCha8Rng,
}

/// Plays the circumstances.
#[must_use]
pub fn run(case: &Case, plant: Plant, seed: u64) -> Outcome {
    let mut world = World::new(case.clone(), plant, seed);
    for _ in 0..QUIET_STEPS {
        world.play_step(false);
    }
    for _ in 0..TROUBLED_STEPS {
        world.play_step(true);
    }
    world.outcome()
}

impl World {
    fn new(case: Case, plant: Plant, seed: u64) -> Self {
        let controls = if case.entries > 100 { 7 } else { 3 };
        let guilty = usize::try_from(case.guilty).unwrap_or(1);
        Self {
            plant,
            now: Time::ZERO,
            step: 0,
            entries: (0..case.entries).map(|_| Screen::default()).collect(),
            seen: vec![(0, 0); case.entries],
            controls: (0..controls).map(|_| Control::default()).collect(),
            leader: 0,
            term: 1,
            upstreams: (0..case.upstreams).map(|_| Upstream::default()).collect(),
            runs: Vec::new(),
            held: Vec::new(),
            charged: Vec::new(),
            crashes: vec![Vec::new(); guilty],
            arrivals: vec![Vec::new(); guilty],
            sound: Vec::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            case,
        }
    }

    fn play_step(&mut self, is_troubled: bool) {
        self.step += 1;
        self.now += STEP;
        if is_troubled && self.step.is_multiple_of(self.case.pace) {
            let part = self.step / self.case.pace % self.case.guilty;
            self.send(Some(part), true);
        }
        if self.step.is_multiple_of(12) || (self.case.entries > 100 && self.step.is_multiple_of(2))
        {
            self.send(None, is_troubled);
        }
        if is_troubled {
            self.disturb();
        }
        self.retry_held();
        self.advance_runs();
        for entry in 0..self.entries.len() {
            if (self.step + entry as u64).is_multiple_of(POLL) && !self.is_cut(entry) {
                self.poll(entry);
            }
        }
        if self.step.is_multiple_of(PEER_POLL) {
            self.poll_peers();
        }
        for control in &mut self.controls {
            control.evidence.ban_guilty(self.now);
            control.evidence.expire(self.now);
            control.evidence.take_changes();
        }
    }

    /// Sends a new request with a guilty part, or a sound one.
    fn send(&mut self, guilty: Option<u64>, is_troubled: bool) {
        self.number += 1;
        let first = if is_troubled || !self.case.is_new {
            SHARED
        } else {
            OTHER_SHARED
        };
        let variant = VARIANT + self.rng.random_range(0..VARIANTS);
        let is_other = guilty.is_none()
            && self.case.is_one_kind
            && self.number.is_multiple_of(OTHER_KIND_INTERVAL);
        let (kind, part) = match guilty {
            Some(guilty) if !self.case.is_one_kind => {
                let kind = self.rng.random_range(0..self.case.kinds);
                (KIND + kind, GUILTY + guilty)
            }
            Some(guilty) => (KIND, GUILTY + guilty),
            None if is_other => (OTHER_KIND, GUILTY + self.number % self.case.guilty),
            None => (KIND, variant),
        };
        let numbers = (0..self.case.shared).map(|n| first + n).chain([part]);
        let parts: Vec<u64> = numbers.map(|number| number << PART_SHIFT).collect();
        let mut subjects: Vec<Subject> = parts.iter().copied().map(Subject::Part).collect();
        if self.plant != Plant::AllKinds {
            subjects.extend(parts.iter().map(|part| Subject::of_kind(*part, kind)));
        }
        subjects.push(Subject::Request(Fingerprint::of_digest(self.number)));
        let sound = guilty.is_none().then(|| {
            self.sound.push(Sound {
                at: self.now,
                has_begun: false,
                is_other,
            });
            self.sound.len() - 1
        });
        let entry = self.rng.random_range(0..self.entries.len());
        self.dispatch(Held {
            entry,
            subjects,
            since: self.now,
            sound,
        });
    }

    fn dispatch(&mut self, request: Held) {
        match self.judge(request.entry, &request.subjects) {
            Verdict::Send { is_trial } => self.start(request, is_trial),
            Verdict::Hold if self.now.since(request.since) < MAX_HOLD => self.held.push(request),
            Verdict::Hold | Verdict::Refuse => {}
        }
    }

    fn judge(&mut self, entry: usize, subjects: &[Subject]) -> Verdict {
        let screen = &mut self.entries[entry];
        let standing = screen.standing(subjects);
        match self.plant {
            Plant::NoBan => return Verdict::Send { is_trial: false },
            Plant::BanAll if subjects.iter().any(|s| self.charged.contains(s)) => {
                return Verdict::Refuse;
            }
            Plant::None
            | Plant::NoClearing
            | Plant::BanAll
            | Plant::ChargeBegun
            | Plant::AllKinds => {}
        }
        if standing == Standing::Clear {
            return Verdict::Send { is_trial: false };
        }
        let trial: Option<Trial> = screen.try_out(subjects, self.now);
        if trial.is_some() {
            Verdict::Send { is_trial: true }
        } else if standing == Standing::Guilty && !screen.is_in_doubt(subjects) {
            Verdict::Refuse
        } else {
            Verdict::Hold
        }
    }

    /// Sends a request to the upstream of its parts, or to the least loaded one as a trial.
    fn start(&mut self, request: Held, is_trial: bool) {
        let count = self.upstreams.len();
        let load = |at: usize| self.runs.iter().filter(|r| r.upstream == at).count();
        let mut hash = 0;
        for subject in &request.subjects {
            if let Subject::Part(part) = subject {
                hash = digest::mix(hash ^ part);
            }
        }
        let home = usize::try_from(hash % count as u64).unwrap_or_default();
        let order = (0..count).map(|n| (home + n) % count);
        let mut usable = order.filter(|at| self.upstreams[*at].down_until <= self.now);
        let chosen = if is_trial {
            let screen = &self.entries[request.entry];
            let is_tried = |at: usize| screen.trials(self.now).any(|t| **t == *upstream_name(at));
            usable.min_by_key(|at| (is_tried(*at), load(*at)))
        } else {
            usable.next()
        };
        let Some(upstream) = chosen else {
            return;
        };
        if is_trial {
            let name = upstream_name(upstream);
            self.entries[request.entry].begin_trial(&name, self.now);
        }
        let guilty = guilty_part(&request.subjects).filter(|_| request.sound.is_none());
        if let Some(part) = guilty {
            self.arrivals[part].push(self.now);
        }
        let head_at = self.now + HEAD_TIME;
        let length = if request.sound.is_some() {
            self.case.answer
        } else {
            self.case.crash_delay
        };
        self.runs.push(Run {
            entry: request.entry,
            upstream,
            subjects: request.subjects,
            head_at,
            next_event: head_at,
            ends: head_at + length,
            progress: Progress::default(),
            sound: request.sound,
        });
    }

    fn retry_held(&mut self) {
        if !self.step.is_multiple_of(HOLD_RETRY) {
            return;
        }
        for request in std::mem::take(&mut self.held) {
            self.dispatch(request);
        }
    }

    /// Delivers heads and events, and ends the runs that are due.
    fn advance_runs(&mut self) {
        let now = self.now;
        let mut crashed = Vec::new();
        let mut done = Vec::new();
        for (at, run) in self.runs.iter_mut().enumerate() {
            if let Some(sound) = run.sound.filter(|_| run.head_at <= now) {
                self.sound[sound].has_begun = true;
            }
            let screen = &mut self.entries[run.entry];
            while run.next_event <= now.min(run.ends) && run.sound.is_some() {
                run.next_event += EVENT_INTERVAL;
                let speaks = run.progress.observe(1, EVENT_INTERVAL);
                if speaks && self.plant != Plant::NoClearing {
                    screen.progressed(&run.subjects, now);
                }
            }
            if run.ends > now {
                continue;
            }
            if let Some(part) = guilty_part(&run.subjects).filter(|_| run.sound.is_none()) {
                self.crashes[part].push(now);
                crashed.push(run.upstream);
            } else {
                done.push(at);
                if self.plant != Plant::NoClearing {
                    screen.answered(&run.subjects, now);
                }
            }
        }
        for at in done.into_iter().rev() {
            self.runs.swap_remove(at);
        }
        for upstream in crashed {
            self.crash(upstream);
        }
    }

    /// Ends the process of an upstream and all runs on it.
    fn crash(&mut self, at: usize) {
        let name = upstream_name(at);
        let upstream = &mut self.upstreams[at];
        let incarnation = upstream.incarnation;
        upstream.incarnation += 1;
        upstream.down_until = self.now + self.case.down;
        for run in self.runs.extract_if(.., |r| r.upstream == at) {
            let never_begins = run.sound.is_none() && self.case.is_before_head;
            let has_begun = run.head_at <= self.now && !never_begins;
            let charged = if has_begun || self.plant != Plant::ChargeBegun {
                &run.subjects[..]
            } else {
                &run.subjects[run.subjects.len() - 1..]
            };
            self.entries[run.entry].crashed(&name, incarnation, charged, self.now);
            self.charged.extend_from_slice(charged);
        }
    }

    fn is_cut(&self, entry: usize) -> bool {
        let step = self.step.saturating_sub(QUIET_STEPS);
        self.case.disturbance == Disturbance::Cut
            && (20..320).contains(&step)
            && entry.is_multiple_of(3)
    }

    fn disturb(&mut self) {
        let step = self.step - QUIET_STEPS;
        if self.case.disturbance == Disturbance::LeaderCrash && [30, 180].contains(&step) {
            let count = self.controls.len();
            self.controls[self.leader] = Control::default();
            // Its callers send it all that they have.
            for entry in (self.leader..self.entries.len()).step_by(count) {
                self.seen[entry] = (0, 0);
            }
            self.leader = (self.leader + 1) % count;
            self.term += 1;
        }
        if step.is_multiple_of(150) && step / 150 <= self.case.others {
            let at = self.rng.random_range(0..self.upstreams.len());
            if self.upstreams[at].down_until <= self.now {
                self.crash(at);
            }
        }
    }

    /// Exchanges what an entry instance and its control instance have for each other.
    fn poll(&mut self, entry: usize) {
        let now = self.now;
        let at = entry % self.controls.len();
        let screen = &mut self.entries[entry];
        let control = &mut self.controls[at];
        let (sent, received) = self.seen[entry];
        let report = screen.set().since(sent, now);
        let revision = screen.set().revision();
        control.evidence.merge(&report, now);
        let update = control.evidence.since(received, now);
        self.seen[entry] = (revision, control.evidence.revision());
        screen.merge(&update, now);
        screen.take_changes();
        let wants = screen.permit_wants(now);
        let mut permits = lend(control, entry as u64, &wants, at == self.leader, now);
        screen.take_permits(&mut permits, now, now);
    }

    fn poll_peers(&mut self) {
        let now = self.now;
        for at in 0..self.controls.len() {
            for other in (0..self.controls.len()).filter(|o| *o != at) {
                let update = self.controls[other].evidence.since(0, now);
                self.controls[at].evidence.merge(&update, now);
            }
            let term = (at == self.leader).then_some(self.term);
            self.controls[at].issuer.set_term(term, now);
            let wants = self.controls[at].issuer.wants(now);
            let leader = &mut self.controls[self.leader];
            let permits = lend(leader, 1_000 + at as u64, &wants, true, now);
            self.controls[at].issuer.receive(&permits, now, now);
        }
    }

    fn outcome(&self) -> Outcome {
        let late = self.crashes.iter().zip(&self.arrivals);
        let late = late.map(|(crashes, arrivals)| {
            let known = crashes.get(KNOWN_CRASHES - 1);
            known.map_or(0, |known| {
                arrivals.iter().filter(|at| **at > *known + CONTACT).count()
            })
        });
        let mut crashes = self.crashes.concat();
        crashes.sort_unstable();
        let known = crashes.get(KNOWN_CRASHES - 1).or(crashes.last());
        let from = known.map_or(Time::ZERO, |known| *known + CONTACT + CONTACT);
        // The last ones may not have had time to begin.
        let until = self.now - MAX_HOLD - HEAD_TIME;
        let count = |is_other: bool| {
            let of_kind = |s: &&Sound| s.is_other == is_other && (from..until).contains(&s.at);
            let counted = self.sound.iter().filter(of_kind);
            let begun = counted.clone().filter(|s| s.has_begun).count();
            (counted.count(), begun)
        };
        Outcome {
            crashes: crashes.len(),
            late: late.max().unwrap_or_default(),
            sound: count(false),
            other: count(true),
        }
    }
}

fn upstream_name(at: usize) -> Arc<str> {
    format!("engine-{at}").into()
}

/// Returns the position of the guilty part among the subjects, if there is one.
fn guilty_part(subjects: &[Subject]) -> Option<usize> {
    subjects.iter().find_map(|subject| match subject {
        Subject::Part(part) if (GUILTY..VARIANT).contains(&(part >> PART_SHIFT)) => {
            usize::try_from((part >> PART_SHIFT) - GUILTY).ok()
        }
        Subject::Part(_) | Subject::Request(_) => None,
    })
}

/// Returns the permits of a control instance for the wants.
fn lend(
    control: &mut Control,
    holder: u64,
    wants: &[Want],
    is_leader: bool,
    now: Time,
) -> Vec<Permit> {
    let evidence = &control.evidence;
    let rate = |w: &Want| evidence.permit_rate(&w.upstream, w.incarnation, is_leader, now);
    let permits = control.issuer.lend(holder, wants, rate, now);
    if is_leader {
        for permit in permits.iter().filter(|p| p.count > 0) {
            control.evidence.permit_issued(&permit.upstream, now);
        }
    }
    permits
}
