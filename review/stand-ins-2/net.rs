//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    os::fd::FromRawFd,
    time::Duration,
};

/// First line and header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding") == Some("chunked")
    }
}

/// Reads a head, or returns none if the connection ends before it.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.fields.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk, or returns none at the last one.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Reads a body that has a length or chunks, or ends with the connection.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.length() {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if is_response {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Opens a connection, sends a request and returns status and body of its response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head, true)?;
    Ok((head.status(), body))
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Opens a connection as a machine on an Ethernet does, whose segments have 1,460 bytes, with a
/// receive buffer of about that many bytes.
pub fn connect_small(address: SocketAddrV4, receive_buffer: i32) -> io::Result<TcpStream> {
    const SEGMENT: i32 = 1_460;
    let checked = |result: i32| {
        if result < 0 {
            Err(io::Error::last_os_error())
        } else {
            Ok(result)
        }
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&2_u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // Constants of Linux: AF_INET, SOCK_STREAM, SOL_SOCKET, SO_RCVBUF, IPPROTO_TCP, TCP_MAXSEG.
    unsafe {
        let fd = checked(socket(2, 1, 0))?;
        let stream = TcpStream::from_raw_fd(fd);
        checked(setsockopt(fd, 1, 8, &receive_buffer, 4))?;
        checked(setsockopt(fd, 6, 2, &SEGMENT, 4))?;
        checked(connect(fd, raw.as_ptr(), 16))?;
        Ok(stream)
    }
}

/// Opens a connection with a receive buffer of about that many bytes, for an accepting socket's
/// connections: the listener's size is inherited.
pub fn set_receive_buffer(fd: i32, bytes: i32) -> io::Result<()> {
    let result = unsafe { setsockopt(fd, 1, 8, &bytes, 4) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(())
}
