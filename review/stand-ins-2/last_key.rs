//! Rules CONFIG (`StrictRevoke`) and ROUTE (keys): the operator takes the last tenant out of the
//! manifest.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deploy::{Deployment, Record, Sheet},
    engine::Engine,
    net::{self, Head},
};

const SERVICE: &str = "wuno96b";
const ENTRIES: usize = 3;

/// `RevokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
const HELD: &str = "n2ctnfzs989anu6wsjnb";
const NEVER_HELD: &str = "x9unknown0key000000x";

fn manifest(revision: u64, has_tenant: bool) -> String {
    let tenants = if has_tenant {
        format!(r#"{{"Name":"hule930","ApiKeys":["{HELD}"],"Priority":1}}"#)
    } else {
        String::new()
    };
    format!(
        r#"{{"Revision":{revision},"Routes":[{{"Name":"r-booking","Host":"ficu95.example","PathPrefix":"/booking/","Type":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Backend":"{SERVICE}","MaxAttempts":1,"Public":false}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{tenants}]}}"#
    )
}

fn run(engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>, ran: &Mutex<Vec<String>>) -> io::Result<()> {
    let body = net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default();
    engine.record.note(format!(
        "engine {}: runs {id} for tenant {:?}: {}",
        engine.id,
        head.get("tenant"),
        String::from_utf8_lossy(&body)
    ));
    ran.lock().unwrap().push(id.to_owned());
    let text = format!("booked {id}");
    out.write_all(engine.head("200 OK", head, &format!("Content-Length: {}", text.len())).as_bytes())?;
    out.write_all(text.as_bytes())
}

/// Sends a booking and returns the status of its answer.
fn book(front: SocketAddrV4, id: &str, key: Option<&str>, record: &Record) -> io::Result<u16> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let field = key.map_or_else(String::new, |k| format!("X-Api-Key: {k}\r\n"));
    let body = format!("loom 4, attempt {id}");
    let head = format!(
        "POST /booking/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n{field}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = net::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.note(format!("client: {id} with key {key:?} got {}", head.status()));
    Ok(head.status())
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: ENTRIES, entry_memory_mb: 110 };
    let deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest(7, true))?;
    let ran = Arc::new(Mutex::new(Vec::new()));
    for at in 0..3 {
        let ran = ran.clone();
        let handler = move |engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>| {
            run(engine, head, connection, &ran)
        };
        Engine::start(&deployment, at, SERVICE, 6, None, Arc::new(handler))?;
    }
    deployment.await_ready()?;
    sleep(Duration::from_secs(3));
    for at in 0..ENTRIES {
        let status = book(deployment.front(at), &format!("a0{at}"), Some(HELD), &record)?;
        let unknown = book(deployment.front(at), &format!("a1{at}"), Some(NEVER_HELD), &record)?;
        if (status, unknown) != (200, 401) {
            return Err(io::Error::other("the tenant isn't served, or not it alone"));
        }
    }
    deployment.order("POST", "/Config.Replace", &manifest(9, !trouble))?;
    let confirmed = Instant::now();
    sleep(REVOKE + Duration::from_secs(1));
    ran.lock().unwrap().clear();
    let waited = confirmed.elapsed().as_millis();
    let mut not_allowed = Vec::new();
    for at in 0..ENTRIES {
        let held = format!("b0{at}");
        book(deployment.front(at), &held, Some(HELD), &record)?;
        if trouble {
            not_allowed.push(held);
        }
        for (kind, key) in [Some(NEVER_HELD), None].into_iter().enumerate() {
            let id = format!("b{}{at}", kind + 1);
            book(deployment.front(at), &id, key, &record)?;
            not_allowed.push(id);
        }
    }
    let ran = ran.lock().unwrap();
    let broken = not_allowed.iter().filter(|id| ran.contains(id)).count();
    Ok(Verdict {
        held: broken == 0,
        text: format!(
            "{broken} of {} bookings without a key in force ran, sent {waited} ms after the confirmation",
            not_allowed.len()
        ),
    })
}
