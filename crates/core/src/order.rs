//! Orders to engines: fencing tokens, continuation by a new leader, and the
//! rate limit of the weight store.
//!
//! [`OrderTable`] is replicated. [`Dispatcher`] runs on the leader and decides
//! when an order of the table may be sent.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    error, name,
    time::{Span, Time},
};

plain! {
    /// Action that an engine should take.
    #[derive(Eq)]
    pub enum Action {
        /// Loads a version from the weight store.
        Load(name::Version),
        /// Unloads a version.
        Unload(name::Version),
        /// Changes the engine's role.
        Role(String),
    }

    /// Outcome of an order.
    #[derive(Eq)]
    pub enum End {
        /// The engine reports the ordered state.
        Done,
        /// The engine refused the order, with this reason.
        Refused(String),
    }

    /// An order to one engine.
    #[derive(Eq)]
    pub struct Order {
        /// The engine.
        pub upstream: name::Upstream,
        /// Fencing token, larger than that of every earlier order.
        pub fence: u64,
        /// Action that the engine should take.
        pub action: Action,
        /// Whether the engine refuses earlier fencing tokens.
        pub checks_fence: bool,
        /// Outcome, or `None` while the order is open.
        pub end: Option<End>,
    }

    /// A change of the orders.
    #[derive(Eq)]
    pub enum Input {
        /// Places an order, which replaces the engine's last one.
        Place {
            /// The engine.
            upstream: name::Upstream,
            /// Action that the engine should take.
            action: Action,
            /// Whether the engine refuses earlier fencing tokens.
            checks_fence: bool,
        },
        /// Gives every open order a new fencing token at the start of a leader's term.
        Renumber,
        /// Records the outcome of an order.
        Ended {
            /// The engine.
            upstream: name::Upstream,
            /// Fencing token of the order.
            fence: u64,
            /// Outcome of the order.
            end: End,
        },
    }

    /// Result of a change of the orders.
    #[derive(Eq)]
    pub enum Output {
        /// The order is placed with this fencing token.
        Placed(u64),
        /// The change is applied.
        Applied,
        /// The order is not the open order of the engine.
        Refused(error::Error),
    }
}

/// The last order of every engine, sorted by engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTable {
    last_fence: u64,
    orders: Vec<Order>,
}

impl OrderTable {
    /// Applies a change.
    pub fn apply(&mut self, input: &Input) -> Output {
        match input {
            Input::Place {
                upstream,
                action,
                checks_fence,
            } => {
                let fence = self.next_fence();
                let order = Order {
                    upstream: upstream.clone(),
                    fence,
                    action: action.clone(),
                    checks_fence: *checks_fence,
                    end: None,
                };
                match self.find(upstream) {
                    Ok(at) => self.orders[at] = order,
                    Err(at) => self.orders.insert(at, order),
                }
                Output::Placed(fence)
            }
            Input::Renumber => {
                for at in 0..self.orders.len() {
                    if self.orders[at].end.is_none() {
                        self.orders[at].fence = self.next_fence();
                    }
                }
                Output::Applied
            }
            Input::Ended {
                upstream,
                fence,
                end,
            } => self.end(upstream, *fence, end),
        }
    }

    /// Records the outcome of an order if its fencing token is that of the engine's open order.
    fn end(&mut self, upstream: &name::Upstream, fence: u64, end: &End) -> Output {
        let current = self
            .find(upstream)
            .ok()
            .and_then(|at| self.orders.get_mut(at))
            .filter(|order| order.fence == fence && order.end.is_none());
        match current {
            Some(order) => {
                order.end = Some(end.clone());
                Output::Applied
            }
            None => Output::Refused(error::Error::new(
                error::Kind::Fenced,
                format!("order {fence} is not the open order of {upstream}"),
            )),
        }
    }

    const fn next_fence(&mut self) -> u64 {
        self.last_fence += 1;
        self.last_fence
    }

    fn find(&self, upstream: &name::Upstream) -> Result<usize, usize> {
        self.orders.binary_search_by(|o| o.upstream.cmp(upstream))
    }

    /// Returns the last order of the engine.
    #[must_use]
    pub fn get(&self, upstream: &name::Upstream) -> Option<&Order> {
        self.find(upstream).ok().map(|at| &self.orders[at])
    }

    /// Returns the last order of every engine.
    #[must_use]
    pub fn orders(&self) -> &[Order] {
        &self.orders
    }
}

