//! Formats of the messages between processes and of the replicated state.

use std::{cell::Cell, fmt::Write, time::Duration};

use masticlock::gateway::{
    frame::{self, Incoming},
    message::{
        AgreedState, ControlInstance, Cursor, Extension, FORMAT, Poll, Refusal, Reply, Request,
        Update,
    },
};
use masticlock_core::{
    consensus::{Body, Content, Entry, Identity, Member, Message, Payload},
    fleet::{Announcement, Heartbeat, Phase, Record},
    limit::Permit,
    name,
    notice::Departure,
    pace,
    replicated::{self, Command, Rollout},
    report, suspect,
    time::{Span, Time},
};
use serde::Serialize;

/// Messages as the commit 5c52cd1 encodes them.
const FORMAT_1: &str = include_str!("format/1.hex");

fn member() -> Member {
    Member {
        id: Identity::from_random(5),
        instance: name::Instance::try_from("core-1").unwrap(),
        address: "127.0.0.1:7000".to_owned(),
    }
}

fn rollout() -> Rollout {
    Rollout {
        service: "bookings".into(),
        target: "v2".into(),
        began_ms: 1_700_000_000_000,
        duration_ms: 20_000,
        permille: 50,
        phase: replicated::Phase::InProgress,
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::Configure {
            revision: 7,
            content: Payload::from(&b"{}"[..]),
        },
        Command::TakeOut("a".into()),
        Command::Restore("a".into()),
        Command::StartRollout(rollout()),
        Command::AdvanceRollout {
            service: "bookings".into(),
            target: "v2".into(),
            permille: 300,
            phase: replicated::Phase::Completed,
        },
    ]
}

fn state() -> replicated::State {
    replicated::State {
        revision: 7,
        content: Payload::from(&b"{}"[..]),
        taken_out: vec!["a".into()],
        rollouts: vec![rollout()],
        needs_keys: false,
    }
}

fn cursor() -> Cursor {
    Cursor {
        process_id: 900,
        directory_revision: 3,
        evidence_revision: 2,
        complete: true,
    }
}

fn peer() -> report::Peer {
    report::Peer {
        address: "127.0.0.1:7001".into(),
        domain: "a".into(),
        room: 48,
    }
}

fn requests() -> Vec<Request> {
    let poll = Poll {
        cursor: cursor(),
        config_revision: Some(7),
        report: Some(report::Report {
            instance: 77,
            domain: "a".into(),
            sequence: 9,
            loads: vec![report::Load {
                upstream: "u".into(),
                running: 3,
                ..report::Load::default()
            }],
            departures: vec![Departure {
                upstream: "u".into(),
                incarnation: 4,
            }],
            ..report::Report::default()
        }),
        spillover_services: vec!["bookings".into()],
        control_address: None,
        wants: Vec::new(),
        returns: Vec::new(),
        evidence: suspect::Message::default(),
        peer: Some(peer()),
        needs_peers: true,
    };
    let entry = Entry {
        index: 12,
        term: 3,
        content: Content::Payload(Payload::from(&b"entry"[..])),
    };
    let message = Message {
        from: Identity::from_random(5),
        to: Identity::from_random(6),
        term: 3,
        body: Body::Append {
            prev_index: 11,
            prev_term: 2,
            entries: vec![entry],
            commit: 10,
            sent: Time::ZERO + Span::from_millis(500),
        },
    };
    vec![
        Request::Poll(poll),
        Request::Replica(message),
        Request::Submit(Command::TakeOut("a".into())),
        Request::Read,
        Request::Join(member()),
    ]
}

fn replies() -> Vec<Reply> {
    let announcement = Announcement {
        upstream: "u".into(),
        service: "bookings".into(),
        address: "127.0.0.1:8100".into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 16,
        phase: Phase::Leaving,
        cold_left: Span::from_millis(20),
        incarnation: 4,
        sequence: 6,
    };
    let update = Update {
        cursor: cursor(),
        identity: Identity::from_random(5),
        is_leader: true,
        agreed_age: Some(Span::from_millis(130)),
        commit_index: 12,
        domain: "a".into(),
        is_full: false,
        records: vec![Record {
            announcement,
            age: Span::from_millis(3),
            silent: false,
            limit: None,
        }],
        heartbeats: vec![Heartbeat {
            upstream: "u".into(),
            incarnation: 4,
            sequence: 6,
            age: Span::from_millis(3),
        }],
        summary: Some(report::Summary::default()),
        totals: Some(report::Totals::default()),
        permits: vec![Permit {
            upstream: "u".into(),
            incarnation: 4,
            count: 2,
            valid: Span::from_secs(1),
            scarce: false,
        }],
        has_permits: true,
        evidence: suspect::Message::default(),
        peers: vec![peer()],
        agreed: Some(AgreedState {
            revision: 7,
            content: Some(Payload::from(&b"{}"[..])),
            taken_out: vec!["a".into()],
            rollouts: vec![rollout()],
        }),
        control_instances: vec![ControlInstance {
            address: "127.0.0.1:7000".to_owned(),
            domain: Some("a".into()),
        }],
    };
    vec![
        Reply::Update(Box::new(update)),
        Reply::Done(12),
        Reply::Refused(Refusal::Unknown),
    ]
}

