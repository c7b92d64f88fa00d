//! Tests of the gateway modules that need no other process.

use std::{cell::Cell, convert::Infallible, io::IoSlice, rc::Rc, time::Duration};

use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::{
    Request, Response,
    body::{Bytes, Frame, Incoming},
};
use masticlock::{
    clock::Clock,
    gateway::{
        buffer::{Error, MAX_BUFFERED_BYTES, MAX_RESPONSE_BYTES, ResponseBuffer},
        deadline_stream::{DeadlineStream, WriteDeadline},
        http::{self, Limits, Stage},
        socket,
        sse::{self, EventSplitter},
    },
};
use masticlock_core::time::Span;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Runs a test on a single-threaded runtime.
fn run_local<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against lost or changed bytes when events span reads of any size.
#[test]
fn events_are_complete_for_any_chunk_size() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let mut events = EventSplitter::default();
        let mut output = Vec::new();
        for chunk in text.chunks(size) {
            if let Some(complete) = events.push(chunk).unwrap() {
                output.extend_from_slice(&complete.bytes);
            }
        }
        assert_eq!(output, text, "in chunks of {size}");
        assert_eq!(events.last_id(), Some(3));
        assert!(!events.has_partial());
    }
}

/// Guards against comments that hide a stalled stream.
#[test]
fn comments_are_forwarded_but_are_no_progress() {
    let mut events = EventSplitter::default();
    let comment = events.push(b": wait\n\n").unwrap().unwrap();
    assert!(!comment.progress && &comment.bytes[..] == b": wait\n\n");
    assert!(events.push(b"data: a\n\n").unwrap().unwrap().progress);
}

/// Guards against unbounded memory, or an endless stream of comments, from a faulty upstream.
#[test]
fn bytes_without_an_event_are_limited() {
    for text in [&b"aaaaaaaaaaaaaaaa"[..], b": comment.....\n\n"] {
        let mut events = EventSplitter::default();
        let failed = (0..1_000_000).find_map(|_| events.push(text).err());
        assert!(matches!(failed, Some(sse::Error::NoEvent(bytes)) if bytes < 100_000));
    }
}

/// Guards against repeated or missing events after another upstream has continued a stream.
#[test]
fn events_out_of_order_are_rejected() {
    let mut events = EventSplitter::resume_after(Some(6));
    events.push(b"id: 7\ndata: a\n\n").unwrap();
    for found in [6, 7, 9] {
        let mut events = EventSplitter::resume_after(events.last_id());
        let text = format!("id: {found}\ndata: b\n\n");
        let order = sse::Error::OutOfOrder { last: 7, found };
        assert_eq!(events.push(text.as_bytes()), Err(order));
    }
}

/// Guards against requests with a revoked key: a process that was suspended between the decision to
/// send a request and the write must not write it.
#[test]
fn writes_fail_after_the_deadline() {
    run_local(async {
        let (local, mut remote) = tokio::io::duplex(64);
        let clock = Clock::start();
        let deadline = WriteDeadline::default();
        let mut stream = DeadlineStream::new(local, clock, deadline.clone());
        deadline.set(Some(clock.now() + Span::from_millis(40)));
        stream.write_all(b"in time").await.unwrap();
        sleep(Duration::from_millis(60)).await;
        assert!(stream.write_all(b"late").await.is_err());
        let parts = [IoSlice::new(b"la"), IoSlice::new(b"te")];
        assert!(stream.write_vectored(&parts).await.is_err());
        deadline.set(None);
        stream.write_all(b"free").await.unwrap();
        drop(stream);
        let mut received = String::new();
        remote.read_to_string(&mut received).await.unwrap();
        assert_eq!(received, "in timefree");
    });
}

type Chunk = Result<Frame<Bytes>, Infallible>;

/// Returns a body of `count` chunks of 64 KiB.
fn chunks(count: usize) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin {
    let chunk = Bytes::from(vec![0; 64 * 1_024]);
    let all = (0..count).map(move |_| Chunk::Ok(Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(all))
}

/// Guards against running out of memory through one large response or many concurrent ones.
#[test]
fn each_and_all_buffered_responses_are_limited() {
    run_local(async {
        let buffer = Rc::new(ResponseBuffer::default());
        let fits = buffer.collect(chunks(4)).await.unwrap();
        assert_eq!(fits.len(), 4 * 64 * 1_024);
        // It keeps its bytes until its client has read it.
        drop(fits);
        let large = buffer.collect(chunks(usize::MAX)).await;
        assert!(matches!(large, Err(Error::TooLarge)));
        // Incomplete responses keep the bytes that were received.
        let open = MAX_BUFFERED_BYTES / MAX_RESPONSE_BYTES;
        let (sent, started) = (MAX_RESPONSE_BYTES / (64 * 1_024), Rc::new(Cell::new(0)));
        for _ in 0..open {
            let (buffer, started) = (buffer.clone(), started.clone());
            spawn_local(async move {
                let endless = futures_util::StreamExt::chain(
                    chunks(sent).into_data_stream(),
                    futures_util::stream::pending(),
                );
                let body = StreamBody::new(futures_util::StreamExt::map(endless, |chunk| {
                    chunk.map(Frame::data)
                }));
                started.set(started.get() + 1);
                buffer.collect(body).await
            });
        }
        while started.get() < open {
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(20)).await;
        let more = buffer.collect(chunks(1)).await;
        assert!(matches!(more, Err(Error::BufferFull)));
        let none = buffer.collect(Empty::new()).await;
        assert!(none.is_ok());
    });
}

/// Guards against lost requests in a planned stop under load: connections that the operating system
/// has established and the process has not accepted, and requests that have arrived but have not
/// been read.
#[test]
fn a_stop_serves_accepted_connections() {
    run_local(async {
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stage, stage_receiver) = watch::channel(Stage::Open);
        let limits = || Limits {
            head_bytes: 8_192,
            head_timeout: Duration::from_secs(1),
        };
        let request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        let mut reused = TcpStream::connect(address).await.unwrap();
        let serving = spawn_local(http::serve(
            listener,
            limits,
            stage_receiver,
            |_: Request<Incoming>, _| async { Response::new(Full::new(Bytes::from("done"))) },
        ));
        reused.write_all(request.as_bytes()).await.unwrap();
        let mut answer = [0; 1_024];
        assert!(reused.read(&mut answer).await.unwrap() > 0);
        // The server task does not run from here until all requests have been sent.
        let mut connections: Vec<std::net::TcpStream> = Vec::new();
        for _ in 0..20 {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut stream, request.as_bytes()).unwrap();
            connections.push(stream);
        }
        let reused = reused.into_std().unwrap();
        std::io::Write::write_all(&mut &reused, request.as_bytes()).unwrap();
        connections.push(reused);
        stage.send_replace(Stage::Closed);
        for stream in connections {
            stream.set_nonblocking(true).unwrap();
            let mut stream = TcpStream::from_std(stream).unwrap();
            let mut answer = Vec::new();
            let read = timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await;
            read.expect("it ends").unwrap();
            assert!(answer.ends_with(b"done"), "{answer:?}");
        }
        timeout(Duration::from_secs(2), serving)
            .await
            .expect("the server ends")
            .unwrap();
    });
}
