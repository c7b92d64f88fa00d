//! Parts of the gateway that need no other process.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

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

fn local<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn events_are_cut_at_their_ends_whatever_the_parts() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let mut events = EventSplitter::default();
        let mut given = Vec::new();
        for part in text.chunks(size) {
            if let Some(whole) = events.push(part).unwrap() {
                given.extend_from_slice(&whole.bytes);
            }
        }
        assert_eq!(given, text, "in parts of {size}");
        assert_eq!(events.last_id(), Some(3));
        assert!(!events.has_partial());
    }
}

#[test]
fn comments_are_passed_on_and_are_no_progress() {
    let mut events = EventSplitter::default();
    let whole = events.push(b": wait\n\n").unwrap().unwrap();
    assert!(!whole.progress && &whole.bytes[..] == b": wait\n\n");
    assert!(events.push(b"data: a\n\n").unwrap().unwrap().progress);
}

#[test]
fn bytes_without_an_event_are_bounded() {
    for text in [&b"aaaaaaaaaaaaaaaa"[..], b": comment.....\n\n"] {
        let mut events = EventSplitter::default();
        let failed = (0..1_000_000).find_map(|_| events.push(text).err());
        assert!(matches!(failed, Some(sse::Error::NoEvent(bytes)) if bytes < 100_000));
    }
}

#[test]
fn events_out_of_order_are_not_passed_on() {
    let mut events = EventSplitter::resume_after(Some(6));
    events.push(b"id: 7\ndata: a\n\n").unwrap();
    for found in [6, 7, 9] {
        let mut events = EventSplitter::resume_after(events.last_id());
        let text = format!("id: {found}\ndata: b\n\n");
        let order = sse::Error::OutOfOrder { last: 7, found };
        assert_eq!(events.push(text.as_bytes()), Err(order));
    }
}

/// A process that was stopped between the decision and the write.
#[test]
fn nothing_is_written_after_the_permission_has_run_out() {
    local(async {
        let (near, mut far) = tokio::io::duplex(64);
        let clock = Clock::start();
        let until = WriteDeadline::default();
        let mut gate = DeadlineStream::new(near, clock, until.clone());
        until.set(Some(clock.now() + Span::from_millis(40)));
        gate.write_all(b"in time").await.unwrap();
        sleep(Duration::from_millis(60)).await;
        assert!(gate.write_all(b"late").await.is_err());
        until.set(None);
        gate.write_all(b"free").await.unwrap();
        drop(gate);
        let mut arrived = String::new();
        far.read_to_string(&mut arrived).await.unwrap();
        assert_eq!(arrived, "in timefree");
    });
}

type Part = Result<Frame<Bytes>, Infallible>;

/// Returns a body of that many parts of 64 KiB.
fn parts(count: usize) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin {
    let part = Bytes::from(vec![0; 64 * 1_024]);
    let all = (0..count).map(move |_| Part::Ok(Frame::data(part.clone())));
    StreamBody::new(futures_util::stream::iter(all))
}

#[test]
fn one_answer_and_all_that_are_held_back_are_bounded() {
    local(async {
        let buffer = Rc::new(ResponseBuffer::default());
        let fits = buffer.collect(parts(4)).await.unwrap();
        assert_eq!(fits.len(), 4 * 64 * 1_024);
        let long = buffer.collect(parts(usize::MAX)).await;
        assert!(matches!(long, Err(Error::TooLarge)));
        // Answers that have not ended yet hold what they have.
        let open = MAX_BUFFERED_BYTES / MAX_RESPONSE_BYTES;
        let (sent, kept) = (MAX_RESPONSE_BYTES / (64 * 1_024), Rc::new(Cell::new(0)));
        for _ in 0..open {
            let (buffer, kept) = (buffer.clone(), kept.clone());
            spawn_local(async move {
                let first = futures_util::StreamExt::chain(
                    parts(sent).into_data_stream(),
                    futures_util::stream::pending(),
                );
                let body = StreamBody::new(futures_util::StreamExt::map(first, |part| {
                    part.map(Frame::data)
                }));
                kept.set(kept.get() + 1);
                buffer.collect(body).await
            });
        }
        while kept.get() < open {
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(20)).await;
        let more = buffer.collect(parts(1)).await;
        assert!(matches!(more, Err(Error::BufferFull)));
        let none = buffer.collect(Empty::new()).await;
        assert!(none.is_ok());
    });
}

/// A planned stop under load: connections that the operating system has taken and the process has
/// not, and requests that have arrived and are not read.
#[test]
fn a_stop_answers_what_has_been_accepted() {
    local(async {
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stage, staged) = watch::channel(Stage::Open);
        let limits = || Limits {
            head_bytes: 8_192,
            head_timeout: Duration::from_secs(1),
        };
        let request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        let mut kept = TcpStream::connect(address).await.unwrap();
        let serving = spawn_local(http::serve(
            listener,
            limits,
            staged,
            |_: Request<Incoming>, _| async { Response::new(Full::new(Bytes::from("done"))) },
        ));
        kept.write_all(request.as_bytes()).await.unwrap();
        let mut answer = [0; 1_024];
        assert!(kept.read(&mut answer).await.unwrap() > 0);
        // No other task runs from here until all requests have been sent.
        let mut fresh: Vec<std::net::TcpStream> = Vec::new();
        for _ in 0..20 {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut stream, request.as_bytes()).unwrap();
            fresh.push(stream);
        }
        let kept = kept.into_std().unwrap();
        std::io::Write::write_all(&mut &kept, request.as_bytes()).unwrap();
        fresh.push(kept);
        stage.send_replace(Stage::Closed);
        for stream in fresh {
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
