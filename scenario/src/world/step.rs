//! Steps of the mechanisms and the faults that are placed at them.

use masticlock_core::{name, time::Span};

use super::{Id, Role, World, message::Flow, net::Fate};
use crate::script;

macro_rules! steps {
    ($($(#[$doc:meta])* $step:ident => $name:literal),+ $(,)?) => {
        /// A step at which a fault can be placed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Step {
            $($(#[$doc])* $step),+
        }

        impl Step {
            /// Returns the name that the page uses.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$step => $name),+
                }
            }
        }
    };
}

steps! {
    /// The request passed its checks.
    Admitted => "admitted",
    /// The plan is chosen.
    Chosen => "chosen",
    /// The owner lent the slot.
    Lent => "slot lent",
    /// The claim is granted.
    Claimed => "claimed",
    /// The work is on its way to the upstream.
    Sent => "sent",
    /// The first byte arrived.
    FirstByte => "first byte",
    /// Some pieces of the stream arrived.
    MidStream => "mid-stream",
    /// The caller has the complete answer.
    Answered => "answered",
    /// The end of the claimed call is recorded.
    Recorded => "recorded",
    /// A control replica has the bill.
    Billed => "billed",
    /// The operator sent the command.
    CommandSent => "sent",
    /// The leader's disk has the entry.
    Stored => "stored",
    /// A follower's disk has the entry.
    Replicated => "replicated",
    /// The leader applied the entry.
    Committed => "committed",
    /// The operator has the outcome.
    Replied => "replied",
    /// An instance received the change.
    Delivered => "delivered",
    /// An instance applies the change.
    Applied => "applied",
    /// All instances confirmed the change.
    Confirmed => "confirmed",
    /// The new replica is proposed as a learner.
    Learner => "learner proposed",
    /// The learner has the snapshot.
    Installed => "snapshot installed",
    /// The learner is proposed as a voter.
    Promoted => "promotion proposed",
    /// The removal of the old identity is proposed.
    Removed => "removal proposed",
    /// The instance began to stop.
    Stopping => "announced",
    /// The instance handed its upstreams over.
    HandedOver => "handed over",
    /// The instance has no open request.
    Drained => "drained",
    /// The process ends.
    Stopped => "stopped",
}

macro_rules! columns {
    ($($(#[$doc:meta])* $column:ident => $name:literal),+ $(,)?) => {
        /// A fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Column {
            $($(#[$doc])* $column),+
        }

        impl Column {
            /// All faults in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$column),+];

            /// Returns the name that the page uses.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$column => $name),+
                }
            }
        }
    };
}

columns! {
    /// The instance of the step crashes and restarts.
    CrashEntry => "entry crash",
    /// Another instance of its failure domain, a possible owner and witness, does.
    CrashPeer => "peer crash",
    /// The control leader does.
    CrashLeader => "leader crash",
    /// A control follower does.
    CrashFollower => "follower crash",
    /// The upstream does.
    CrashUpstream => "upstream crash",
    /// The next message is lost.
    Lost => "lost",
    /// The next message arrives twice.
    Doubled => "doubled",
    /// The next message is late.
    Late => "late",
    /// The next message arrives behind a later one.
    Reordered => "reordered",
    /// The failure domain hears nothing for a while.
    CutOneWay => "cut one way",
    /// The failure domain is isolated for a while.
    CutBoth => "cut both ways",
    /// All open connections of the instance go silent.
    Silent => "silent",
    /// The leader's next write is torn by a crash.
    TornWrite => "torn write",
    /// The leader's disk is full.
    FullDisk => "full disk",
    /// The upstream turns cold without a warning.
    Cold => "cold",
    /// A request arrives that crashes each upstream that runs it.
    CrashingRequest => "crashing request",
    /// A lost message, then a crash of the leader at the next step.
    Second => "second fault",
}

/// How long a part is down.
const DOWN: Span = Span::from_millis(1_500);
/// How long a partition lasts. Longer than the configuration lease.
const PARTITION: Span = Span::from_secs(12);

/// A fault that waits for its step.
#[derive(Clone, Debug)]
struct Placed {
    /// `None` stands for any step.
    step: Option<Step>,
    label: Option<String>,
    column: Column,
}

/// The faults that are placed and the steps at which they struck.
#[derive(Debug, Default)]
pub(super) struct Injector {
    placed: Vec<Placed>,
    struck: Vec<(Step, Column)>,
}

impl World {
    /// Places a fault at the next time that a step is reached. With a label,
    /// only that request's steps count.
    pub fn place(&mut self, step: Step, label: Option<&str>, column: Column) {
        self.injector.placed.push(Placed {
            step: Some(step),
            label: label.map(str::to_owned),
            column,
        });
    }

    /// Returns the faults that struck, with their steps.
    #[must_use]
    pub fn struck(&self) -> &[(Step, Column)] {
        &self.injector.struck
    }

    /// Returns whether a message fault is placed that no message met.
    #[must_use]
    pub const fn has_pending_fate(&self) -> bool {
        self.net.has_fate()
    }

    /// Notes that a step is reached at a part, and lets a fault placed there strike.
    pub(super) fn reach(&mut self, step: Step, id: Id, request: Option<&name::Request>) {
        let label = request.and_then(|r| {
            let asked = self.record.asked.iter().find(|a| a.request == *r);
            asked.map(|a| a.label.clone())
        });
        let fits = |p: &mut Placed| {
            p.step.is_none_or(|s| s == step) && (p.label.is_none() || p.label == label)
        };
        let due: Vec<_> = self.injector.placed.extract_if(.., fits).collect();
        for placed in due {
            self.injector.struck.push((step, placed.column));
            self.strike(placed.column, step, id, request);
        }
    }

    fn strike(&mut self, column: Column, step: Step, id: Id, request: Option<&name::Request>) {
        let entry = self.entry_of(id, request);
        let leader = self.leader();
        let target = if entry == id || request.is_some() {
            entry
        } else {
            id
        };
        match column {
            Column::CrashEntry => self.crash(entry, Some(DOWN)),
            Column::CrashPeer => {
                if let Some(&peer) = self.peers(entry).first() {
                    self.crash(peer, Some(DOWN));
                }
            }
            Column::CrashLeader => {
                if let Some(leader) = leader {
                    self.crash(leader, Some(DOWN));
                }
            }
            Column::CrashFollower => {
                let controls = self.control_ids();
                if let Some(&id) = controls.iter().find(|c| Some(**c) != leader) {
                    self.crash(id, Some(DOWN));
                }
            }
            Column::CrashUpstream => {
                let upstream = self.upstream_of(entry, request);
                self.crash(upstream, Some(Span::from_secs(2)));
            }
            Column::Lost => self.strike_message(step, target, Fate::Lost),
            Column::Doubled => self.strike_message(step, target, Fate::Doubled),
            Column::Late => self.strike_message(step, target, Fate::Late),
            Column::Reordered => self.strike_message(step, target, Fate::Reordered),
            Column::CutOneWay => self.isolate(target, false, PARTITION),
            Column::CutBoth => self.isolate(target, true, PARTITION),
            Column::Silent => self.silence_all(target),
            Column::TornWrite => {
                if let Some(leader) = leader {
                    self.tear_write(leader);
                }
            }
            Column::FullDisk => {
                if let Some(leader) = leader {
                    self.fill_disk(leader);
                }
            }
            Column::Cold => {
                let upstream = self.upstream_of(entry, request);
                self.cool(upstream);
            }
            Column::CrashingRequest => self.ask(crashing(&self.parts[entry].name), None),
            Column::Second => {
                self.strike_message(step, target, Fate::Lost);
                self.injector.placed.push(Placed {
                    step: None,
                    label: None,
                    column: Column::CrashLeader,
                });
            }
        }
    }

    fn strike_message(&mut self, step: Step, id: Id, fate: Fate) {
        let flow = match step {
            Step::Stopping | Step::HandedOver | Step::Drained | Step::Stopped => Flow::Members,
            Step::CommandSent
            | Step::Stored
            | Step::Replicated
            | Step::Committed
            | Step::Replied
            | Step::Delivered
            | Step::Applied
            | Step::Confirmed
            | Step::Learner
            | Step::Installed
            | Step::Promoted
            | Step::Removed => Flow::Change,
            Step::Sent | Step::FirstByte | Step::MidStream => Flow::Stream,
            _ => Flow::Request,
        };
        self.net.set_fate(flow, id, fate);
    }

    /// Returns the instance of a step: that of the request, the part itself, or the first one.
    fn entry_of(&self, id: Id, request: Option<&name::Request>) -> Id {
        let asked = request.and_then(|r| {
            let asked = self.record.asked.iter().find(|a| a.request == *r)?;
            self.find(&asked.instance)
        });
        if let Some(instance) = asked {
            return instance;
        }
        let entries = self.entry_ids();
        if entries.contains(&id) {
            id
        } else {
            entries[0]
        }
    }

    /// Returns the upstream that runs a request, or one near the instance.
    fn upstream_of(&mut self, entry: Id, request: Option<&name::Request>) -> Id {
        if let Some(upstream) = request.and_then(|r| self.running(r)) {
            return upstream;
        }
        let call =
            request.is_some_and(|r| self.job(entry, r).is_some_and(|job| job.service.is_some()));
        let domain = self.parts[entry].domain.clone();
        let near: Vec<_> = (0..self.parts.len())
            .filter(|&p| self.parts[p].domain == domain)
            .collect();
        near.into_iter()
            .find(|&p| self.serves(p, call))
            .unwrap_or(entry)
    }

    fn silence_all(&mut self, id: Id) {
        for other in 1..self.parts.len() {
            let upstreams = matches!(self.parts[other].role, Role::Upstream(_))
                && matches!(self.parts[id].role, Role::Upstream(_) | Role::Control(_));
            if other != id && !upstreams {
                self.silence(id, other);
            }
        }
    }
}

/// Returns a request that crashes each upstream that runs it.
fn crashing(through: &str) -> script::Request {
    script::Request {
        label: "crashing".to_owned(),
        account: name::Account::try_from("wa-growers").expect("a name"),
        through: through.to_owned(),
        key: None,
        crashes: true,
        work: script::Work::Task(name::Task::try_from("palm-question").expect("a name")),
        session: None,
        takes: None,
    }
}
