//! A small deployment on loopback addresses with stand-ins for clients, servers and the operator.
//!
//! Only the standard library is used. Times in the record are milliseconds since the start.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT_MS: u64 = 1_200;
pub const DRAIN_MS: u64 = 2_000;
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const HOST: &str = "ficu95.example";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// Whether the script runs with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Writes a line to `record.txt` and to standard output.
pub fn record(line: &str) {
    let text = format!("{:>6} {line}", now_ms());
    println!("{text}");
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{text}");
    }
}

/// Runs the case in `folder`: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn main_with(
    folder: &str,
    case: fn(&mut Deployment) -> io::Result<bool>,
    shape: Shape,
) -> ExitCode {
    now_ms();
    let root = std::env::current_dir().unwrap();
    let path = root.join("review").join(folder).join("record.txt");
    match File::create(&path) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(error) => {
            eprintln!(
                "{}: {error}; run from the repository's root",
                path.display()
            );
            return ExitCode::from(2);
        }
    }
    record(if has_trouble() {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let outcome = Deployment::start(shape).and_then(|mut deployment| {
        let outcome = case(&mut deployment);
        deployment.stop();
        outcome
    });
    match outcome {
        Ok(true) => {
            record("RESULT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record("RESULT: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record(&format!("RESULT: could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

#[derive(Clone, Copy)]
pub struct Shape {
    pub controls: usize,
    pub entries: usize,
}

const ZONES: [&str; 3] = ["pnw-a", "pnw-b", "pnw-c"];

pub fn zone(at: usize) -> &'static str {
    ZONES[at % ZONES.len()]
}

/// A process of the product.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/masticlock-platform")
            .arg(self.role)
            .env("MASTICLOCK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            let mut pids = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)?;
            writeln!(pids, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub folder: PathBuf,
    network: u8,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
}

impl Deployment {
    pub fn ip(&self, range: u8, at: usize) -> IpAddr {
        Ipv4Addr::new(127, self.network, range, at as u8 + 1).into()
    }

    pub fn admin(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(1, at), 8229)
    }

    pub fn admins(&self) -> Vec<SocketAddr> {
        (0..self.controls.len()).map(|at| self.admin(at)).collect()
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, at), 8227)
    }

    pub fn readiness(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, at), 8220)
    }

    pub fn server(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(3, at), 8120)
    }

    fn settings(&self, role: &str, at: usize, controls: usize) -> String {
        let is_entry = role == "entry";
        let ip = self.ip(if is_entry { 2 } else { 1 }, at);
        let class = if is_entry { "edge" } else { "core" };
        let serves = if is_entry { "edge" } else { "control_plane" };
        let seeds: Vec<_> = (0..controls.min(3))
            .map(|at| format!("\"{}\"", self.admin(at)))
            .collect();
        let memory = if is_entry { 110 } else { 256 };
        let data = if is_entry {
            String::new()
        } else {
            format!(
                "DataDir = \"{}\"\n",
                self.folder.join(format!("data-{at}")).display()
            )
        };
        let listeners = if is_entry {
            format!(
                "Frontend = \"{}\"\nReadiness = \"{}\"\n",
                self.front(at),
                self.readiness(at)
            )
        } else {
            format!("Admin = \"{}\"\n", self.admin(at))
        };
        format!(
            "NodeName = \"{class}-{zone}-{at}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\n\
             Serves = [\"{serves}\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"pnw\"\n\
             PortRange = [7340,7355]\nSeedNodes = [{seeds}]\nBootstrap = true\nInTolerance = {core}\n\
             Discovery = \"self_register\"\nEntrypoint = \"virtual_ip\"\nHeartbeatMs = {HEARTBEAT_MS}\n\
             Guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"places\",\"rollout\"]\nConfigMode = \"highest\"\n{data}\
             [Zones]\npnw-a = \"pnw\"\npnw-b = \"pnw\"\npnw-c = \"pnw\"\n\
             [ListenersMap]\n{listeners}\
             [Limits]\nCpuFraction = 0.25\nCpuCores = 1\nMemoryMb = {memory}\nMaxFds = 4096\n\
             LinkMbps = 1000.0\nDiskMb = {disk}\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckTimeoutMs = 4000\n\
             CatchUpS = 4\nDrainMs = {DRAIN_MS}\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             DowngradeSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = true\nRevokeMs = 5000\n\
             RetryRatio = 0.9\nRetryWindowS = 10\nRetryExtra = 58\nCanaryShare = 0.15\n\
             CanaryMargin = 30\nRollbackMs = 5000\nColdOverage = 1.5\nColdMargin = 5\n\
             EvacuateMs = 5000\nRecoveryS = 12\nForwardMs = 120\nReuseWindowS = 8.1\nSessionTtlS = 5\n",
            seeds = seeds.join(","),
            zone = zone(at),
            core = !is_entry,
            disk = if is_entry { 0 } else { 128 },
        )
    }

    fn start(shape: Shape) -> io::Result<Self> {
        let tag = std::process::id();
        let folder = std::env::temp_dir().join(format!("masticlock-review-{tag}"));
        fs::create_dir_all(&folder)?;
        // Uses a loopback network in which no address is taken.
        let network = (0..200u32)
            .map(|i| 20 + ((tag + i) % 200) as u8)
            .find(|n| TcpListener::bind((Ipv4Addr::new(127, *n, 1, 1), 8229)).is_ok())
            .ok_or_else(|| io::Error::other("no free loopback network"))?;
        let mut deployment = Self {
            folder,
            network,
            controls: Vec::new(),
            entries: Vec::new(),
        };
        for (role, count) in [("control", shape.controls), ("entry", shape.entries)] {
            for at in 0..count {
                let name = format!("{role}-{at}");
                let settings = deployment.folder.join(format!("{name}.toml"));
                fs::write(&settings, deployment.settings(role, at, shape.controls))?;
                if role == "control" {
                    fs::create_dir_all(deployment.folder.join(format!("data-{at}")))?;
                }
                let log = deployment.folder.join(format!("{name}.log"));
                let mut process = Process {
                    name,
                    role,
                    settings,
                    log,
                    child: None,
                };
                process.start()?;
                if role == "control" {
                    deployment.controls.push(process);
                } else {
                    deployment.entries.push(process);
                }
            }
        }
        record(&format!(
            "{} control and {} entry processes started",
            shape.controls, shape.entries
        ));
        Ok(deployment)
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn stop(&mut self) {
        self.controls.clear();
        self.entries.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }

    /// Calls the control processes in turn until one answers with a 2xx.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> io::Result<String> {
        let until = Instant::now() + limit;
        let mut at = 0;
        while Instant::now() < until {
            let address = self.admin(at % self.controls.len().max(1));
            at += 1;
            if let Ok(answer) = call(address, method, path, body, ms(1_000)) {
                if (200..300).contains(&answer.status) {
                    return Ok(answer.body);
                }
                if answer.status / 100 == 4 {
                    return Err(io::Error::other(format!(
                        "{path}: status {}",
                        answer.status
                    )));
                }
            }
            thread::sleep(ms(100));
        }
        Err(io::Error::other(format!("{path}: no confirmation")))
    }

    /// Sends a manifest and waits until all entry processes are ready.
    pub fn configure(&self, manifest: &str) -> io::Result<()> {
        self.order("POST", "/Config.Replace", manifest, ms(12_000))?;
        record("operator: the manifest is confirmed");
        let until = Instant::now() + ms(10_000);
        for at in 0..self.entries.len() {
            loop {
                let answer = call(self.readiness(at), "GET", "/readyz", "", ms(500));
                if answer.is_ok_and(|a| a.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("an entry process is not ready"));
                }
                thread::sleep(ms(50));
            }
        }
        record("platform: all entry processes are ready");
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A message as it is on the wire.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.header("Attempt-Id").unwrap_or("-")
    }
}

