//! A run of the decision code over a stream of requests, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};

use masticlock_core::{
    config::{Change, Config, Progress, VersionStatus},
    error,
    evidence::{Event, Key, Pool, Role},
    name,
    policy::{Context, Plan, Planner},
    rollout::{Action, Controller},
    time::{Span, Time},
};

use super::{
    pools::{Pools, Report},
    world::{self, Arrival, Fault, World},
};

/// Time between two load reports.
const REPORT: Span = Span::from_millis(500);

/// Time between two exchanges of evidence.
const GOSSIP: Span = Span::from_secs(1);

/// Time from a change's proposal until it is in force.
const IN_FORCE: Span = Span::from_secs(1);

/// Share by which a full engine is slower than an idle one.
const CONTENTION: f64 = 0.5;

/// What happens in a run besides the stream.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Whether slots are unlimited.
    pub unlimited: bool,
    /// Changes of the configuration and when they are in force.
    pub changes: Vec<(Time, Change)>,
    /// The faulty version, its fault, and how long after its promotion the fault begins; `None` is from the start.
    pub fault: Option<(name::Version, Fault, Option<Span>)>,
    /// A failure domain that is gone between two times.
    pub outage: Option<(usize, Time, Time)>,
    /// Times between which the rating service is down, or rates everything down by a part.
    pub ratings: Option<(Time, Time, Ratings)>,
    /// Whether the run ends when the rollout has ended.
    pub ends_with_rollout: bool,
}

/// A fault of the rating service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ratings {
    /// No rating comes.
    Down,
    /// Ratings are this much lower.
    Low(f64),
}

/// A request that was answered.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Its index in the stream.
    pub index: usize,
    /// What was spent on it.
    pub cost: f64,
    /// True mean quality of its plan.
    pub quality: f64,
    /// Its target.
    pub target: f64,
    /// Milliseconds to the first token.
    pub first_ms: u64,
    /// Milliseconds to the end.
    pub end_ms: u64,
    /// Whether it explored.
    pub explored: bool,
}

/// What a run gave.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Answered requests in the order of their ends.
    pub answered: Vec<Answered>,
    /// Indices of refused requests, and whether no plan could reach the target.
    pub refused: Vec<(usize, bool)>,
    /// Requests that failed on an upstream.
    pub failed: Vec<usize>,
    /// Requests sent to the faulty version while it was faulty.
    pub exposed: u64,
    /// Sessions that were on the version in rollout when it was stopped.
    pub sessions: usize,
    /// When the fault began, and when the version had stopped.
    pub stop: Option<(Time, Time)>,
    /// Whether the rollout was rolled back, and why.
    pub reason: Option<String>,
    /// Whether the rollout finished.
    pub finished: bool,
    /// Why the rollout was last held.
    pub held: Option<String>,
    /// Milliseconds of slots used, by model.
    pub busy_ms: Vec<u64>,
}

/// An attempt that runs or waits.
#[derive(Clone, Debug)]
struct Job {
    index: usize,
    plan: Arc<Plan>,
    step: usize,
    cost: f64,
    domain: usize,
    model: usize,
    /// When the current step was sent.
    sent: Time,
    /// When its first token came.
    first: Time,
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    End(Job),
    Rate(Key, f64),
    Change(Change),
    Report,
    Gossip,
}

/// A queue of steps by time.
#[derive(Default)]
struct Agenda {
    heap: BinaryHeap<Reverse<(Time, usize)>>,
    steps: Vec<Option<Step>>,
}

impl Agenda {
    fn add(&mut self, at: Time, step: Step) {
        self.heap.push(Reverse((at, self.steps.len())));
        self.steps.push(Some(step));
    }

    fn next(&mut self) -> Option<(Time, Step)> {
        let Reverse((at, place)) = self.heap.pop()?;
        Some((at, self.steps[place].take()?))
    }
}

/// State of a run.
struct Run<'a> {
    world: &'a World,
    scenario: &'a Scenario,
    stream: &'a [Arrival],
    planner: &'a mut dyn Planner,
    config: Config,
    pools: Pools,
    reported: Pools,
    own: Pool,
    own_mark: u64,
    seen: Pool,
    controller: Controller,
    agenda: Agenda,
    waiting: Vec<VecDeque<Job>>,
    /// Version of each session.
    sessions: Vec<Option<name::Version>>,
    fault_began: Option<Time>,
    left: usize,
    outcome: Outcome,
}

