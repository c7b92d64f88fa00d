//! Calls of operators and upstreams, and an operator who changes the configuration.

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use masticlock_platform::testing::{self, Call, Kind, Route};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    http,
    layout::{BOOKINGS, CHANGING, COLD_RATE, DOMAINS, ENGINES, Layout, STEADY, STEADY_KEY, route},
    ledger::{Fact, Ledger, Read, Span},
};

/// Longest time for a call to one control instance.
const CALL: Duration = Duration::from_secs(2);

/// Pause between two tries of a call.
const PAUSE: Duration = Duration::from_millis(150);

/// Longest time in which a call is tried again, in milliseconds.
const PATIENCE_MS: u64 = 12_000;

/// Keys of the changing account that are valid at a time.
const KEYS: u64 = 2;

/// Calls a control instance and returns the body of its answer.
///
/// # Errors
///
/// Returns an error if no success comes.
pub async fn call(layout: Layout, control: usize, call: &Call) -> io::Result<String> {
    let address = layout.admin(control % DOMAINS.len());
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&call.encode()).await?;
        let mut reader = BufReader::new(stream);
        let Some((first, fields)) = http::head(&mut reader).await? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let body = http::body(&mut reader, fields.length.unwrap_or(0)).await?;
        match first.split(' ').nth(1) {
            Some("200") => Ok(body),
            _ => Err(io::Error::other(first)),
        }
    };
    timeout(CALL, exchange).await?
}

/// Repeats a call at one control instance after the other and returns whether it was confirmed.
pub async fn until_done(layout: Layout, wanted: &Call, ledger: &RefCell<Ledger>) -> bool {
    let until = ledger.borrow().now() + PATIENCE_MS;
    let mut control = 0;
    while ledger.borrow().now() < until {
        if call(layout, control, wanted).await.is_ok() {
            return true;
        }
        control += 1;
        sleep(PAUSE).await;
    }
    false
}

/// An operator.
pub struct Operator {
    layout: Layout,
    ledger: Rc<RefCell<Ledger>>,
    revision: u64,
    /// The configuration before the newest one.
    older: Option<String>,
    /// The newest configuration.
    newest: Option<String>,
    /// Number of the newest key of the changing account.
    key: u64,
    /// Number of the newest route that comes and goes.
    extra: u64,
    /// Number of routes that nobody uses.
    unused: usize,
}

/// Returns a key of the changing account.
#[must_use]
pub fn key(number: u64) -> String {
    format!("k-{number}")
}

/// Returns the name of a route that comes and goes.
#[must_use]
pub fn extra(number: u64) -> String {
    format!("extra-{number}")
}

impl Operator {
    /// Returns the operator of a new system.
    #[must_use]
    pub const fn new(layout: Layout, ledger: Rc<RefCell<Ledger>>) -> Self {
        Self {
            layout,
            ledger,
            revision: 0,
            older: None,
            newest: None,
            key: KEYS,
            extra: 1,
            unused: 0,
        }
    }

    /// Returns the numbers of the newest key and route.
    #[must_use]
    pub const fn newest(&self) -> (u64, u64) {
        (self.key, self.extra)
    }

    fn routes(&self) -> Vec<Route> {
        let mut routes = vec![
            route("book", Kind::Once),
            route("look", Kind::Repeatable),
            route("ask", Kind::Stream),
            route(&extra(self.extra), Kind::Repeatable),
        ];
        let unused = |n: usize| route(&format!("unused-{n}-{}", n * n), Kind::Repeatable);
        routes.extend((0..self.unused).map(unused));
        routes
    }

    /// Changes the number of routes that nobody uses.
    pub async fn resize(&mut self, routes: usize) {
        self.unused = routes;
        self.configure().await;
    }

    /// Sends a configuration and returns whether it was confirmed.
    async fn configure(&mut self) -> bool {
        self.revision += 1;
        let keys = (self.key + 1 - KEYS..=self.key).map(key).collect();
        let content = testing::configuration(
            self.revision,
            &self.routes(),
            &[(BOOKINGS, COLD_RATE), (ENGINES, COLD_RATE)],
            &[(STEADY, vec![STEADY_KEY.to_owned()]), (CHANGING, keys)],
        );
        self.older = self.newest.replace(content.clone());
        let done = until_done(self.layout, &Call::Configure(content), &self.ledger).await;
        if done {
            let mut ledger = self.ledger.borrow_mut();
            let now = ledger.now();
            ledger.confirmed.push((self.revision, now));
        }
        done
    }

    /// Sends the first configuration.
    pub async fn begin(&mut self) -> bool {
        self.configure().await
    }

    /// Takes the oldest key of the changing account away and adds one.
    pub async fn change_keys(&mut self) {
        self.key += 1;
        let gone = key(self.key - KEYS);
        if self.configure().await {
            let span = self.span_from_now();
            self.ledger
                .borrow_mut()
                .revoked
                .push(Fact { name: gone, span });
        }
    }

    /// Replaces the route that comes and goes.
    pub async fn change_routes(&mut self) {
        let old = extra(self.extra);
        let now = self.ledger.borrow().now();
        for fact in &mut self.ledger.borrow_mut().added {
            fact.span.to.get_or_insert(now);
        }
        self.extra += 1;
        if self.configure().await {
            let span = self.span_from_now();
            let name = extra(self.extra);
            let mut ledger = self.ledger.borrow_mut();
            ledger.dropped.push(Fact { name: old, span });
            ledger.added.push(Fact { name, span });
        }
    }

    /// Sends the configuration before the newest one again, as a late message would.
    pub async fn send_older(&self) {
        if let Some(content) = self.older.clone() {
            let wanted = Call::Configure(content);
            for control in 0..DOMAINS.len() {
                if call(self.layout, control, &wanted).await.is_ok() {
                    return;
                }
            }
        }
    }

    fn span_from_now(&self) -> Span {
        Span {
            from: self.ledger.borrow().now(),
            to: None,
        }
    }

    /// Reads the configuration from a control instance.
    pub async fn read(&self, control: usize) {
        let sent = self.ledger.borrow().now();
        if let Ok(body) = call(self.layout, control, &Call::Read).await
            && let Some(revision) = testing::revision(body.as_bytes())
        {
            self.ledger.borrow_mut().reads.push(Read { sent, revision });
        }
    }
}

/// Takes a failure domain out and back.
pub async fn take_out(
    layout: Layout,
    ledger: Rc<RefCell<Ledger>>,
    domain: &'static str,
    time: Duration,
) {
    let call = Call::TakeOut(domain.to_owned());
    if until_done(layout, &call, &ledger).await {
        let record = {
            let mut ledger = ledger.borrow_mut();
            let span = Span {
                from: ledger.now(),
                to: None,
            };
            let name = domain.to_owned();
            ledger.taken_out.push(Fact { name, span });
            ledger.taken_out.len() - 1
        };
        sleep(time).await;
        let mut ledger = ledger.borrow_mut();
        let now = ledger.now();
        ledger.taken_out[record].span.to = Some(now);
    }
    let call = Call::Restore(domain.to_owned());
    until_done(layout, &call, &ledger).await;
}
