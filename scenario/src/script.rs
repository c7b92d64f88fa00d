//! A parsed script.

use masticlock_core::{
    name,
    time::{Span, Time},
};

/// What a part of the deployment is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A control replica.
    Control,
    /// An entry instance.
    Entry,
    /// A model engine.
    Engine {
        /// The versions that it has loaded.
        serves: Vec<name::Version>,
        /// Concurrency when warm.
        warm: u32,
        /// Concurrency when cold.
        cold: u32,
    },
    /// An upstream of a plain service.
    Service {
        /// The plain service.
        offers: name::Service,
        /// Concurrency.
        warm: u32,
    },
}

/// A part of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: name::Domain,
    /// What it is.
    pub role: Role,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What expectations call it.
    pub label: String,
    /// The client account.
    pub account: name::Account,
    /// The entry instance that the load balancer picks.
    pub through: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request crashes the upstream that runs it.
    pub crashes: bool,
    /// What is asked for.
    pub work: Work,
    /// The caller's session.
    pub session: Option<String>,
    /// How long the upstream works on it; `None` is a short time.
    pub takes: Option<Span>,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A model's answer.
    Task(name::Task),
    /// A call of a plain service.
    Call {
        /// The plain service.
        service: name::Service,
        /// HTTP method.
        method: String,
        /// Path below the service.
        path: String,
    },
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Withdraws a version.
    Withdraw(name::Version),
    /// Takes a failure domain out.
    TakeOut(name::Domain),
    /// Returns a failure domain.
    Return(name::Domain),
    /// Starts a rollout.
    RollOut {
        /// The version.
        version: name::Version,
        /// The version that it is compared with.
        baseline: name::Version,
    },
    /// Moves a rollout to its next stage.
    Advance {
        /// The version.
        version: name::Version,
        /// The stage that is left.
        from: usize,
    },
    /// Rolls a version back.
    RollBack(name::Version),
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A caller sends a request.
    Send(Request),
    /// An operator sends a command.
    Operator {
        /// Who.
        operator: String,
        /// What.
        order: Order,
        /// The process that gets it.
        through: String,
        /// The revision the operator saw.
        expects: Option<u64>,
        /// The command's id; a resend carries the same.
        id: Option<String>,
    },
    /// A process or upstream ends without a warning.
    Crash(String),
    /// A process or upstream starts again.
    Restart {
        /// Which.
        part: String,
        /// Whether its disk is empty.
        without_data: bool,
    },
    /// A process is told to stop after its work.
    Stop(String),
    /// An upstream announces that it leaves.
    Leave(String),
    /// An upstream turns cold without a warning.
    Cool(String),
    /// Messages from the first to the second failure domain or part are lost.
    Cut {
        /// Where messages come from.
        from: String,
        /// Where they go to.
        to: String,
        /// Whether the other direction is cut as well.
        both: bool,
    },
    /// Open connections between two parts go silent; new ones work.
    Silence {
        /// One part.
        from: String,
        /// The other.
        to: String,
    },
    /// All cuts end.
    Heal,
    /// An expectation.
    Expect(Expect),
}

/// What must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The request was answered, whole, exactly once.
    Answered(String),
    /// The request was refused as not run, and did not run.
    NotRun(String),
    /// The request's work ran exactly once.
    RanOnce(String),
    /// The request's work ran at most that often.
    RanAtMost(String, usize),
    /// Every replica that lost its data is a voter again.
    Repaired,
    /// The request was billed exactly once.
    BilledOnce(String),
    /// No work starts on the failure domain, upstream or version from now on.
    NoNewWork(String),
    /// The last accepted revision is in force on all live instances that can be reached.
    InForce,
    /// Exactly one control replica leads.
    OneLeader,
    /// The command with this id was accepted.
    Accepted(String),
    /// The command with this id lost against another.
    Conflict(String),
}

/// A step and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Line in the script.
    pub line: usize,
    /// When.
    pub at: Time,
    /// What.
    pub action: Action,
}

/// A parsed script.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    /// Seed of all random choices.
    pub seed: u64,
    /// Example deployment whose inventory and rules are imported.
    pub deployment: Option<String>,
    /// Parts of the deployment.
    pub parts: Vec<Part>,
    /// Steps in the order of their times.
    pub steps: Vec<Step>,
}

impl Script {
    /// Adds a part of the deployment.
    ///
    /// # Errors
    ///
    /// Returns the part if another one has its name.
    pub fn add(&mut self, part: Part) -> Result<(), Part> {
        if self.parts.iter().any(|other| other.name == part.name) {
            return Err(part);
        }
        self.parts.push(part);
        Ok(())
    }
}
