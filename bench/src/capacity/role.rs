//! State, messages, processor time and memory of each role at the design size.

use masticlock_core::evidence::RETAINED_EPOCHS;

use super::{
    evidence, feed, log, membership,
    meter::{ENVELOPE, Line},
    plan, request, world,
};
use crate::report::Report;

/// Budget of a node for control in bytes per second.
const MAX_BYTES: f64 = 3_000.0;
/// Budget of a node for control in percent of a core.
const MAX_CORE_PERCENT: f64 = 1.6;
/// Budget of a node for control in megabytes.
const MAX_MEGABYTES: f64 = 128.0;
/// Time until a change is in force.
const MAX_IN_FORCE_MS: f64 = 4_000.0;

/// Control replicas at the design size: as many instances as may be set aside for control.
const REPLICAS: f64 = 7.0;
/// Seconds between two polls without news: `feed::HOLD`.
const POLL_SECONDS: f64 = 2.0;
/// Seconds between two reports that ask for totals, as in `masticlock::evidence`.
const TOTALS_SECONDS: f64 = 10.0;
/// Part of the requests that are calls that must not be repeated. The design
/// states "a few hundred claims a second".
const CLAIMS_PER_SECOND: f64 = 300.0;
/// Seconds that a request is open on average: 200 tokens at 32 ms and the first token.
const OPEN_SECONDS: f64 = 7.0;
/// Answers that an instance keeps. Each is on two instances for a minute.
const KEPT_SECONDS: f64 = 60.0;
/// Changes of gossiped records per failure domain and second: an engine that
/// changes its announcement every ten minutes, as in a rollout.
const RECORD_CHANGES: f64 = 96.0 / 600.0;

/// All measured slopes.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Gossip and summaries.
    pub membership: membership::Slopes,
    /// Configuration.
    pub feed: feed::Slopes,
    /// Evidence.
    pub evidence: evidence::Slopes,
    /// Requests.
    pub request: request::Slopes,
    /// Log.
    pub log: log::Slopes,
    /// Decisions.
    pub plan: plan::Slopes,
    /// Memory.
    pub memory: Memory,
}

/// Slopes of memory, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// Gossiped records, by engines.
    pub records: Line,
    /// Slot table, by engines.
    pub table: Line,
    /// Open requests.
    pub open: Line,
    /// Stored answers.
    pub answer: Line,
    /// Accounts.
    pub account: Line,
    /// Claims.
    pub claim: Line,
    /// Configuration, by engines.
    pub config: Line,
    /// One stored cell of evidence.
    pub cell: f64,
}

impl Memory {
    /// Measures memory. This must run in a new process: pages that earlier
    /// measurements freed would be used again and not be counted.
    pub fn measure(seed: u64) -> Self {
        Self {
            records: membership::memory(seed),
            table: request::table_memory(),
            open: request::open_memory(),
            answer: request::answer_memory(),
            account: request::account_memory(),
            claim: log::memory(),
            config: plan::memory(),
            cell: evidence::memory(seed),
        }
    }
}

/// Load of one role.
#[derive(Clone, Debug, Default)]
struct Load {
    messages: f64,
    bytes: f64,
    micros: f64,
    memory: f64,
}

impl Load {
    /// Adds a mechanism and prints its part.
    fn add(&mut self, what: &str, part: &Self) {
        println!(
            "  {what}: {:.1} messages/s, {:.0} B/s, {:.4}% of a core, {:.2} MB",
            part.messages,
            part.bytes,
            percent(part.micros),
            part.memory / 1e6
        );
        self.messages += part.messages;
        self.bytes += part.bytes;
        self.micros += part.micros;
        self.memory += part.memory;
    }
}

/// Converts microseconds per second to percent of a core.
fn percent(micros: f64) -> f64 {
    micros / 1e4
}

fn nodes() -> f64 {
    f64::from(world::NODES)
}

/// Instances that a relay serves: the others of its failure domain, half each.
fn below() -> f64 {
    f64::from(world::DOMAIN_NODES - 2) / 2.0
}

fn requests_per_node() -> f64 {
    world::REQUESTS / nodes()
}

/// Cells of evidence with one role and arm.
fn cells() -> f64 {
    f64::from(world::VERSIONS * world::TASKS * 3)
}

/// Cells that change at a node in a second: one when a request starts and one when it ends.
fn changed_cells() -> f64 {
    (2.0 * requests_per_node()).min(cells())
}

impl Slopes {
    fn gossip(&self) -> Load {
        let nodes = f64::from(world::DOMAIN_NODES);
        let slopes = &self.membership;
        Load {
            messages: slopes.idle_messages.at(nodes),
            bytes: slopes.idle_bytes.at(nodes) + RECORD_CHANGES * slopes.change_bytes,
            micros: slopes.idle_micros.at(nodes) + RECORD_CHANGES * slopes.change_micros,
            memory: self.memory.records.slope * f64::from(world::DOMAIN_ENGINES)
                + self.memory.table.slope * f64::from(world::DOMAIN_ENGINES),
        }
    }