/// Rate limit of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Maximum number of loads that begin within [`Rate::per`].
    pub loads: usize,
    /// Length of the sliding window in which loads are counted.
    pub per: Span,
}

/// Next step of the leader for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Queries the state of the engine and records the order as done if the state is as ordered.
    Check(Order),
    /// Sends the order.
    Send(Order),
}

/// Progress of an open order on the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The state of the engine must be queried. `queried_at` is the time of the last query.
    Checking { queried_at: Option<Time> },
    /// The order may be sent.
    Ready,
    /// The order was sent at this time.
    Sent { at: Time },
}

/// Decides on the leader, for one term, when open orders are sent to engines.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    rate: Rate,
    /// When the leases of all earlier leaders have ended.
    old_leases_end: Time,
    /// Stages of the open orders by fencing token, sorted.
    stages: Vec<(u64, Stage)>,
    /// Times of the loads within the current window, oldest first.
    loads: VecDeque<Time>,
}

/// Time after which an engine that has not answered an order or a query is queried again.
pub const ORDER_TIMEOUT: Span = Span::from_secs(60);

impl Dispatcher {
    /// Creates the dispatcher of a term that starts at `now`.
    ///
    /// An engine that does not check fencing tokens gets no order before
    /// `old_lease`, the longest lease of an earlier leader, has ended. Loads
    /// by an earlier leader are not known, so the rate limit is treated as
    /// exhausted at the start.
    #[must_use]
    pub fn new(rate: Rate, old_lease: Span, now: Time) -> Self {
        Self {
            rate,
            old_leases_end: now + old_lease,
            stages: Vec::new(),
            loads: std::iter::repeat_n(now, rate.loads).collect(),
        }
    }

    /// Returns the steps that are due for the open orders of the table.
    pub fn steps(&mut self, table: &OrderTable, now: Time) -> Vec<Step> {
        let is_open = |fence: u64| {
            table
                .orders()
                .iter()
                .any(|o| o.fence == fence && o.end.is_none())
        };
        self.stages.retain(|(fence, _)| is_open(*fence));
        while self
            .loads
            .front()
            .is_some_and(|at| now.since(*at) >= self.rate.per)
        {
            self.loads.pop_front();
        }
        let orders = table.orders().iter().filter(|o| o.end.is_none());
        orders.filter_map(|order| self.step(order, now)).collect()
    }

    fn step(&mut self, order: &Order, now: Time) -> Option<Step> {
        let at = match self.stages.binary_search_by_key(&order.fence, |s| s.0) {
            Ok(at) => at,
            Err(at) => {
                // An earlier leader may have sent the order already. An engine
                // that checks fencing tokens refuses the delayed order; the
                // state of other engines is queried first.
                let stage = if order.checks_fence {
                    Stage::Ready
                } else {
                    Stage::Checking { queried_at: None }
                };
                self.stages.insert(at, (order.fence, stage));
                at
            }
        };
        match self.stages[at].1 {
            Stage::Checking { .. } if now < self.old_leases_end => None,
            Stage::Checking {
                queried_at: Some(queried_at),
            } if now.since(queried_at) < ORDER_TIMEOUT => None,
            Stage::Ready => self.send(at, order, now),
            Stage::Sent { at: sent_at } if now.since(sent_at) < ORDER_TIMEOUT => None,
            // If the answer to an order is lost, the state of the engine shows whether it was executed.
            Stage::Checking { .. } | Stage::Sent { .. } => {
                self.stages[at].1 = Stage::Checking {
                    queried_at: Some(now),
                };
                Some(Step::Check(order.clone()))
            }
        }
    }

    fn send(&mut self, at: usize, order: &Order, now: Time) -> Option<Step> {
        if matches!(order.action, Action::Load(_)) {
            if self.loads.len() >= self.rate.loads {
                return None;
            }
            self.loads.push_back(now);
        }
        self.stages[at].1 = Stage::Sent { at: now };
        Some(Step::Send(order.clone()))
    }

    /// Records that a query has shown that the order is not done, so that it may be sent.
    pub fn record_not_done(&mut self, fence: u64) {
        if let Ok(at) = self.stages.binary_search_by_key(&fence, |s| s.0)
            && matches!(self.stages[at].1, Stage::Checking { .. })
        {
            self.stages[at].1 = Stage::Ready;
        }
    }
}