/// Runs a planner over a stream.
pub fn run(
    world: &World,
    scenario: &Scenario,
    stream: &[Arrival],
    planner: &mut dyn Planner,
) -> Outcome {
    let pools = Pools::new(world, scenario.unlimited);
    let instance = |name: &str| name::Instance::try_from(name).expect("a valid name");
    let sessions = stream.iter().filter_map(|a| a.session).max().unwrap_or(0);
    let mut run = Run {
        world,
        scenario,
        stream,
        planner,
        config: world.config.clone(),
        reported: pools.clone(),
        waiting: vec![VecDeque::new(); world.config.inventory.versions.len()],
        pools,
        own: Pool::new(instance("entry-1"), 1, Time::ZERO),
        own_mark: 0,
        seen: Pool::new(instance("entry-2"), 1, Time::ZERO),
        controller: Controller::new(),
        agenda: Agenda::default(),
        sessions: vec![None; sessions + 1],
        fault_began: None,
        left: stream.len(),
        outcome: Outcome {
            busy_ms: vec![0; world.config.inventory.versions.len()],
            ..Outcome::default()
        },
    };
    run.start();
    while let Some((now, step)) = run.agenda.next() {
        run.take(now, step);
        if run.left == 0 || (scenario.ends_with_rollout && run.rollout_ended()) {
            break;
        }
    }
    run.outcome
}

