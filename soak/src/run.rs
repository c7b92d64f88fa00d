//! A run: starts everything, lets the faults strike and judges.

use std::{
    cell::RefCell,
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use rustix::process::Signal;
use tokio::{sync::Mutex, task::JoinSet, time::sleep};

use crate::{
    caller::{self, Shared},
    judge::judge,
    layout::{BOOKINGS, DOMAINS, ENGINES, Layout},
    ledger::{End, Ledger, Part, Span},
    operator::{self, Operator},
    plan::{self, Fault, Target},
    process::{Guard, Process},
    proxy::{Mode, Proxy},
    upstream::Upstream,
};

/// Time that processes are down in the last fault.
const LAST_DOWN: Duration = Duration::from_secs(1);

/// Time after the last fault: until requests must be served again, and some in which they are.
const AFTER: Duration = Duration::from_secs(16);

/// Time between the request to stop and the forced end.
const GRACE: Duration = Duration::from_secs(8);

/// Time that a control instance has to stop.
const CONTROL_STOP: Duration = Duration::from_millis(1_200);

/// Pause between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(25);

/// Time in which a process that was started begins to serve, counted as a disturbance.
const START: Duration = Duration::from_millis(300);

/// Time for the last requests to end.
const SETTLE: Duration = Duration::from_secs(6);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides which faults strike.
    pub seed: u64,
    /// Time during which faults strike.
    pub length: Duration,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of callers.
    pub callers: usize,
    /// Program with the entry and control processes.
    pub program: PathBuf,
    /// Program of another build, with which the processes begin before they are replaced.
    pub from: Option<PathBuf>,
    /// This program, started as a guard.
    pub guard: PathBuf,
    /// Name of the fault that is planted, if the program was built with planted faults.
    pub plant: String,
    /// Folder for settings, logs and data.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Faults that struck.
    pub faults: usize,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// Everything that faults strike.
struct System {
    layout: Layout,
    ledger: Rc<RefCell<Ledger>>,
    guard: RefCell<Guard>,
    entries: Vec<RefCell<Process>>,
    control: Vec<RefCell<Process>>,
    fronts: Vec<Rc<Proxy>>,
    upstreams: Vec<Rc<Upstream>>,
    operator: Mutex<Operator>,
    callers: Rc<Shared>,
}

/// Returns the faults of a run.
#[must_use]
pub fn plan(seed: u64, length: Duration, entries: usize) -> Vec<plan::Step> {
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    plan::draw(seed, length, Layout::new(0, entries, DOMAINS.len()))
}

/// Plays a run.
///
/// # Errors
///
/// Returns an error if something can't be started.
pub async fn play(options: &Options) -> io::Result<Report> {
    fs::create_dir_all(&options.folder)?;
    // Runs at the same time have different process ids.
    let network = u8::try_from(std::process::id() % 250).unwrap_or(0) + 2;
    let layout = Layout::new(network, options.entries, DOMAINS.len());
    let system = Rc::new(System::start(options, layout).await?);
    if !system.operator.lock().await.begin().await {
        return Err(io::Error::other(
            "the first configuration was not confirmed",
        ));
    }
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        callers.spawn_local(caller::run(system.callers.clone(), number, seed));
    }
    let mut steps = plan(options.seed, options.length, options.entries);
    if options.from.is_some() {
        steps.extend(plan::draw_replacements(options.seed, layout));
        steps.sort_by_key(|(at, _)| *at);
    }
    let faults = steps.len();
    let start = system.ledger.borrow().now();
    let mut striking = JoinSet::new();
    for (at, fault) in steps {
        let now = system.ledger.borrow().now() - start;
        sleep(Duration::from_millis(at.saturating_sub(now))).await;
        println!("{:>7} {fault}", system.ledger.borrow().now());
        striking.spawn_local(system.clone().strike(fault));
    }
    while striking.join_next().await.is_some() {}
    println!("{:>7} last fault", system.ledger.borrow().now());
    system.clone().kill_all(LAST_DOWN).await?;
    let recovered = system.ledger.borrow().now();
    system.ledger.borrow_mut().recovered = Some(recovered);
    sleep(AFTER).await;
    callers.shutdown().await;
    for control in 0..DOMAINS.len() {
        system.operator.lock().await.read(control).await;
    }
    sleep(SETTLE).await;
    let system = Rc::try_unwrap(system);
    let ledger = match system {
        Ok(system) => system.end()?,
        Err(_) => return Err(io::Error::other("a fault has not ended")),
    };
    let ledger = ledger.borrow();
    let served = |r: &&crate::ledger::Request| matches!(r.end, Some((_, End::Status(200))));
    Ok(Report {
        requests: ledger.requests.len(),
        served: ledger.requests.values().filter(served).count(),
        faults: faults + 1,
        broken: judge(&ledger, layout),
    })
}

