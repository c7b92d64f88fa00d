//! Rule "Fault": hundreds of changes of a manifest with many routes.

use std::{
    fmt::Write as _,
    io,
    sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deploy::{Deployment, Record, Sheet, ZONES},
    net,
};

const SERVICE: &str = "wuno96b";
const CONTROL_MEMORY_MB: u64 = 256;
/// Five times the largest growth of a day (1,496), and some.
const ROUTES: usize = 7_500;
const FEW_ROUTES: usize = 8;
const LENGTH: Duration = Duration::from_secs(75);

/// Orders in progress at a time; up to eight may be.
const OPERATORS: u64 = 1;

/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(60);

/// Times that the processes on half of the core may end by themselves.
const ALLOWED: usize = 2;

fn manifest(revision: u64, routes: usize) -> String {
    let mut text = format!(r#"{{"Revision":{revision},"Routes":["#);
    for at in 0..routes {
        let comma = if at > 0 { "," } else { "" };
        // Each change is one of another route's time limit.
        let timeout = if at as u64 == revision % routes as u64 { 900 } else { 800 };
        let _full = write!(
            text,
            r#"{comma}{{"Name":"r-{at:07}","Host":"ficu95.example","PathPrefix":"/pufi{at}/","Type":"idempotent","TimeoutMs":{timeout},"TargetLatencyMs":100,"Priority":2,"TrafficSplit":[{{"Backend":"{SERVICE}","Weight":90}},{{"Backend":"huvo11a","Weight":10}}],"MaxAttempts":2,"Public":false}}"#
        );
    }
    let _full = write!(
        text,
        r#"],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}},{{"Name":"huvo11a","HealthCheck":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}}]}}"#
    );
    text
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: 3, entry_memory_mb: 110 };
    let mut deployment = Deployment::start(sheet, record.clone())?;
    let routes = if trouble { ROUTES } else { FEW_ROUTES };
    let first = manifest(1, routes);
    record.note(format!("operator: the manifest has {routes} routes and {} bytes", first.len()));
    deployment.order("POST", "/Config.Replace", &first)?;
    deployment.await_ready()?;
    let (next, acknowledged) = (AtomicU64::new(2), AtomicUsize::new(0));
    let is_over = AtomicBool::new(false);
    let admins = deployment.admins();
    let until = Instant::now() + LENGTH;
    let mut ends = vec![0; ZONES.len()];
    let mut peaks = vec![0; ZONES.len()];
    let mut changes = vec![Vec::new(); ZONES.len()];
    thread::scope(|scope| -> io::Result<()> {
        for operator in 0..OPERATORS {
            let (next, acknowledged, is_over) = (&next, &acknowledged, &is_over);
            let (admins, record) = (&admins, &record);
            scope.spawn(move || {
                let mut node = operator as usize;
                while !is_over.load(Ordering::Relaxed) {
                    let revision = next.fetch_add(1, Ordering::Relaxed);
                    let body = manifest(revision, routes);
                    while !is_over.load(Ordering::Relaxed) {
                        let limit = Duration::from_secs(5);
                        let reply = net::call(admins[node % 3], "POST", "/Config.Replace", &body, limit);
                        if matches!(reply, Ok((200, _))) {
                            acknowledged.fetch_add(1, Ordering::Relaxed);
                            sleep(PAUSE);
                            break;
                        }
                        if let Ok((status, _)) = reply {
                            record.note(format!("operator: change {revision} got {status}"));
                        }
                        node += 1;
                        sleep(Duration::from_millis(200));
                    }
                }
            });
        }
        let mut noted = Instant::now();
        while Instant::now() < until {
            for at in 0..ZONES.len() {
                let resident = deployment.controls[at].resident();
                peaks[at] = peaks[at].max(resident >> 20);
                if resident > CONTROL_MEMORY_MB << 20 {
                    ends[at] += 1;
                    changes[at].push(acknowledged.load(Ordering::Relaxed));
                    let process = &mut deployment.controls[at];
                    record.note(format!(
                        "platform: {} uses {} MB of {CONTROL_MEMORY_MB} MB and is killed, after {} changes",
                        process.name,
                        resident >> 20,
                        acknowledged.load(Ordering::Relaxed)
                    ));
                    process.kill();
                    sleep(Duration::from_millis(300));
                    process.start(&record)?;
                }
            }
            if noted.elapsed() >= Duration::from_secs(2) {
                noted = Instant::now();
                let used: Vec<_> = deployment.controls.iter().map(|p| p.resident() >> 20).collect();
                let entries: Vec<_> = deployment.entries.iter().map(|p| p.resident() >> 20).collect();
                record.note(format!(
                    "platform: after {} changes the control processes use {used:?} MB, the entry processes {entries:?} MB",
                    acknowledged.load(Ordering::Relaxed)
                ));
            }
            sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    let broken = ends.iter().filter(|n| **n > ALLOWED).count();
    Ok(Verdict {
        held: 2 * broken <= ZONES.len(),
        text: format!(
            "control processes ended {ends:?} times over {CONTROL_MEMORY_MB} MB (peaks {peaks:?} MB), after {changes:?} of {} changes with {} bytes each",
            acknowledged.load(Ordering::Relaxed),
            first.len()
        ),
    })
}
