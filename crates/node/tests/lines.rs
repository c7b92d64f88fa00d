//! Log lines of the gateway's processes: their form, their bound and the stories told from them.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use masticlock::{
    gateway::metrics,
    logging::{WAITING_LINES, lines_to},
    story::{self, Subject},
};
use masticlock_core::{route::Kind, time::Span};

/// What an output has taken, and whether it takes anything.
#[derive(Default)]
struct Taken {
    open: bool,
    bytes: Vec<u8>,
}

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
    taken: Arc<Mutex<Taken>>,
    opened: Arc<Condvar>,
}

impl Gate {
    fn open(&self) {
        self.taken.lock().unwrap().open = true;
        self.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.taken.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut taken = self.taken.lock().unwrap();
        while !taken.open {
            taken = self.opened.wait(taken).unwrap();
        }
        taken.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs a line as the request path does.
fn record(logger: &dyn log::Log, request: &str) {
    let fields = [("event", "sent"), ("request", request)];
    let record = log::Record::builder()
        .level(log::Level::Info)
        .target("masticlock::gateway")
        .key_values(&fields)
        .args(format_args!("a request is sent"))
        .build();
    logger.log(&record);
}

#[test]
fn a_blocked_output_holds_up_nobody_and_says_what_is_missing() {
    let gate = Gate::default();
    let (_, logger) = lines_to(log::LevelFilter::Info, gate.clone()).into_log();
    let started = Instant::now();
    let flood = 3 * WAITING_LINES;
    for _ in 0..flood {
        record(&*logger, "r1");
    }
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "nothing waits for the output"
    );
    gate.open();
    // The writer takes what has waited; then the next line tells of the others.
    let until = Instant::now() + Duration::from_secs(20);
    while gate.text().lines().count() < WAITING_LINES && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    record(&*logger, "r2");
    while !gate.text().contains("r2") && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = gate.text();
    let written = text.lines().filter(|l| l.contains("\"r1\"")).count();
    let missing: Vec<_> = text.lines().filter(|l| l.contains("log_dropped")).collect();
    assert_eq!(missing.len(), 1, "{missing:?}");
    let missing: serde_json::Value = serde_json::from_str(missing[0]).unwrap();
    let missing = usize::try_from(missing["lines"].as_u64().unwrap()).unwrap();
    assert_eq!(missing + written, flood);
}

#[test]
fn lines_are_objects_with_the_fields_of_the_decision() {
    let gate = Gate::default();
    gate.open();
    let (_, logger) = lines_to(log::LevelFilter::Info, gate.clone()).into_log();
    record(&*logger, "r1");
    let until = Instant::now() + Duration::from_secs(10);
    while gate.text().is_empty() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    let line: serde_json::Value = serde_json::from_str(gate.text().trim()).unwrap();
    assert_eq!(line["event"], "sent");
    assert_eq!(line["request"], "r1");
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["message"], "a request is sent");
    assert!(line["unix_ms"].as_u64().unwrap() > 1_600_000_000_000);
}

#[test]
fn a_story_has_the_lines_about_one_subject_in_order() {
    let lines = concat!(
        "  2.0 edge-1 {\"event\":\"lost\",\"message\":\"no answer\",\"request\":\"a\",\"upstream\":\"u\",\"unix_ms\":20}\n",
        "not a log line\n",
        "{\"event\":\"sent\",\"message\":\"sent\",\"request\":\"b\",\"upstream\":\"u\",\"unix_ms\":5}\n",
        "  1.0 edge-1 {\"event\":\"sent\",\"message\":\"sent\",\"request\":\"a\",\"runs\":1,\"unix_ms\":10}\n",
    );
    let about = |text: &str| {
        let subject: Subject = text.parse().unwrap();
        story::tell(lines.as_bytes(), &subject).unwrap()
    };
    let texts: Vec<_> = about("a").iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "10 1.0 edge-1 sent: sent (request=\"a\" runs=1)",
            "20 2.0 edge-1 lost: no answer (request=\"a\" upstream=\"u\")",
        ]
    );
    assert_eq!(about("u").len(), 2);
    assert!(about("c").is_empty());
}

/// Guards against a change whose lines can't be joined over processes, and against a time line
/// that is flooded by single requests.
#[test]
fn a_change_is_followed_over_all_processes() {
    let lines = concat!(
        "{\"event\":\"configuration\",\"message\":\"in force\",\"revision\":7,\"unix_ms\":30}\n",
        "{\"event\":\"sent\",\"message\":\"sent\",\"request\":\"b\",\"unix_ms\":5}\n",
        "{\"command\":\"configure 7\",\"event\":\"applied\",\"message\":\"applied\",\"revision\":7,\"unix_ms\":20}\n",
        "{\"event\":\"leader\",\"message\":\"leads\",\"term\":2,\"unix_ms\":10}\n",
    );
    let events =
        |found: Vec<story::Line>| -> Vec<String> { found.into_iter().map(|l| l.event).collect() };
    let revision: Subject = "revision=7".parse().unwrap();
    let found = story::tell(lines.as_bytes(), &revision).unwrap();
    assert_eq!(events(found), ["applied", "configuration"]);
    let command: Subject = "configure 7".parse().unwrap();
    let found = story::tell(lines.as_bytes(), &command).unwrap();
    assert_eq!(events(found), ["applied"]);
    let all = story::timeline(lines.as_bytes()).unwrap();
    assert_eq!(events(all), ["leader", "applied", "configuration"]);
}

#[test]
fn metrics_are_text_with_bounded_labels() {
    let entry = metrics::EntryMetrics::default();
    entry.count_response(Some(Kind::Stream), hyper::StatusCode::OK);
    entry.count_response(None, hyper::StatusCode::NOT_FOUND);
    entry.count_refusal("no route");
    entry.count_attempt("engines", "a", "answered");
    entry.observe_response_head(Kind::Stream, Span::from_millis(80));
    entry.set_state(Some(Span::from_millis(120)), 7, 22);
    let text = entry.text();
    for line in [
        "masticlock_entry_answers_total{kind=\"stream\",status=\"200\"} 1",
        "masticlock_entry_answers_total{kind=\"none\",status=\"404\"} 1",
        "masticlock_entry_refused_total{reason=\"no route\"} 1",
        "masticlock_entry_head_seconds_bucket{le=\"0.1\",kind=\"stream\"} 1",
        "masticlock_entry_state_age_ms 120",
        "masticlock_entry_revision 7",
    ] {
        assert!(text.contains(line), "no {line} in {text}");
    }
}
