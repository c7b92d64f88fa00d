//! Simulation of 320 entry instances and seven control instances.

use masticlock_core::{
    limit::{Issuer, Permit, Want},
    suspect::{EvidenceSet, Screen, Standing, Subject},
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::request;

const ENTRIES: usize = 320;
const CONTROLS: usize = 7;
/// Length of a step.
const STEP: Span = Span::from_millis(10);
/// Interval of the polls of an entry instance, in steps.
const POLL: u64 = 20;
/// Interval of the polls between control instances, in steps.
const PEER_POLL: u64 = 15;
/// Time from sending a request until its upstream crashes, in steps.
const CRASH_DELAY: u64 = 12;
/// Time from sending a sound request until its answer is complete, in steps.
const ANSWER_TIME: u64 = 60;
/// Time after the fifth crash from which on requests are counted.
const CONTACT: Span = Span::from_secs(3);

/// What happens to the control instances.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    None,
    /// Another one leads every 300 ms.
    LeaderChanges,
    /// The leader starts anew with nothing each 2 s.
    Restarts,
}

/// A request that runs.
struct Run {
    entry: usize,
    upstream: u64,
    subjects: Vec<Subject>,
    ends: u64,
    is_guilty: bool,
}

/// A control instance.
#[derive(Default)]
struct Control {
    evidence: EvidenceSet,
    issuer: Issuer,
}

struct World {
    step: u64,
    entries: Vec<Screen>,
    /// Revision of each entry instance's evidence that its control instance has, and the reverse.
    seen: Vec<(u64, u64)>,
    controls: Vec<Control>,
    leader: usize,
    term: u64,
    runs: Vec<Run>,
    crashes: Vec<Time>,
    arrivals: Vec<Time>,
    /// Sound requests sent at the first try and refused or held.
    sound: Vec<(Time, bool)>,
    next: u64,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            step: 0,
            entries: (0..ENTRIES).map(|_| Screen::default()).collect(),
            seen: vec![(0, 0); ENTRIES],
            controls: (0..CONTROLS).map(|_| Control::default()).collect(),
            leader: 0,
            term: 1,
            runs: Vec::new(),
            crashes: Vec::new(),
            arrivals: Vec::new(),
            sound: Vec::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.step * STEP.as_millis())
    }

    /// Returns whether a request may be sent, by a permit if it needs one.
    fn admit(&mut self, entry: usize, subjects: &[Subject]) -> bool {
        let now = self.now();
        let screen = &mut self.entries[entry];
        if screen.standing(subjects) == Standing::Clear {
            return true;
        }
        screen.try_out(subjects, now).is_some()
    }

    /// Sends a new request with the guilty part, or a sound one.
    fn send(&mut self, guilty: Option<Subject>) {
        let now = self.now();
        let entry = self.rng.random_range(0..ENTRIES);
        self.next += 1;
        let rare = Subject::Part(100 + self.rng.random_range(0..40));
        let part = guilty.unwrap_or(rare);
        let subjects = vec![Subject::Part(1), part, request(self.next)];
        let is_admitted = self.admit(entry, &subjects);
        if guilty.is_some() && is_admitted {
            self.arrivals.push(now);
        }
        if guilty.is_none() {
            self.sound.push((now, is_admitted));
        }
        if is_admitted {
            let upstream = self.rng.random_range(0..860);
            let time = if guilty.is_some() {
                CRASH_DELAY
            } else {
                ANSWER_TIME
            };
            let ends = self.step + time;
            self.runs.push(Run {
                entry,
                upstream,
                subjects,
                ends,
                is_guilty: guilty.is_some(),
            });
        }
    }

    /// Ends the runs that are due. A crash ends all runs of its upstream, at all instances.
    fn end_runs(&mut self) {
        let (step, now) = (self.step, self.now());
        let due: Vec<Run> = self.runs.extract_if(.., |r| r.ends <= step).collect();
        let mut crashed = Vec::new();
        for run in due {
            if run.is_guilty {
                self.crashes.push(now);
                crashed.push(run.upstream);
                self.charge(&run, now);
            } else {
                self.entries[run.entry].answered(&run.subjects, now);
            }
        }
        let lost: Vec<Run> = self
            .runs
            .extract_if(.., |r| crashed.contains(&r.upstream))
            .collect();
        for run in lost {
            self.charge(&run, now);
        }
    }

    fn charge(&mut self, run: &Run, now: Time) {
        let upstream = format!("e{}", run.upstream).into();
        // The process that starts again is another incarnation.
        self.entries[run.entry].crashed(&upstream, now.as_millis(), &run.subjects, now);
    }

    /// Exchanges what an entry instance and its control instance have for each other.
    fn poll(&mut self, entry: usize) {
        let now = self.now();
        let at = entry % CONTROLS;
        let screen = &mut self.entries[entry];
        let control = &mut self.controls[at];
        let (sent, received) = self.seen[entry];
        let report = screen.set().since(sent, now);
        let revision = screen.set().revision();
        control.evidence.merge(&report, now);
        let update = control.evidence.since(received, now);
        self.seen[entry] = (revision, control.evidence.revision());
        screen.merge(&update, now);
        let wants = screen.permit_wants(now);
        let mut permits = lend(control, entry as u64, &wants, at == self.leader, now);
        screen.take_permits(&mut permits, now, now);
    }

    fn poll_peers(&mut self) {
        let now = self.now();
        for at in 0..CONTROLS {
            for other in (0..CONTROLS).filter(|o| *o != at) {
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

    fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::LeaderChanges if self.step.is_multiple_of(30) => {
                self.leader = (self.leader + 1) % CONTROLS;
                self.term += 1;
            }
            Disturbance::Restarts if self.step.is_multiple_of(200) => {
                self.controls[self.leader] = Control::default();
                // Its callers send it all that they have.
                for entry in (self.leader..ENTRIES).step_by(CONTROLS) {
                    self.seen[entry] = (0, 0);
                }
            }
            Disturbance::None | Disturbance::LeaderChanges | Disturbance::Restarts => {}
        }
    }

    /// Plays a number of seconds with `rate` guilty requests a second and the same sound ones.
    fn play(&mut self, seconds: u64, rate: u64, guilty: &[Subject], disturbance: Disturbance) {
        let end = self.step + seconds * 100;
        while self.step < end {
            self.step += 1;
            for (index, part) in guilty.iter().enumerate() {
                if (self.step + index as u64).is_multiple_of(100 / rate) {
                    self.send(Some(*part));
                }
            }
            self.send(None);
            self.end_runs();
            self.disturb(disturbance);
            for entry in 0..ENTRIES {
                if (self.step + entry as u64).is_multiple_of(POLL) {
                    self.poll(entry);
                }
            }
            if self.step.is_multiple_of(PEER_POLL) {
                self.poll_peers();
            }
            let now = self.now();
            for control in &mut self.controls {
                control.evidence.ban_guilty(now);
                control.evidence.expire(now);
            }
        }
    }

    /// Returns how many guilty requests were sent later than [`CONTACT`] after the fifth crash.
    fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|at| **at > *fifth + CONTACT);
        late.count()
    }
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