/// Reads the head of a message; none at the end of the channel.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    message.status = message
        .first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message. Calls `each` with the bytes of each part that arrives.
pub fn read_body<R: BufRead>(
    reader: &mut R,
    message: &mut Message,
    is_response: bool,
    mut each: impl FnMut(&str),
) -> io::Result<()> {
    let chunked = message
        .header("Transfer-Encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut bytes = vec![0; length + 2];
            reader.read_exact(&mut bytes)?;
            if length == 0 {
                message.complete = true;
                return Ok(());
            }
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            each(&text);
            message.body.push_str(&text);
        }
    }
    let length = message
        .header("Content-Length")
        .and_then(|v| v.parse::<usize>().ok());
    match length {
        Some(length) => {
            let mut bytes = vec![0; length];
            reader.read_exact(&mut bytes)?;
            message.body = String::from_utf8_lossy(&bytes).into_owned();
            each(&message.body.clone());
        }
        None if is_response => {
            let mut bytes = Vec::new();
            reader.read_to_end(&mut bytes)?;
            message.body = String::from_utf8_lossy(&bytes).into_owned();
            each(&message.body.clone());
        }
        None => {}
    }
    message.complete = true;
    Ok(())
}

/// Sends one request on a channel of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut answer, true, |_| {})?;
    Ok(answer)
}