impl System {
    async fn start(options: &Options, layout: Layout) -> io::Result<Self> {
        let ledger: Rc<RefCell<Ledger>> = Rc::default();
        let mut guard = Guard::start(&options.guard)?;
        let process = |said, role| RefCell::new(Process::new(said, role, options));
        let control: Vec<_> = (0..DOMAINS.len())
            .map(|at| process(layout.control(at, &options.folder), "control"))
            .collect();
        let entries: Vec<_> = (0..layout.entries)
            .map(|at| process(layout.entry(at), "entry"))
            .collect();
        for process in control.iter().chain(&entries) {
            let mut process = process.borrow_mut();
            process.start(&mut guard)?;
            process.said.bootstrap = false;
        }
        let mut fronts = Vec::new();
        for at in 0..layout.entries {
            fronts.push(Proxy::start(layout.front_proxy(at), layout.front(at)).await?);
        }
        let mut upstreams = Vec::new();
        for at in 0..2 * layout.upstreams {
            let service = if at < layout.upstreams {
                BOOKINGS
            } else {
                ENGINES
            };
            upstreams.push(Upstream::start(at, service, layout, &ledger).await?);
        }
        let operator = Operator::new(layout, ledger.clone());
        let callers = Shared {
            layout,
            ledger: ledger.clone(),
            newest: RefCell::new(operator.newest()),
        };
        Ok(Self {
            layout,
            ledger,
            guard: RefCell::new(guard),
            entries,
            control,
            fronts,
            upstreams,
            operator: Mutex::new(operator),
            callers: Rc::new(callers),
        })
    }

    fn end(self) -> io::Result<Rc<RefCell<Ledger>>> {
        let mut guard = self.guard.into_inner();
        for process in self.entries.iter().chain(&self.control) {
            process.borrow_mut().kill(&mut guard)?;
        }
        guard.end()?;
        Ok(self.ledger)
    }

    fn process(&self, target: Target) -> (&RefCell<Process>, Part) {
        match target {
            Target::Control(at) => (&self.control[at], Part::Control(at)),
            Target::Entry(at) => (&self.entries[at], Part::Entry(at)),
        }
    }

    async fn strike(self: Rc<Self>, fault: Fault) {
        let text = fault.to_string();
        if let Err(error) = self.try_strike(fault).await {
            eprintln!("{text}: {error}");
        }
    }

    async fn try_strike(self: &Rc<Self>, fault: Fault) -> io::Result<()> {
        let time = Duration::from_millis;
        match fault {
            Fault::Kill(target, down) => self.kill(target, time(down), false).await?,
            Fault::Wipe(at, down) => self.kill(Target::Control(at), time(down), true).await?,
            Fault::KillAll(down) => self.clone().kill_all(time(down)).await?,
            Fault::Pause(target, length) => {
                let (process, part) = self.process(target);
                let record = self.ledger.borrow_mut().disturb(part);
                process.borrow().signal(Signal::STOP)?;
                sleep(time(length)).await;
                process.borrow().signal(Signal::CONT)?;
                self.ledger.borrow_mut().calm(record);
            }
            Fault::Stop(at) | Fault::Replace(Target::Entry(at)) => {
                if matches!(fault, Fault::Replace(_)) {
                    self.entries[at].borrow_mut().replace_program();
                }
                self.stop(at).await?;
            }
            Fault::Replace(Target::Control(at)) => self.replace_control(at).await?,
            Fault::Callers(at, mode, length) => {
                let (proxy, part) = (&self.fronts[at], Part::Entry(at));
                self.harm(proxy, part, mode, time(length)).await;
            }
            Fault::ResetCallers(at) => self.reset(&self.fronts[at], Part::Entry(at)),
            Fault::Link(at, mode, length) => {
                let (proxy, part) = (&self.upstreams[at].proxy, Part::Upstream(at));
                self.harm(proxy, part, mode, time(length)).await;
            }
            Fault::ResetLink(at) => self.reset(&self.upstreams[at].proxy, Part::Upstream(at)),
            Fault::Crash(at, down) => self.upstreams[at].crash(time(down)).await,
            Fault::Leave(at, away) => self.upstreams[at].leave(time(away)).await,
            Fault::Depart(at, away) => self.upstreams[at].depart(time(away)).await,
            Fault::Shed(at, length) => self.upstreams[at].shed(time(length)).await,
            Fault::Limit(at, milli, length) => {
                self.upstreams[at].limit(milli, time(length)).await;
            }
            Fault::Brittle(at, rejects, length) => {
                self.upstreams[at].be_brittle(rejects, time(length)).await;
            }
            Fault::Poison(part, length) => {
                caller::poison(self.callers.clone(), part, time(length)).await;
            }
            Fault::TakeOut(domain, length) => {
                operator::take_out(self.layout, self.ledger.clone(), domain, time(length)).await;
            }
            Fault::Older => {
                let operator = self.operator.lock().await;
                operator.send_older().await;
                for control in 0..DOMAINS.len() {
                    operator.read(control).await;
                }
            }
            Fault::Keys | Fault::Routes => {
                let mut operator = self.operator.lock().await;
                if matches!(fault, Fault::Keys) {
                    operator.change_keys().await;
                } else {
                    operator.change_routes().await;
                }
                *self.callers.newest.borrow_mut() = operator.newest();
            }
            Fault::Resize(routes) => {
                self.operator.lock().await.resize(routes).await;
            }
            Fault::Read(control) => self.operator.lock().await.read(control).await,
        }
        Ok(())
    }

