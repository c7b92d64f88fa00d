//! Engines: registration, a listener and a handler for each request.

use std::{
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    deploy::{Deployment, HEARTBEAT_MS, Record, ZONES, unix_ms},
    net::{self, Head},
};

/// Handles a request whose head was read, with its connection.
pub type Handler = dyn Fn(&Engine, &Head, &mut BufReader<TcpStream>) -> io::Result<()> + Send + Sync;

pub struct Engine {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    slots: u32,
    born: u64,
    sequence: AtomicU64,
    is_alive: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Size of the receive buffer of its connections; none for the usual one.
    receive_buffer: Option<i32>,
    pub record: Record,
}

impl Engine {
    /// Starts an engine at the address with that number.
    pub fn start(
        deployment: &Deployment,
        at: usize,
        service: &'static str,
        slots: u32,
        receive_buffer: Option<i32>,
        handler: Arc<Handler>,
    ) -> io::Result<Arc<Self>> {
        let address = deployment.engine(at);
        let listener = TcpListener::bind(address)?;
        if let Some(bytes) = receive_buffer {
            net::set_receive_buffer(listener.as_raw_fd(), bytes)?;
        }
        listener.set_nonblocking(true)?;
        let engine = Arc::new(Self {
            id: format!("i-{at:04x}"),
            service,
            zone: ZONES[at % ZONES.len()],
            address,
            slots,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_alive: AtomicBool::new(true),
            connections: Mutex::default(),
            receive_buffer,
            record: deployment.record.clone(),
        });
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener, &handler));
        let (beating, admins) = (engine.clone(), deployment.admins());
        thread::spawn(move || beating.beat(&admins, at));
        Ok(engine)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, handler: &Arc<Handler>) {
        while self.is_alive() {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(2));
                continue;
            };
            if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
                continue;
            }
            if let Some(bytes) = self.receive_buffer {
                let _usual = net::set_receive_buffer(stream.as_raw_fd(), bytes);
            }
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().push(copy);
            }
            let (engine, handler) = (self.clone(), handler.clone());
            thread::spawn(move || engine.serve(stream, &handler));
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Arc<Handler>) {
        let peer = stream.peer_addr();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = net::read_head(&mut reader) {
            if !self.is_alive() {
                return;
            }
            if head.path() == "/healthz" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nUpstream-Instance: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if io::Write::write_all(reader.get_mut(), answer.as_bytes()).is_err() {
                    break;
                }
                continue;
            }
            if handler(self, &head, &mut reader).is_err() {
                break;
            }
        }
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|c| c.peer_addr().ok() != peer.as_ref().ok().copied());
        let _closed = reader.get_ref().shutdown(Shutdown::Both);
    }

    fn beat(&self, admins: &[SocketAddr], first: usize) {
        let mut at = first;
        while self.is_alive() {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                "{{\"Backend\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Revision\":\"v1\",\"Slots\":{},\
                 \"Phase\":\"ready\",\"ColdLeftMs\":0,\"PhaseKind\":\"mixed\",\"Models\":[],\"Seq\":{sequence},\
                 \"born\":{}}}",
                self.service, self.address, self.zone, self.slots, self.born
            );
            let path = format!("/Endpoints.Heartbeat/{}", self.id);
            let limit = Duration::from_secs(1);
            let reply = net::call(admins[at % admins.len()], "POST", &path, &body, limit);
            if matches!(reply, Ok((200..=299, _))) {
                sleep(Duration::from_millis(HEARTBEAT_MS));
            } else {
                at += 1;
                sleep(Duration::from_millis(100));
            }
        }
    }

    pub fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::Relaxed)
    }

    /// Ends as a process that crashes: its listener and its connections close.
    pub fn crash(&self) {
        self.record.note(format!("engine {}: crashes", self.id));
        self.is_alive.store(false, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the head of a signed answer.
    pub fn head(&self, status: &str, request: &Head, framing: &str) -> String {
        let id = request.get("attempt-id").unwrap_or_default();
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nUpstream-Signature: {}.{id}\r\n{framing}\r\n\r\n",
            self.id
        )
    }

    /// Returns the answer to a request that was not run.
    pub fn rejection(&self, status: &str, request: &Head) -> String {
        let id = request.get("attempt-id").unwrap_or_default();
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
    }

    /// Returns whether the request names another engine.
    pub fn is_misdirected(&self, request: &Head) -> bool {
        request.get("target-instance").is_some_and(|id| id != self.id)
    }
}
