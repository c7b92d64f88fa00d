//! A small deployment: settings files, processes of the product and a record of what happens.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::net;

pub const ZONES: [&str; 3] = ["pnw-a", "pnw-b", "pnw-c"];
pub const HEARTBEAT_MS: u64 = 1_200;
const ADMIN: u16 = 8_229;
const FRONT: u16 = 8_227;
const READINESS: u16 = 8_220;
const INTERNAL: u16 = 7_340;
const METRICS: u16 = 9_464;
pub const ENGINE: u16 = 8_080;

extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGKILL: u64 = 9;

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let began = Instant::now();
        Ok(Self { began, file })
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _full = writeln!(file, "{:>7} {}", self.now(), line.as_ref());
    }
}

/// Folder of the settings, logs and data of the processes.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("masticlock-review-{}", std::process::id()))
}

pub fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |d| d.as_millis() as u64)
}

/// A process of the product.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let mut command = Command::new("target/release/masticlock-platform");
        command
            .arg(self.role)
            .env_clear()
            .env("MASTICLOCK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this one: PR_SET_PDEATHSIG.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        record.note(format!("platform: starts {} as {}", self.name, self.pid()));
        Ok(())
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |c| c.id() as i32)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _gone = child.kill();
            let _gone = child.wait();
        }
    }

    /// Resident memory in bytes.
    pub fn resident(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or_default() * 1_024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the settings of all machines say.
#[derive(Clone, Copy)]
pub struct Sheet {
    pub entries: usize,
    pub entry_memory_mb: u64,
}

pub struct Deployment {
    network: u8,
    folder: PathBuf,
    pub record: Record,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
}

impl Deployment {
    pub fn ip(&self, range: u8, at: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, range, at as u8 + 1)
    }

    pub fn admin(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(1, at).into(), ADMIN)
    }

    pub fn admins(&self) -> Vec<SocketAddr> {
        (0..ZONES.len()).map(|at| self.admin(at)).collect()
    }

    pub fn front(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(2, at), FRONT)
    }

    pub fn readiness(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, at).into(), READINESS)
    }

    pub fn engine(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(3, at).into(), ENGINE)
    }

    /// Starts three machines of class `core` and those of class `edge`.
    pub fn start(sheet: Sheet, record: Record) -> io::Result<Self> {
        let seed = unix_ms() as usize + std::process::id() as usize;
        let is_free = |n: u8| {
            let ports = [ADMIN, FRONT, READINESS, INTERNAL, METRICS, ENGINE];
            let mut all = (1..=3).flat_map(|range| ports.map(|port| (range, port)));
            all.all(|(range, port)| TcpListener::bind((Ipv4Addr::new(127, n, range, 1), port)).is_ok())
        };
        let network = (0..200).map(|at| 30 + ((seed + at) % 200) as u8).find(|n| is_free(*n));
        let network = network.ok_or_else(|| io::Error::other("no free addresses"))?;
        let folder = folder();
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            network,
            folder,
            record,
            controls: Vec::new(),
            entries: Vec::new(),
        };
        for at in 0..ZONES.len() {
            let process = deployment.process("control", at, sheet)?;
            deployment.controls.push(process);
        }
        for at in 0..sheet.entries {
            let process = deployment.process("entry", at, sheet)?;
            deployment.entries.push(process);
        }
        let record = deployment.record.clone();
        for process in deployment.controls.iter_mut().chain(&mut deployment.entries) {
            process.start(&record)?;
        }
        Ok(deployment)
    }

    fn process(&self, role: &'static str, at: usize, sheet: Sheet) -> io::Result<Process> {
        let is_control = role == "control";
        let class = if is_control { "core" } else { "edge" };
        let zone = ZONES[at % ZONES.len()];
        let name = format!("{class}-{zone}-{at}");
        let ip = self.ip(if is_control { 1 } else { 2 }, at);
        let data = self.folder.join(format!("{name}.data"));
        let listeners = if is_control {
            format!("Admin = \"{ip}:{ADMIN}\"")
        } else {
            format!("Frontend = \"{ip}:{FRONT}\"\nReadiness = \"{ip}:{READINESS}\"")
        };
        let data_dir = if is_control {
            fs::create_dir_all(&data)?;
            format!("DataDir = \"{}\"\n", data.display())
        } else {
            String::new()
        };
        let seeds: Vec<_> = self.admins().iter().map(|a| format!("\"{a}\"")).collect();
        let seeds = seeds.join(",");
        let serves = if is_control { "control_plane" } else { "edge" };
        let (cpu, memory, fds, disk) = if is_control {
            (0.3, 256, 4_096, 128)
        } else {
            (0.25, sheet.entry_memory_mb, 4_100, 0)
        };
        let last = INTERNAL + 15;
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nServes = [\"{serves}\"]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"pnw\"\nPortRange = [{INTERNAL},{last}]\n\
             SeedNodes = [{seeds}]\nBootstrap = true\nInTolerance = {is_control}\n\
             Discovery = \"self_register\"\nEntrypoint = \"virtual_ip\"\nHeartbeatMs = {HEARTBEAT_MS}\n\
             Guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\
             \"tenants\",\"places\",\"rollout\"]\nConfigMode = \"highest\"\n{data_dir}\
             [Zones]\npnw-a = \"pnw\"\npnw-b = \"pnw\"\npnw-c = \"pnw\"\n\
             [ListenersMap]\n{listeners}\n\
             [Limits]\nCpuFraction = {cpu}\nCpuCores = 1\nMemoryMb = {memory}\nMaxFds = {fds}\n\
             LinkMbps = 1000.0\nDiskMb = {disk}\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckTimeoutMs = 4000\nCatchUpS = 4\n\
             DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\n\
             MaxStretchMs = 5000\nStrictRevoke = true\nRevokeMs = 5000\nRetryRatio = 0.9\nRetryWindowS = 10\n\
             RetryExtra = 58\nCanaryShare = 0.15\nCanaryMargin = 30\nRollbackMs = 5000\nColdOverage = 1.5\n\
             ColdMargin = 5\nEvacuateMs = 5000\nRecoveryS = 12\nForwardMs = 120\nReuseWindowS = 8.1\n\
             SessionTtlS = 5\n"
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Process {
            name,
            role,
            settings,
            child: None,
        })
    }

    /// Sends an order of the operator until it is acknowledged.
    pub fn order(&self, method: &str, path: &str, body: &str) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        for at in 0.. {
            let reply = net::call(self.admin(at % ZONES.len()), method, path, body, Duration::from_secs(1));
            match reply {
                Ok((200, _)) => {
                    self.record.note(format!("operator: {path} is acknowledged"));
                    return Ok(());
                }
                Ok((status, _)) if (400..500).contains(&status) => {
                    return Err(io::Error::other(format!("{path} got {status}")));
                }
                _ if Instant::now() >= until => break,
                _ => sleep(Duration::from_millis(200)),
            }
        }
        Err(io::Error::other(format!("{path} is not acknowledged")))
    }

    /// Waits until all machines of class `edge` say that they are ready.
    pub fn await_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for at in 0..self.entries.len() {
            while !self.is_ready(at) {
                if Instant::now() >= until {
                    return Err(io::Error::other("an entry process is not ready"));
                }
                sleep(Duration::from_millis(100));
            }
        }
        self.record.note("platform: all entry processes are ready");
        Ok(())
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let reply = net::call(self.readiness(at), "GET", "/readyz", "", Duration::from_secs(1));
        matches!(reply, Ok((200, _)))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.controls.clear();
        if std::env::var_os("KEEP").is_none() {
            let _gone = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs are in {}", self.folder.display());
        }
    }
}