/// Guards against a bound that each of many instances passes by one, against bans that are lost with
/// a control instance, and against sound requests that are held because of a guilty part.
#[test]
fn a_guilty_part_is_stopped_at_all_of_320_instances() {
    for disturbance in [
        Disturbance::None,
        Disturbance::LeaderChanges,
        Disturbance::Restarts,
    ] {
        for seed in 1..=3 {
            let mut world = World::new(seed);
            // Sound requests run before.
            world.play(4, 50, &[], disturbance);
            let start = world.now();
            world.play(20, 50, &[Subject::Part(7)], disturbance);
            let late = world.late();
            assert!(late <= 3, "{late} late, {disturbance:?}, seed {seed}");
            let known = start + Span::from_secs(4);
            let sound: Vec<_> = world.sound.iter().filter(|(at, _)| *at > known).collect();
            let held = sound.iter().filter(|(_, is_admitted)| !is_admitted).count();
            assert!(
                held * 10 < sound.len(),
                "{held} of {} sound ones held, {disturbance:?}, seed {seed}",
                sound.len()
            );
        }
    }
}

/// Guards against a second guilty part that hides behind the first.
#[test]
fn two_guilty_parts_are_stopped_at_all_instances() {
    for seed in 1..=3 {
        let mut world = World::new(seed);
        world.play(4, 50, &[], Disturbance::None);
        let parts = [Subject::Part(7), Subject::Part(8)];
        world.play(12, 25, &parts, Disturbance::None);
        let before = world.arrivals.len();
        world.play(8, 25, &parts, Disturbance::None);
        assert_eq!(world.arrivals.len(), before, "seed {seed}");
    }
}