/// How a client's attempt ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A complete answer.
    Answer(Message),
    /// The channel ended before an answer or within one.
    Broken(Message, String),
}

/// A client's request as text; `extra` are further header lines, each with its line break.
pub fn request(
    id: &str,
    method: &str,
    path: &str,
    deadline_ms: u64,
    extra: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         X-Api-Key: {KEY}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request and reads the answer on an open channel.
pub fn exchange(stream: &TcpStream, request: &str) -> Ending {
    let mut answer = Message::default();
    let mut run = || -> io::Result<()> {
        (&mut &*stream).write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut reader, &mut answer, true, |_| {})
    };
    match run() {
        Ok(()) => Ending::Answer(answer),
        Err(error) => Ending::Broken(answer, error.to_string()),
    }
}

/// Opens a channel and sends a request on it.
pub fn send(address: SocketAddr, request: &str, limit: Duration) -> Ending {
    match TcpStream::connect_timeout(&address, ms(1_000)) {
        Ok(stream) => {
            let _ = stream.set_read_timeout(Some(limit));
            exchange(&stream, request)
        }
        Err(error) => Ending::Broken(Message::default(), error.to_string()),
    }
}

/// What a stand-in for a server does with a request on a channel. Returns whether the channel stays.
pub type Handler = dyn Fn(&Server, &Message, &TcpStream) -> io::Result<bool> + Send + Sync;

/// A stand-in for a server that announces itself.
pub struct Server {
    pub id: Mutex<String>,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub admins: Vec<SocketAddr>,
    /// Listens, answers and announces itself.
    pub alive: AtomicBool,
    /// Its listener is open.
    listens: AtomicBool,
    pub draining: AtomicBool,
    /// Requests that it runs.
    pub running: AtomicU32,
    born: AtomicU64,
    sequence: AtomicU64,
    channels: Mutex<HashMap<u64, TcpStream>>,
    next_channel: AtomicU64,
    handler: Box<Handler>,
}

impl Server {
    pub fn start(
        deployment: &Deployment,
        at: usize,
        id: &str,
        service: &str,
        version: &str,
        slots: u32,
        handler: Box<Handler>,
    ) -> io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone(at).to_owned(),
            slots,
            address: deployment.server(at),
            admins: deployment.admins(),
            alive: AtomicBool::new(true),
            listens: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            running: AtomicU32::new(0),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            channels: Mutex::default(),
            next_channel: AtomicU64::new(0),
            handler,
        });
        server.listen()?;
        let announcer = server.clone();
        thread::spawn(move || {
            loop {
                if announcer.alive.load(Ordering::SeqCst) {
                    announcer.announce();
                }
                thread::sleep(ms(HEARTBEAT_MS));
            }
        });
        Ok(server)
    }

    pub fn name(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    /// Sends a status report to one control process after another until one confirms it.
    pub fn announce(&self) -> bool {
        let phase = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"Backend\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Revision\":\"{}\",\"Slots\":{},\
             \"Phase\":\"{phase}\",\"ColdLeftMs\":0,\"Seq\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version,
            self.slots,
            self.born.load(Ordering::SeqCst)
        );
        let path = format!("/Endpoints.Heartbeat/{}", self.name());
        self.tell(&path, &body)
    }

    fn tell(&self, path: &str, body: &str) -> bool {
        self.admins.iter().any(|admin| {
            let answer = call(*admin, "POST", path, body, ms(1_000));
            answer.is_ok_and(|a| (200..300).contains(&a.status))
        })
    }

    pub fn deregister(&self) -> bool {
        let body = format!("{{\"born\":{}}}", self.born.load(Ordering::SeqCst));
        self.tell(&format!("/Endpoints.Deregister/{}", self.name()), &body)
    }

    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.listens.store(true, Ordering::SeqCst);
        let server = self.clone();
        thread::spawn(move || {
            while server.alive.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => server.clone().accept(stream),
                    Err(_) => thread::sleep(Duration::from_micros(300)),
                }
            }
            drop(listener);
            server.listens.store(false, Ordering::SeqCst);
        });
        Ok(())
    }

    fn accept(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let number = self.next_channel.fetch_add(1, Ordering::SeqCst);
        if let Ok(copy) = stream.try_clone() {
            self.channels.lock().unwrap().insert(number, copy);
        }
        thread::spawn(move || {
            let _ = self.serve(&stream);
            self.channels.lock().unwrap().remove(&number);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request, false, |_| {})?;
            if request.path() == "/healthz" {
                let status = if self.draining.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
                write!(
                    &mut &*stream,
                    "HTTP/1.1 {status} x\r\nUpstream-Instance: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name()
                )?;
                continue;
            }
            let target = request.header("Target-Instance");
            if target.is_some_and(|t| t != self.name()) {
                write!(
                    &mut &*stream,
                    "HTTP/1.1 421 x\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    request.id()
                )?;
                continue;
            }
            if !(self.handler)(self, &request, stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Ends as a process does that is killed: the listener closes first, then all channels. Returns
    /// whether it was running.
    pub fn crash(&self) -> bool {
        if !self.alive.swap(false, Ordering::SeqCst) {
            return false;
        }
        while self.listens.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(100));
        }
        for (_, stream) in self.channels.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        true
    }

    /// Starts again as a new lifetime at the same address.
    pub fn restart(self: &Arc<Self>, id: &str) -> io::Result<()> {
        *self.id.lock().unwrap() = id.to_owned();
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.alive.store(true, Ordering::SeqCst);
        let until = Instant::now() + ms(2_000);
        while let Err(error) = self.listen() {
            if Instant::now() > until {
                return Err(error);
            }
            thread::sleep(ms(20));
        }
        self.announce();
        Ok(())
    }
}

