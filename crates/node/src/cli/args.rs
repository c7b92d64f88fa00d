//! Arguments of the command line.

use std::{
    fmt::{self, Display as _},
    path::PathBuf,
};

use bpaf::Bpaf;

/// Operates masticlock.
///
/// Exit codes: 0 done; 1 refused; 2 bad arguments, settings or files; 3 accepted and not yet in
/// force everywhere; 4 outcome unknown, the same command can be sent again with its id; 5 no
/// process answered.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Settings file with the addresses of the processes and the cluster secret
    #[bpaf(
        long,
        short,
        argument("FILE"),
        env("MASTICLOCK_SETTINGS"),
        fallback(PathBuf::from("operator.json")),
        format_fallback(|path: &PathBuf, f: &mut fmt::Formatter<'_>| path.display().fmt(f))
    )]
    pub settings: PathBuf,
    /// Prints JSON
    pub json: bool,
    /// What to do
    #[bpaf(external)]
    pub action: Action,
}

/// Options of every command that changes the configuration.
#[derive(Clone, Debug, Bpaf)]
pub struct Commit {
    /// Id of the command; send the same id again after a lost answer
    #[bpaf(long, argument("ID"), optional)]
    pub id: Option<String>,
    /// Revision that the change is based on; another one is refused as a conflict
    #[bpaf(long, argument("REVISION"), optional)]
    pub expects: Option<u64>,
    /// Longest wait for the change to be in force, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(4), display_fallback)]
    pub wait: u64,
    /// Who sends it, for the time line
    #[bpaf(
        long,
        argument("NAME"),
        env("USER"),
        fallback(String::from("operator"))
    )]
    pub operator: String,
}