impl Run<'_> {
    fn start(&mut self) {
        self.agenda.add(Time::ZERO, Step::Gossip);
        self.agenda.add(Time::ZERO, Step::Report);
        for (at, change) in &self.scenario.changes {
            self.agenda.add(*at, Step::Change(change.clone()));
        }
        if let Some(first) = self.stream.first() {
            self.agenda.add(first.at, Step::Arrive(0));
        }
    }

    fn take(&mut self, now: Time, step: Step) {
        match step {
            Step::Arrive(index) => {
                if let Some(next) = self.stream.get(index + 1) {
                    self.agenda.add(next.at, Step::Arrive(index + 1));
                }
                self.arrive(index, now);
            }
            Step::End(job) => self.end(job, now),
            Step::Rate(key, rating) => self.own.record(&key, Event::Rated(rating)),
            Step::Change(change) => self.change(&change, now),
            Step::Report => {
                self.move_outage(now);
                self.reported = self.pools.clone();
                self.expire(now);
                self.agenda.add(now + REPORT, Step::Report);
            }
            Step::Gossip => self.gossip(now),
        }
    }

    fn arrive(&mut self, index: usize, now: Time) {
        let arrival = &self.stream[index];
        let mut ask = arrival.ask.clone();
        if let (Some(bound), Some(session)) = (&mut ask.session, arrival.session) {
            bound.version.clone_from(&self.sessions[session]);
        }
        let availability = Report {
            pools: &self.reported,
            world: self.world,
            near: arrival.domain,
        };
        let context = Context {
            config: &self.config,
            availability: &availability,
            cut_off: None,
            now,
        };
        match self.planner.plan(&ask, &context) {
            Ok((plan, _)) => {
                if let Some(session) = arrival.session {
                    self.sessions[session] = plan.steps.first().cloned();
                }
                let job = Job {
                    index,
                    plan: Arc::new(plan),
                    step: 0,
                    cost: 0.0,
                    domain: 0,
                    model: 0,
                    sent: now,
                    first: now,
                };
                self.send(job, now);
            }
            Err(error) => self.refuse(index, error.kind == error::Kind::QualityUnreachable),
        }
    }

    fn refuse(&mut self, index: usize, unreachable: bool) {
        self.outcome.refused.push((index, unreachable));
        self.left -= 1;
    }

    /// Sends a job's current step, or lets it wait for a slot.
    fn send(&mut self, mut job: Job, now: Time) {
        let version = self.world.version(&job.plan.steps[job.step]);
        job.model = self
            .pools
            .model(&self.world.config.inventory.versions[version].model);
        if !self.begin(&job, now) {
            self.waiting[job.model].push_back(job);
        }
    }

    /// Begins a job if it gets a slot.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[expect(clippy::cast_precision_loss)]
    fn begin(&mut self, job: &Job, now: Time) -> bool {
        let arrival = &self.stream[job.index];
        let spill = (self.config.rules.account(&arrival.ask.account)).is_some_and(|r| r.spill);
        let Some((domain, load)) = self.pools.take(job.model, arrival.domain, spill) else {
            return false;
        };
        let name = &job.plan.steps[job.step];
        self.own.record(&self.key(job), Event::Started);
        let fault = self.fault(name, now);
        if fault != Fault::default() {
            self.outcome.exposed += 1;
        }
        let version = &self.world.config.inventory.versions[self.world.version(name)];
        let noise = 0.7 + 0.6 * self.world.draw(job.index, 20 + job.step as u64);
        let slowness = noise * (1.0 + fault.delay) * (1.0 + CONTENTION * load);
        let first = version.prior_first_ms as f64 * slowness;
        let stream = version.prior_token_ms * arrival.tokens * slowness;
        let mut job = job.clone();
        job.domain = domain;
        job.sent = now;
        job.first = now + Span::from_millis(first as u64);
        self.agenda.add(
            now + Span::from_millis((first + stream) as u64),
            Step::End(job),
        );
        true
    }

    fn key(&self, job: &Job) -> Key {
        let ask = &self.stream[job.index].ask;
        Key {
            version: job.plan.steps[job.step].clone(),
            task: ask.task.clone(),
            size: ask.size(),
            role: Role::of(job.step, job.plan.steps.len()),
            arm: job.plan.arm,
        }
    }

    fn fault(&self, version: &name::Version, now: Time) -> Fault {
        match &self.scenario.fault {
            Some((faulty, fault, _)) if faulty == version => match self.fault_began {
                Some(began) if began <= now => *fault,
                _ => Fault::default(),
            },
            _ => Fault::default(),
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[expect(clippy::cast_precision_loss)]
    fn end(&mut self, mut job: Job, now: Time) {
        self.pools.release(job.model, job.domain);
        self.outcome.busy_ms[job.model] += now.since(job.sent).as_millis();
        self.serve_waiting(job.model, now);
        // Work in a failure domain that is gone starts again elsewhere.
        if self.pools.gone() == Some(job.domain) {
            self.send(job, now);
            return;
        }
        let arrival = &self.stream[job.index];
        let name = job.plan.steps[job.step].clone();
        let version = &self.world.config.inventory.versions[self.world.version(&name)];
        let key = self.key(&job);
        let salt = 1_000 * (job.step as u64 + 1);
        let fault = self.fault(&name, now);
        if self.world.draw(job.index, salt) < fault.errors {
            self.own.record(&key, Event::Failed);
            self.outcome.failed.push(job.index);
            self.left -= 1;
            return;
        }
        let completed = Event::Completed {
            first_ms: job.first.since(job.sent).as_millis(),
            stream_ms: now.since(job.first).as_millis(),
            tokens: arrival.tokens as u64,
        };
        self.own.record(&key, completed);
        job.cost += (f64::from(arrival.ask.prompt_tokens) * version.prompt_cost as f64
            + arrival.tokens * version.answer_cost as f64)
            / 1_000.0;
        let quality = self.world.quality(self.world.version(&name), &arrival.ask) - fault.loss;
        let quality = if job.step > 0 {
            world::second_quality(quality)
        } else {
            quality
        };
        let answer = world::answer(
            quality,
            self.world.draw(job.index, salt + 1),
            self.world.draw(job.index, salt + 2),
        );
        if job.step + 1 < job.plan.steps.len() && !answer.sure {
            self.own.record(&key, Event::Escalated);
            job.step += 1;
            self.send(job, now);
            return;
        }
        self.rate(&job, key, answer.quality, now);
        self.finish(&job, now);
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[expect(clippy::cast_precision_loss)]
    fn rate(&mut self, job: &Job, key: Key, quality: f64, now: Time) {
        let draw = |salt| self.world.draw(job.index, salt);
        if draw(30) >= world::RATING_SHARE {
            return;
        }
        let mut rating = world::rating(quality, [draw(31), draw(32), draw(33)]);
        if let Some((from, to, fault)) = self.scenario.ratings
            && (from..to).contains(&now)
        {
            match fault {
                Ratings::Down => return,
                Ratings::Low(loss) => rating = (rating - loss).max(0.0),
            }
        }
        let delay = -draw(34).ln() * world::RATING_DELAY.as_millis() as f64;
        let at = now + Span::from_millis(delay as u64);
        self.agenda.add(at, Step::Rate(key, rating));
    }

    fn finish(&mut self, job: &Job, now: Time) {
        let Arrival { ask, at, .. } = &self.stream[job.index];
        let qualities: Vec<_> = (job.plan.steps.iter())
            .map(|v| self.world.quality(self.world.version(v), ask) - self.fault(v, now).loss)
            .collect();
        self.outcome.answered.push(Answered {
            index: job.index,
            cost: job.cost,
            quality: world::plan_quality(&qualities).0,
            target: ask.quality,
            first_ms: job.first.since(*at).as_millis(),
            end_ms: now.since(*at).as_millis(),
            explored: job.plan.explores,
        });
        self.left -= 1;
    }

    /// Begins jobs that wait for a model, in order.
    fn serve_waiting(&mut self, model: usize, now: Time) {
        for _ in 0..self.waiting[model].len() {
            let Some(job) = self.waiting[model].pop_front() else {
                return;
            };
            if !self.begin(&job, now) {
                self.waiting[model].push_front(job);
                return;
            }
        }
    }

    /// Refuses what waits for a slot and can't end before its deadline any more.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn expire(&mut self, now: Time) {
        for model in 0..self.waiting.len() {
            let waiting = std::mem::take(&mut self.waiting[model]);
            for job in waiting {
                let need = Span::from_millis(job.plan.millis.max(0.0) as u64);
                let ask = &self.stream[job.index].ask;
                if job.step == 0 && now + need > ask.deadline {
                    self.refuse(job.index, false);
                } else {
                    self.waiting[model].push_back(job);
                }
            }
            self.serve_waiting(model, now);
        }
    }

    fn move_outage(&mut self, now: Time) {
        if let Some((domain, from, to)) = self.scenario.outage {
            let gone = (from..to).contains(&now).then_some(domain);
            self.pools.set_gone(gone);
        }
    }

    fn gossip(&mut self, now: Time) {
        self.own.tick(now);
        let delta = self.own.delta_since(self.own_mark);
        self.own_mark = self.own.sequence();
        self.seen.merge(&delta, now);
        self.planner.learn(&self.seen, &self.config);
        self.outcome.held = None;
        for action in self.controller.step(&self.config, &self.seen, now) {
            match action {
                Action::Change(change) => self.agenda.add(now + IN_FORCE, Step::Change(change)),
                Action::Hold { reason, .. } => self.outcome.held = Some(reason),
                Action::Alarm { .. } => {}
            }
        }
        if self.scenario.outage.is_none() {
            self.begin_fault(now);
        }
        self.agenda.add(now + GOSSIP, Step::Gossip);
    }

    /// Notes when the faulty version's fault begins.
    fn begin_fault(&mut self, now: Time) {
        let Some((version, _, after)) = &self.scenario.fault else {
            return;
        };
        if self.fault_began.is_some() {
            return;
        }
        self.fault_began = match (self.config.version_status(version), after) {
            (VersionStatus::RollingOut(_), None) => Some(now),
            (VersionStatus::Stable, Some(after)) => Some(now + *after),
            _ => None,
        };
    }

    fn change(&mut self, change: &Change, now: Time) {
        // A change that was proposed twice fails the second time.
        let Ok(next) = self.config.changed(change) else {
            return;
        };
        self.config = next;
        for rollout in &self.config.rollouts {
            match rollout.progress {
                Progress::RolledBack if self.outcome.reason.is_none() => {
                    self.outcome.reason.clone_from(&rollout.reason);
                    self.outcome.stop = self.fault_began.map(|began| (began, now));
                    let on = |s: &&Option<name::Version>| s.as_ref() == Some(&rollout.version);
                    self.outcome.sessions = self.sessions.iter().filter(on).count();
                }
                Progress::Finished => self.outcome.finished = true,
                _ => {}
            }
        }
    }

    fn rollout_ended(&self) -> bool {
        let waits_for_fault = self.scenario.fault.as_ref().is_some_and(|f| f.2.is_some());
        self.outcome.reason.is_some() || (self.outcome.finished && !waits_for_fault)
    }
}