/// Name of the service of model engines.
pub const SLOW: &str = "huvo11a";
/// Name of the plain service.
pub const PLAIN: &str = "wuno96b";
/// Path prefix of streams.
pub const STREAMS: &str = "/lohu930/";
/// Path prefix of requests that must not be repeated.
pub const BOOKINGS: &str = "/puxa403/";
/// Path prefix of requests that may be repeated.
pub const READS: &str = "/pufi791/";

/// Returns a manifest like that of PROTOCOL.md.
pub fn manifest(revision: u64) -> String {
    format!(
        "{{\"Revision\":{revision},\"Routes\":[\
         {{\"Name\":\"r-a\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{STREAMS}\",\"Type\":\"streaming\",\
         \"TimeoutMs\":20000,\"TargetLatencyMs\":2000,\"Priority\":0,\"Backend\":\"{SLOW}\",\
         \"MaxAttempts\":3,\"Public\":false,\"SessionAffinity\":true,\"StreamResume\":true,\"TargetItlMs\":1200}},\
         {{\"Name\":\"r-b\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{BOOKINGS}\",\"Type\":\"non_idempotent\",\
         \"TimeoutMs\":800,\"TargetLatencyMs\":100,\"Priority\":2,\"Backend\":\"{PLAIN}\",\"MaxAttempts\":1,\"Public\":false}},\
         {{\"Name\":\"r-c\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{READS}\",\"Type\":\"idempotent\",\
         \"TimeoutMs\":800,\"TargetLatencyMs\":100,\"Priority\":2,\"Backend\":\"{PLAIN}\",\"MaxAttempts\":2,\"Public\":false}}],\
         \"Backends\":[{{\"Name\":\"{SLOW}\",\"HealthCheck\":\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\",\
         \"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"Engine\":{{\"Slots\":64,\"KvCapacity\":454661,\
         \"Models\":[{{\"Name\":\"daka510000\",\"Cost\":0.016}},{{\"Name\":\"rada7437b5\",\"Cost\":0.12}},\
         {{\"Name\":\"ravo486f6a\",\"Cost\":0.24}}]}}}},\
         {{\"Name\":\"{PLAIN}\",\"HealthCheck\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false,\
         \"ColdStartS\":0.0,\"ColdPerS\":0.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"{TENANT}\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    )
}

/// Writes a whole answer of a server.
pub fn answer(
    stream: &TcpStream,
    status: u16,
    id: &str,
    extra: &str,
    body: &str,
) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} x\r\nAttempt-Id: {id}\r\nUpstream-Signature: proof.{id}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&mut &*stream).write_all(text.as_bytes())
}