    fn announcements(&self) -> Load {
        let rate = f64::from(world::ENGINES) / nodes();
        Load {
            messages: 2.0 * rate,
            bytes: rate * self.request.announce_bytes,
            micros: rate * self.request.announce_micros,
            memory: 0.0,
        }
    }

    /// Polls of an instance with `below` instances below it. Every change is
    /// taken as an import, the largest one.
    fn polls(&self, below: f64) -> Load {
        let engines = f64::from(world::ENGINES);
        Load {
            messages: 2.0 / POLL_SECONDS,
            bytes: self.feed.poll_bytes.at(below) / POLL_SECONDS
                + world::CHANGES * self.feed.import_bytes.at(engines),
            micros: self.feed.poll_micros.at(below) / POLL_SECONDS
                + world::CHANGES * self.feed.import_micros.at(engines),
            memory: 2.0 * self.memory.config.at(engines),
        }
    }

    /// Answers to a number of pollers, each with `below` instances below it.
    fn served(&self, pollers: f64, below: f64) -> Load {
        let engines = f64::from(world::ENGINES);
        Load {
            messages: pollers * 2.0 / POLL_SECONDS,
            bytes: pollers
                * (self.feed.poll_bytes.at(below) / POLL_SECONDS
                    + world::CHANGES * self.feed.import_bytes.at(engines)),
            micros: pollers * self.feed.serve_micros.at(below) / POLL_SECONDS,
            memory: 0.0,
        }
    }

    /// One summary asked for each second.
    fn summaries(&self) -> Load {
        Load {
            messages: 2.0,
            bytes: self.membership.summary_bytes.at(f64::from(world::VERSIONS)),
            ..Load::default()
        }
    }

    fn evidence(&self) -> Load {
        let slopes = &self.evidence;
        Load {
            messages: 2.0,
            bytes: slopes.report_bytes.at(changed_cells())
                + slopes.totals_bytes.at(cells()) / TOTALS_SECONDS,
            micros: slopes.report_micros.at(changed_cells())
                + slopes.read_micros.at(cells()) / TOTALS_SECONDS
                + self.plan.learn.at(f64::from(world::VERSIONS)),
            memory: self.memory.cell * cells() * f64::from(RETAINED_EPOCHS) * 2.0,
        }
    }

    fn evidence_leader(&self) -> Load {
        let slopes = &self.evidence;
        let own = self.evidence();
        let stored = cells() * nodes() * f64::from(RETAINED_EPOCHS);
        Load {
            messages: nodes() * own.messages,
            bytes: nodes() * own.bytes,
            micros: nodes()
                * (slopes.merge_micros.at(changed_cells())
                    + slopes.sum_micros.at(stored) / TOTALS_SECONDS),
            memory: self.memory.cell * stored,
        }
    }

    /// Slots of the requests at a node: nearly all come from another owner of
    /// the failure domain, and each node is as often owner as asker.
    fn slots(&self) -> Load {
        let rate = requests_per_node();
        let request = &self.request;
        let engines = f64::from(world::ENGINES) / nodes();
        Load {
            messages: 2.0 * rate * (4.0 + 2.0 * OPEN_SECONDS),
            bytes: 2.0 * rate * (request.remote_bytes + OPEN_SECONDS * request.renew_bytes),
            micros: rate * (request.local_micros.at(engines) + request.remote_micros),
            memory: 0.0,
        }
    }

    /// Bills and open records; a node is as often witness as asker.
    fn bills(&self) -> Load {
        let rate = requests_per_node();
        let request = &self.request;
        Load {
            messages: rate * request.bill_messages.at(REPLICAS),
            bytes: rate * (2.0 * request.witness_bytes + request.bill_bytes.at(REPLICAS)),
            micros: rate * request.bill_micros.at(REPLICAS),
            memory: rate * OPEN_SECONDS * self.memory.open.slope,
        }
    }

    fn plans(&self) -> Load {
        let micros = self.plan.plan.at(f64::from(world::VERSIONS));
        Load {
            micros: requests_per_node() * micros,
            ..Load::default()
        }
    }

    fn answers(&self) -> Load {
        let kept = 2.0 * requests_per_node() * KEPT_SECONDS;
        Load {
            memory: kept * self.memory.answer.slope + 10.0 * self.memory.account.slope,
            ..Load::default()
        }
    }

