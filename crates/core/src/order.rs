//! Orders to engines: fencing numbers, continuation by a new leader, and the
//! rate limit of the weight store.
//!
//! [`OrderTable`] is replicated. [`Dispatcher`] belongs to the leader and decides when
//! an order of the book may be sent.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    error, name,
    time::{Span, Time},
};

plain! {
    /// What an engine is told to do.
    #[derive(Eq)]
    pub enum Action {
        /// Loads a version from the weight store.
        Load(name::Version),
        /// Unloads a version.
        Unload(name::Version),
        /// Changes the engine's role.
        Role(String),
    }

    /// How an order ended.
    #[derive(Eq)]
    pub enum End {
        /// The engine reports the state that the order asks for.
        Done,
        /// The engine refused it, with its reason.
        Refused(String),
    }

    /// An order to one engine.
    #[derive(Eq)]
    pub struct Order {
        /// The engine.
        pub upstream: name::Upstream,
        /// Fencing number, larger than that of every order before.
        pub fence: u64,
        /// What it is told to do.
        pub action: Action,
        /// Whether the engine refuses old fencing numbers.
        pub checks_fence: bool,
        /// How it ended; `None` while it is open.
        pub end: Option<End>,
    }

    /// A change of the orders.
    #[derive(Eq)]
    pub enum Input {
        /// Places an order. It takes the place of the engine's last one.
        Place {
            /// The engine.
            upstream: name::Upstream,
            /// What it is told to do.
            action: Action,
            /// Whether the engine refuses old fencing numbers.
            checks_fence: bool,
        },
        /// Gives every open order a new fencing number, at the start of a leader's term.
        Renumber,
        /// Records how an order ended.
        Ended {
            /// The engine.
            upstream: name::Upstream,
            /// The order's fencing number.
            fence: u64,
            /// How it ended.
            end: End,
        },
    }

    /// What a change of the orders led to.
    #[derive(Eq)]
    pub enum Output {
        /// The order has this fencing number.
        Placed(u64),
        /// The change is applied.
        Applied,
        /// The order is not the engine's current one.
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
            } => self.ended(upstream, *fence, end),
        }
    }

    fn ended(&mut self, upstream: &name::Upstream, fence: u64, end: &End) -> Output {
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

/// Rate limit of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Most loads that begin within [`Rate::per`].
    pub loads: usize,
    /// The span that loads are counted over.
    pub per: Span,
}

/// What the leader does next about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Asks the engine for its state, and records the end if it has what the order asks for.
    Check(Order),
    /// Sends the order.
    Send(Order),
}

/// What the leader knows of an open order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The engine's state is asked for, or will be.
    Checking { asked: Option<Time> },
    /// The order may be sent.
    Ready,
    /// The order was sent.
    Sent { at: Time },
}

/// The leader's side of the orders for one term.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    rate: Rate,
    /// When the lease of every earlier leader has certainly ended.
    safe: Time,
    stages: Vec<(u64, Stage)>,
    loads: VecDeque<Time>,
}

/// How long an engine has to answer an order or a question before it is sent again.
pub const ORDER_TIMEOUT: Span = Span::from_secs(60);

impl Dispatcher {
    /// Starts a term at `now`.
    ///
    /// An engine that ignores fencing numbers gets no order before
    /// `old_lease`, the longest lease of an earlier leader, has ended. Loads
    /// of the earlier leader are not known, so the rate limit counts as used
    /// up at the start.
    #[must_use]
    pub fn new(rate: Rate, old_lease: Span, now: Time) -> Self {
        Self {
            rate,
            safe: now + old_lease,
            stages: Vec::new(),
            loads: std::iter::repeat_n(now, rate.loads).collect(),
        }
    }

    /// Returns what to do now about the open orders of the book.
    pub fn steps(&mut self, book: &OrderTable, now: Time) -> Vec<Step> {
        let open = |fence: u64| {
            book.orders()
                .iter()
                .any(|o| o.fence == fence && o.end.is_none())
        };
        self.stages.retain(|(fence, _)| open(*fence));
        while self
            .loads
            .front()
            .is_some_and(|at| now.since(*at) >= self.rate.per)
        {
            self.loads.pop_front();
        }
        let orders = book.orders().iter().filter(|o| o.end.is_none());
        orders.filter_map(|order| self.step(order, now)).collect()
    }

    fn step(&mut self, order: &Order, now: Time) -> Option<Step> {
        let at = match self.stages.binary_search_by_key(&order.fence, |s| s.0) {
            Ok(at) => at,
            Err(at) => {
                // Whether an earlier leader sent the order is not known: an
                // engine that checks the number refuses its late arrival, the
                // others are asked first.
                let stage = if order.checks_fence {
                    Stage::Ready
                } else {
                    Stage::Checking { asked: None }
                };
                self.stages.insert(at, (order.fence, stage));
                at
            }
        };
        match self.stages[at].1 {
            Stage::Checking { .. } if now < self.safe => None,
            Stage::Checking { asked: Some(asked) } if now.since(asked) < ORDER_TIMEOUT => None,
            Stage::Ready => self.send(at, order, now),
            Stage::Sent { at: sent } if now.since(sent) < ORDER_TIMEOUT => None,
            // When the answer to an order is lost, the engine's state tells whether it worked.
            Stage::Checking { .. } | Stage::Sent { .. } => {
                self.stages[at].1 = Stage::Checking { asked: Some(now) };
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

    /// Records that the engine was asked and does not have what the order asks for.
    pub fn record_not_done(&mut self, fence: u64) {
        if let Ok(at) = self.stages.binary_search_by_key(&fence, |s| s.0)
            && matches!(self.stages[at].1, Stage::Checking { .. })
        {
            self.stages[at].1 = Stage::Ready;
        }
    }
}
