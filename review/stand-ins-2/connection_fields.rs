//! Rule UNASKED: a client lists the field `Tenant`, and others that the system sets, in `Connection`.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
};

use crate::{
    Verdict,
    deploy::{Deployment, Record, Sheet},
    engine::Engine,
    net::{self, Head},
};

const SERVICE: &str = "wuno96b";
const ENTRIES: usize = 3;

const HELD: &str = "n2ctnfzs989anu6wsjnb";
const TENANT: &str = "hule930";

fn manifest() -> String {
    format!(
        r#"{{"Revision":7,"Routes":[{{"Name":"r-booking","Host":"ficu95.example","PathPrefix":"/booking/","Type":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Backend":"{SERVICE}","MaxAttempts":1,"Public":false}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"{TENANT}","ApiKeys":["{HELD}"],"Priority":1}}]}}"#
    )
}

fn run(engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>, wrong: &Mutex<Vec<String>>) -> io::Result<()> {
    net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default();
    let fields: Vec<_> = ["tenant", "target-instance", "deadline-ms"].map(|n| head.get(n)).into();
    engine.record.note(format!("engine {}: runs {id}; Tenant, Target-Instance, Deadline-Ms are {fields:?}", engine.id));
    if head.get("tenant") != Some(TENANT) {
        wrong.lock().unwrap().push(id.to_owned());
    }
    let text = format!("booked {id}");
    out.write_all(engine.head("200 OK", head, &format!("Content-Length: {}", text.len())).as_bytes())?;
    out.write_all(text.as_bytes())
}

fn book(front: SocketAddrV4, id: &str, connection: &str, record: &Record) -> io::Result<u16> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let head = format!(
        "POST /booking/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: {connection}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1500\r\nX-Api-Key: {HELD}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = net::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.note(format!("client: {id} with Connection {connection:?} got {}", head.status()));
    Ok(head.status())
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: ENTRIES, entry_memory_mb: 110 };
    let deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest())?;
    let wrong = Arc::new(Mutex::new(Vec::new()));
    for at in 0..3 {
        let wrong = wrong.clone();
        let handler = move |engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>| {
            run(engine, head, connection, &wrong)
        };
        Engine::start(&deployment, at, SERVICE, 6, None, Arc::new(handler))?;
    }
    deployment.await_ready()?;
    sleep(Duration::from_secs(3));
    let connection = if trouble { "keep-alive, Tenant, Target-Instance, Deadline-Ms" } else { "keep-alive" };
    let mut served = 0;
    for at in 0..ENTRIES {
        served += usize::from(book(deployment.front(at), &format!("c0{at}"), connection, &record)? == 200);
    }
    let wrong = wrong.lock().unwrap().len();
    Ok(Verdict {
        held: wrong == 0,
        text: format!("{wrong} of {served} bookings that ran had not the Tenant that holds the client's key"),
    })
}