/// What a restriction is about.
#[derive(Clone, Debug, Bpaf)]
pub enum Subject {
    /// A version, which gets no new work
    #[bpaf(command("version"))]
    Version(#[bpaf(positional("VERSION"))] String),
    /// A failure domain, which gets no new work
    #[bpaf(command("domain"))]
    Domain(#[bpaf(positional("DOMAIN"))] String),
    /// An upstream, which gets no new work
    #[bpaf(command("upstream"))]
    Upstream(#[bpaf(positional("UPSTREAM"))] String),
    /// A client account, whose requests are refused
    #[bpaf(command("account"))]
    Account(#[bpaf(positional("ACCOUNT"))] String),
}

/// What a settings file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Settings of an entry instance.
    Entry,
    /// Settings of a control replica.
    Control,
    /// Settings of this command line.
    Operator,
    /// An inventory.
    Inventory,
    /// Rules.
    Rules,
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "entry" => Ok(Self::Entry),
            "control" => Ok(Self::Control),
            "operator" => Ok(Self::Operator),
            "inventory" => Ok(Self::Inventory),
            "rules" => Ok(Self::Rules),
            other => Err(format!(
                "{other} is none of entry, control, operator, inventory and rules"
            )),
        }
    }
}

/// Rollouts.
#[derive(Clone, Debug, Bpaf)]
pub enum Rollout {
    /// Starts a rollout
    #[bpaf(command)]
    Start {
        /// Stable version of the same model to compare with
        #[bpaf(long, argument("VERSION"))]
        baseline: String,
        /// Shares of the stages, such as 0.01,0.1,0.5,1
        #[bpaf(
            long,
            argument("SHARES"),
            fallback(String::from("0.01,0.1,0.5,1")),
            display_fallback
        )]
        shares: String,
        /// Most requests that a stage exposes before evidence decides
        #[bpaf(long, argument("REQUESTS"), fallback(300), display_fallback)]
        exposure: u64,
        /// Shortest time in a stage, in seconds
        #[bpaf(long, argument("SECONDS"), fallback(60), display_fallback)]
        at_least: u64,
        #[bpaf(external)]
        commit: Commit,
        /// Version to roll out
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Moves a rollout to its next stage
    #[bpaf(command)]
    Advance {
        /// Stage that is left, from 0
        #[bpaf(long, argument("STAGE"))]
        from: usize,
        #[bpaf(external)]
        commit: Commit,
        /// Version that is rolled out
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Stops a rollout and rolls it back
    #[bpaf(command)]
    Stop {
        /// Why
        #[bpaf(
            long,
            argument("TEXT"),
            fallback(String::from("stopped by an operator"))
        )]
        reason: String,
        #[bpaf(external)]
        commit: Commit,
        /// Version that is rolled out
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Lists rollouts
    #[bpaf(command)]
    Status,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Checks a settings file, an inventory or rules without starting anything
    #[bpaf(command)]
    Check {
        /// entry, control, operator, inventory or rules
        #[bpaf(long, argument("KIND"))]
        kind: Kind,
        /// File to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Imports an inventory
    #[bpaf(command)]
    Import {
        #[bpaf(external)]
        commit: Commit,
        /// Inventory, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Replaces the rules
    #[bpaf(command)]
    Rules {
        #[bpaf(external)]
        commit: Commit,
        /// Rules, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows instances, upstreams and versions
    #[bpaf(command)]
    Status,
    /// Shows the outcome of a command
    #[bpaf(command)]
    Outcome {
        /// Id of the command
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Takes new work away from a version, failure domain, upstream or client account
    #[bpaf(command)]
    Restrict {
        /// Applies it at this entry instance at once, without the majority
        #[bpaf(long, argument("ADDRESS"), optional)]
        at: Option<String>,
        #[bpaf(external)]
        commit: Commit,
        #[bpaf(external)]
        subject: Subject,
    },
    /// Ends a restriction of the configuration
    #[bpaf(command)]
    Allow {
        #[bpaf(external)]
        commit: Commit,
        #[bpaf(external)]
        subject: Subject,
    },
    /// Lifts a restriction that was applied without the majority
    #[bpaf(command)]
    Lift {
        #[bpaf(external)]
        commit: Commit,
        /// Id of the restriction
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Starts, advances, stops or lists rollouts
    #[bpaf(command)]
    Rollout {
        #[bpaf(external)]
        rollout: Rollout,
    },
    /// Withdraws a version; short for `restrict version`
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external)]
        commit: Commit,
        /// Version
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Takes a failure domain out; short for `restrict domain`
    #[bpaf(command("take-out"))]
    TakeOut {
        #[bpaf(external)]
        commit: Commit,
        /// Failure domain
        #[bpaf(positional("DOMAIN"))]
        domain: String,
    },
    /// Returns a failure domain; short for `allow domain`
    #[bpaf(command("return"))]
    Return {
        #[bpaf(external)]
        commit: Commit,
        /// Failure domain
        #[bpaf(positional("DOMAIN"))]
        domain: String,
    },
    /// Totals the bills of all control replicas per client account
    #[bpaf(command)]
    Bills {
        /// Lists the bills of this client account
        #[bpaf(long, argument("ACCOUNT"), optional)]
        account: Option<String>,
    },
    /// Prints the events of all processes in one order
    #[bpaf(command)]
    Timeline {
        /// Reads structured log lines from this file, - for standard input, instead of asking the
        /// processes; may be given several times
        #[bpaf(long, argument("FILE"))]
        lines: Vec<PathBuf>,
    },
    /// Shows the plans considered for a request and the reason for the choice, or from log lines
    /// what became of a request or a change
    #[bpaf(command)]
    Explain {
        /// Reads structured log lines from this file, - for standard input, instead of asking the
        /// processes; may be given several times
        #[bpaf(long, argument("FILE"))]
        lines: Vec<PathBuf>,
        /// Request id; with --lines also an upstream, an address, a command or FIELD=VALUE
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Makes a single-voter log from the data folder of a surviving replica, offline
    #[bpaf(command)]
    Recover {
        /// Writes the new log; without it only what may be lost is printed
        #[bpaf(long)]
        write: bool,
        /// Settings file of the surviving control replica
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