    fn log_leader(&self) -> Load {
        let log = &self.log;
        let per_claim = log.claim_micros.at(REPLICAS) + log.apply_micros;
        Load {
            messages: log.idle_messages.at(REPLICAS)
                + CLAIMS_PER_SECOND * (log.claim_messages.at(REPLICAS) + 4.0),
            bytes: log.idle_bytes.at(REPLICAS)
                + CLAIMS_PER_SECOND * (log.claim_bytes.at(REPLICAS) + self.request.claim_bytes),
            micros: log.idle_micros.at(REPLICAS)
                + CLAIMS_PER_SECOND * per_claim
                + world::CHANGES * log.change_micros,
            memory: self.memory.claim.slope * f64::from(CLAIMS_HELD),
        }
    }
}

/// Claims that a replica holds at most.
const CLAIMS_HELD: u32 = 200_000;

fn check(report: &mut Report, role: &str, load: &Load) {
    println!("  total: {:.1} messages/s", load.messages);
    report.at_most(
        &format!("{role}, B/s for control"),
        MAX_BYTES,
        load.bytes.round(),
    );
    let core = (percent(load.micros) * 1e4).round() / 1e4;
    report.at_most(
        &format!("{role}, percent of a core"),
        MAX_CORE_PERCENT,
        core,
    );
    let memory = (load.memory / 1e4).round() / 100.0;
    report.at_most(&format!("{role}, MB"), MAX_MEGABYTES, memory);
}

/// Computes the roles and compares them with their budgets.
pub fn compare(slopes: &Slopes, report: &mut Report) {
    println!("role entry instance below a relay, control without requests' own messages");
    let mut entry = Load::default();
    entry.add("gossip", &slopes.gossip());
    entry.add("announcements", &slopes.announcements());
    entry.add("polls", &slopes.polls(0.0));
    entry.add("summaries", &slopes.summaries());
    entry.add("evidence", &slopes.evidence());
    check(report, "entry instance", &entry);

    println!("role entry instance, per-request coordination at the peak on top");
    let mut busy = entry.clone();
    busy.add("slots", &slopes.slots());
    busy.add("bills", &slopes.bills());
    busy.add("plans", &slopes.plans());
    busy.add("answers and accounts", &slopes.answers());
    check(report, "entry instance with requests", &busy);

    println!("role relay, on top of an entry instance without requests");
    let mut relay = entry;
    let pollers = below();
    let own = slopes.polls(pollers);
    let leaf = slopes.polls(0.0);
    let more = Load {
        bytes: own.bytes - leaf.bytes,
        micros: own.micros - leaf.micros,
        ..Load::default()
    };
    relay.add("polls carry the instances below", &more);
    relay.add("polls served", &slopes.served(pollers, 0.0));
    let asked = f64::from(world::DOMAIN_NODES) / 2.0;
    let summary = slopes.summaries();
    let answered = Load {
        messages: asked * summary.messages,
        bytes: asked * summary.bytes,
        ..Load::default()
    };
    relay.add("summaries answered", &answered);
    check(report, "relay", &relay);

    println!("role control leader of {REPLICAS} replicas");
    let mut leader = Load::default();
    leader.add("log and claims", &slopes.log_leader());
    let relays = f64::from(2 * world::DOMAINS);
    leader.add("polls served", &slopes.served(relays, below()));
    leader.add("evidence", &slopes.evidence_leader());
    let bill = slopes.request.bill_bytes.at(REPLICAS) / REPLICAS;
    let bills = Load {
        messages: 2.0 * world::REQUESTS,
        bytes: world::REQUESTS * bill,
        ..Load::default()
    };
    leader.add("bills stored", &bills);
    println!(
        "  total: {:.1} messages/s, {:.0} B/s",
        leader.messages, leader.bytes
    );
    let core = (percent(leader.micros) * 100.0).round() / 100.0;
    report.at_most("control leader, percent of a core", 100.0, core);
    let memory = (leader.memory / 1e4).round() / 100.0;
    report.at_most("control leader, MB", MAX_MEGABYTES, memory);
    in_force(slopes, report);
}

/// Processor time on the way of an import through control, relay and instance.
fn in_force(slopes: &Slopes, report: &mut Report) {
    let engines = f64::from(world::ENGINES);
    let relays = f64::from(2 * world::DOMAINS);
    let micros = slopes.log.change_micros
        + (relays + below()) * slopes.feed.serve_micros.at(below())
        + 2.0 * slopes.feed.import_micros.at(engines);
    println!(
        "an answer with an import has {:.0} B",
        slopes.feed.import_bytes.at(engines)
    );
    println!(
        "an answer with a withdrawal has {:.0} B and is applied in {:.0} us",
        slopes.feed.restrict_bytes + ENVELOPE,
        slopes.plan.change.at(engines)
    );
    report.at_most(
        "processor time of an import from acceptance to the last instance, ms",
        MAX_IN_FORCE_MS,
        (micros / 10.0).round() / 100.0,
    );
}