    async fn harm(&self, proxy: &Proxy, part: Part, mode: Mode, time: Duration) {
        let record = self.ledger.borrow_mut().disturb(part);
        proxy.set(mode);
        sleep(time).await;
        proxy.set(Mode::Pass);
        self.ledger.borrow_mut().calm(record);
    }

    fn reset(&self, proxy: &Proxy, part: Part) {
        let record = self.ledger.borrow_mut().disturb(part);
        proxy.reset();
        self.ledger.borrow_mut().calm(record);
    }

    async fn kill(&self, target: Target, down: Duration, wipe: bool) -> io::Result<()> {
        let (process, part) = self.process(target);
        let record = self.ledger.borrow_mut().disturb(part);
        process.borrow_mut().kill(&mut self.guard.borrow_mut())?;
        let changes = process.borrow().changes();
        sleep(down).await;
        // Another fault may have killed it meanwhile, which starts it later.
        if process.borrow().changes() == changes {
            if wipe {
                process.borrow().wipe()?;
            }
            process.borrow_mut().start(&mut self.guard.borrow_mut())?;
        }
        sleep(START).await;
        self.ledger.borrow_mut().calm(record);
        Ok(())
    }

    async fn kill_all(self: Rc<Self>, down: Duration) -> io::Result<()> {
        let entries = (0..self.entries.len()).map(Target::Entry);
        let targets: Vec<_> = entries
            .chain((0..DOMAINS.len()).map(Target::Control))
            .collect();
        let mut kills = JoinSet::new();
        for target in targets {
            let system = self.clone();
            kills.spawn_local(async move { system.kill(target, down, false).await });
        }
        while let Some(killed) = kills.join_next().await {
            killed??;
        }
        Ok(())
    }

    /// Asks a control instance to stop and starts it again with the other build.
    async fn replace_control(&self, at: usize) -> io::Result<()> {
        let process = &self.control[at];
        let record = self.ledger.borrow_mut().disturb(Part::Control(at));
        process.borrow_mut().replace_program();
        process.borrow().signal(Signal::TERM)?;
        sleep(CONTROL_STOP).await;
        // Another fault may have ended and started it meanwhile.
        process.borrow_mut().kill(&mut self.guard.borrow_mut())?;
        process.borrow_mut().start(&mut self.guard.borrow_mut())?;
        sleep(START).await;
        self.ledger.borrow_mut().calm(record);
        Ok(())
    }

    /// Asks an entry instance to stop and starts it again when it has ended.
    async fn stop(&self, at: usize) -> io::Result<()> {
        let process = &self.entries[at];
        let record = {
            let mut ledger = self.ledger.borrow_mut();
            let from = ledger.now();
            ledger.stops.push((at, Span { from, to: None }));
            ledger.stops.len() - 1
        };
        process.borrow().signal(Signal::TERM)?;
        let ended = self.await_end(at).await?;
        {
            let mut ledger = self.ledger.borrow_mut();
            let now = ledger.now();
            ledger.stops[record].1.to = Some(now);
        }
        if ended {
            let disturbed = self.ledger.borrow_mut().disturb(Part::Entry(at));
            process.borrow_mut().start(&mut self.guard.borrow_mut())?;
            sleep(START).await;
            self.ledger.borrow_mut().calm(disturbed);
        }
        Ok(())
    }

    /// Waits until an entry instance has ended and returns false if another fault has taken over.
    async fn await_end(&self, at: usize) -> io::Result<bool> {
        let process = &self.entries[at];
        let changes = process.borrow().changes();
        let from = self.ledger.borrow().now();
        let until = from + u64::try_from(GRACE.as_millis()).unwrap_or(u64::MAX);
        loop {
            if process.borrow().changes() != changes {
                return Ok(false);
            }
            let ended = process
                .borrow_mut()
                .has_ended(&mut self.guard.borrow_mut())?;
            if ended {
                return Ok(true);
            }
            let now = self.ledger.borrow().now();
            if now >= until {
                // A process that stands still can't stop.
                if !self
                    .ledger
                    .borrow()
                    .is_disturbed(Part::Entry(at), from, now)
                {
                    let what = format!("entry instance {at} has not stopped in time");
                    self.ledger.borrow_mut().break_promise("graceful", &what);
                }
                process.borrow_mut().kill(&mut self.guard.borrow_mut())?;
                return Ok(true);
            }
            sleep(LOOK).await;
        }
    }
}

/// Returns the program that is beside this one.
///
/// # Errors
///
/// Returns an error if it isn't there.
pub fn beside(program: &Path, name: &str) -> io::Result<PathBuf> {
    let folders = program.ancestors().skip(1).take(2);
    let found = folders.map(|f| f.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| io::Error::other(format!("no program {name} beside {}", program.display())))
}