fn hex<M>(message: &M) -> String
where
    M: Serialize,
{
    let bytes = postcard::to_stdvec(message).unwrap();
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Returns the recorded messages in the order of the functions above.
fn encoded() -> Vec<String> {
    let requests = requests().iter().map(hex).collect::<Vec<_>>();
    let replies = replies().iter().map(hex).collect::<Vec<_>>();
    let commands = commands().iter().map(hex).collect::<Vec<_>>();
    [requests, replies, commands, vec![hex(&state())]].concat()
}

/// Guards against messages or log entries that the landed build can't read, or that it has written
/// and this build can't read.
#[test]
fn messages_and_entries_are_encoded_as_in_format_1() {
    let recorded: Vec<_> = FORMAT_1.lines().map(str::to_owned).collect();
    assert_eq!(encoded(), recorded);
    let mut lines = recorded.iter().map(|line| unhex(line));
    for request in requests() {
        let read: Request = postcard::from_bytes(&lines.next().unwrap()).unwrap();
        assert_eq!(read, request);
    }
    for reply in replies() {
        let read: Reply = postcard::from_bytes(&lines.next().unwrap()).unwrap();
        assert_eq!(read, reply);
    }
    for command in commands() {
        let read: Command = postcard::from_bytes(&lines.next().unwrap()).unwrap();
        assert_eq!(read, command);
    }
    let read: replicated::State = postcard::from_bytes(&lines.next().unwrap()).unwrap();
    assert_eq!(read, state());
}

/// Reads a frame with that body.
fn read(body: &[u8]) -> Incoming<Request> {
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    let frame = [&length[..], body].concat();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let received = Cell::new(0);
    let read =
        async { frame::read(&mut &frame[..], Duration::from_secs(1), &received, None).await };
    runtime.block_on(read).unwrap().unwrap()
}

/// Guards against a message of this build that the landed build, which reads to the end of the
/// message and ignores the rest, takes for another one.
#[test]
fn an_extension_follows_the_message_of_format_1() {
    let extension = Extension {
        revision_age: Some(Span::from_millis(70)),
        paces: Some(vec![pace::Sample {
            upstream: "u1".into(),
            incarnation: 7,
            steps: -20,
            answers: 300,
        }]),
        needs_keys: true,
        ..Extension::current()
    };
    for request in requests() {
        let body = frame::encode(&request, &extension).unwrap().split_off(4);
        assert_eq!(postcard::from_bytes::<Request>(&body).unwrap(), request);
        let old = postcard::to_stdvec(&request).unwrap();
        assert!(body.starts_with(&old));
        assert_eq!(
            read(&body),
            Incoming::Message(request.clone(), extension.clone())
        );
        let without = Incoming::Message(request, Extension::default());
        assert_eq!(read(&old), without);
    }
    assert_eq!((Extension::default().format, FORMAT), (1, 2));
}

/// Guards against a later build whose messages end the connection.
#[test]
fn unknown_fields_are_skipped_and_unknown_messages_reported() {
    let mut body = postcard::to_stdvec(&Request::Read).unwrap();
    // Two fields: the format 9, and one of kind 77 with three bytes.
    body.extend([2, 0, 1, 9, 77, 3, 1, 2, 3]);
    let extension = Extension {
        format: 9,
        ..Extension::default()
    };
    assert_eq!(read(&body), Incoming::Message(Request::Read, extension));
    assert!(matches!(read(&[99, 1, 2]), Incoming::Unreadable(_)));
    // A field that is cut off.
    assert!(matches!(read(&[3, 2, 0, 1]), Incoming::Unreadable(_)));
}
