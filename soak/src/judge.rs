//! Judges the promises from what was seen.
//!
//! The bounds are those that the platform's rules and standard deployments state.

use std::collections::BTreeMap;

use masticlock_platform::testing::Kind;

use crate::{
    layout::{BOOKINGS, COLD_RATE, Layout, STEADY, route},
    ledger::{End, Fact, Ledger, Part, Poisoned, Request, Run, Span, Word},
};

/// Time without a disturbance after which a machine counts as in touch, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Time in which a configuration is in force, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Time in which a revocation is in force, in milliseconds.
const REVOKE_MS: u64 = 5_000;

/// Time after which a leaving upstream gets no requests, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// Time after which an answer has arrived unless its connection was harmed meanwhile, in
/// milliseconds.
const ARRIVED_MS: u64 = 1_000;

/// Time after an upstream's word that it wants no requests from which the word counts, and the
/// requests that may still reach it, in milliseconds and requests.
const QUIET: (u64, usize) = (500, 2);

/// Time after an answer with a limit from which its entry instance counts, the window in which
/// requests are counted, and the requests allowed beside one and a half times what the limit allows,
/// in milliseconds and requests.
const LIMIT: (u64, u64, u64) = (500, 4_000, 5);

/// Crashes after which a part of a prompt is known to crash upstreams, and the requests with it that
/// may still reach them.
const BAN: (usize, usize) = (5, 3);

/// Time after a caller has left from which on its request must not reach an upstream, and the requests
/// that may, in milliseconds and requests.
const GONE: (u64, usize) = (500, 3);

/// Time after which a failure domain that is taken out gets no requests, in milliseconds.
const TAKE_OUT_MS: u64 = 5_000;

/// Time after which a request that was not sent on may end without an answer in an orderly stop,
/// in milliseconds.
const LOSS_SLACK_MS: u64 = 200;

/// Part of the cold rate by which it may be passed, and the requests beside that.
const COLD_OVER: (f64, u64) = (1.5, 5);

/// Repeats that a service may get beside its part of the requests, in the window.
const REPEATS: (f64, f64, u64) = (0.9, 56.0, 10_000);

/// Time after the last start within which requests are served again, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Kept connections that may break without a known cause in a run.
const BROKEN_CONNECTIONS: usize = 3;

/// Wrong refusals that are allowed: so many and one in so many requests.
const DENIALS: (usize, usize) = (5, 500);

/// Returns the promises that were broken, with what was seen.
#[must_use]
pub fn judge(ledger: &Ledger, layout: Layout) -> Vec<String> {
    let judge = Judge { ledger, layout };
    let mut broken = ledger.broken.clone();
    for (id, request) in &ledger.requests {
        judge.request(id, request, &mut broken);
    }
    judge.departures(&mut broken);
    judge.quiet(&mut broken);
    judge.limits(&mut broken);
    judge.rejections(&mut broken);
    judge.bans(&mut broken);
    judge.cold(&mut broken);
    judge.budget(&mut broken);
    judge.reads(&mut broken);
    judge.denials(&mut broken);
    judge.connections(&mut broken);
    judge.gone(&mut broken);
    judge.recovery(&mut broken);
    broken
}

struct Judge<'a> {
    ledger: &'a Ledger,
    layout: Layout,
}

impl Judge<'_> {
    fn is_disturbed(&self, part: Part, from: u64, to: u64) -> bool {
        self.ledger.is_disturbed(part, from, to)
    }

    fn is_control_calm(&self, from: u64, to: u64) -> bool {
        let mut control = self.ledger.disturbed.iter();
        !control.any(|(p, span)| matches!(p, Part::Control(_)) && span.meets(from, to))
    }

    /// Returns whether an entry instance is in touch during a span of time.
    fn is_in_touch(&self, entry: usize, from: u64, to: u64) -> bool {
        let before = from.saturating_sub(CONTACT_MS);
        let stopped = self
            .ledger
            .stops
            .iter()
            .any(|(e, s)| *e == entry && s.meets(before, to));
        !stopped
            && !self.is_disturbed(Part::Entry(entry), before, to)
            && self.is_control_calm(before, to)
    }

    fn is_sound(&self, run: &Run, to: u64) -> bool {
        let before = run.at.saturating_sub(CONTACT_MS);
        !self.is_disturbed(Part::Upstream(run.upstream), before, to)
    }

    fn request(&self, id: &str, request: &Request, broken: &mut Vec<String>) {
        let mut say = |promise: &str, what: &str| {
            broken.push(format!("{promise}: request {id} {what}: {request:?}"));
        };
        let attempts = route(&request.route, request.kind).attempts as usize;
        let sound = request
            .runs
            .iter()
            .filter(|r| self.is_sound(r, r.at + REVOKE_MS))
            .count();
        if request.kind == Kind::Once && request.runs.len() > 1 {
            say("at-most-once", "ran twice");
        }
        if request.kind != Kind::Once && sound > attempts {
            say("attempts", "ran too often");
        }
        if let Some((_, End::Status(status))) = request.end {
            let refused = matches!(status, 408 | 421 | 429 | 503);
            if refused && request.kind == Kind::Once && !request.runs.is_empty() {
                say("not-run", "was refused and ran");
            }
            let allowed = matches!(status, 200 | 401 | 404 | 408 | 421 | 429 | 500..);
            if !allowed {
                say("whole", "has an answer that nobody gave");
            }
        }
        let ran_after = |fact: &Fact, time: u64| {
            let late = request.sent > fact.span.from + time;
            late && fact.span.to.is_none_or(|to| request.sent < to) && !request.runs.is_empty()
        };
        for fact in &self.ledger.revoked {
            if fact.name == request.key && ran_after(fact, REVOKE_MS) {
                say("withdrawn", "ran with a key that was taken away");
            }
        }
        let to = request.end.as_ref().map_or(request.sent, |e| e.0);
        if !self.is_in_touch(request.entry, request.sent, to) {
            return;
        }
        for fact in &self.ledger.dropped {
            if fact.name == request.route && ran_after(fact, APPLY_MS) {
                say("in-force", "ran on a route that was dropped");
            }
        }
        for fact in &self.ledger.added {
            let late = request.sent > fact.span.from + APPLY_MS;
            let there = late && fact.span.to.is_none_or(|gone| to < gone);
            let denied = matches!(request.end, Some((_, End::Status(404))));
            if fact.name == request.route && there && denied {
                say("in-force", "was refused on a route that was added");
            }
        }
        for run in &request.runs {
            self.run(run, &mut say);
        }
    }

    fn run<F>(&self, run: &Run, say: &mut F)
    where
        F: FnMut(&str, &str),
    {
        let late = |span: &Span, time: u64| {
            let over = run.at > span.from + time;
            over && span.to.is_none_or(|to| run.at < to)
        };
        for (upstream, span) in &self.ledger.left {
            if *upstream == run.upstream && late(span, DRAIN_MS) {
                say("leaving", "reached an upstream that had left");
            }
        }
        for fact in &self.ledger.taken_out {
            let there = fact.name == self.layout.domain(run.upstream);
            if there && late(&fact.span, TAKE_OUT_MS) {
                say("taken-out", "reached a failure domain that is taken out");
            }
        }
    }

    /// Returns whether a word did not reach its entry instance, or the instance was restarted,
    /// stopped, frozen or cut off until `to`.
    fn is_excused(&self, word: &Word, to: u64) -> bool {
        let (entry, from) = (word.entry, word.span.from);
        let stops = &self.ledger.stops;
        let stopped = stops.iter().any(|(e, s)| *e == entry && s.meets(from, to));
        stopped
            || self.is_disturbed(Part::Entry(entry), from, to)
            || self.is_disturbed(Part::Upstream(word.upstream), from, from + ARRIVED_MS)
    }

    /// Judges requests to upstreams that had told the entry instance in an answer that they leave.
    fn departures(&self, broken: &mut Vec<String>) {
        for (id, request) in &self.ledger.requests {
            let is_late = |run: &Run| {
                self.ledger.departures.iter().any(|word| {
                    (word.entry, word.upstream) == (request.entry, run.upstream)
                        && request.sent > word.span.from + DRAIN_MS
                        && word.span.meets(run.at, run.at)
                        && !self.is_excused(word, run.at)
                })
            };
            if request.runs.iter().any(is_late) {
                broken.push(format!(
                    "leaving: request {id} reached an upstream that had said so: {request:?}"
                ));
            }
        }
    }

    /// Judges requests to upstreams that had told the entry instance that they want none.
    fn quiet(&self, broken: &mut Vec<String>) {
        let (from, most) = QUIET;
        for word in &self.ledger.quiet {
            let to = word.span.to.unwrap_or(u64::MAX);
            let from = word.span.from + from;
            let same = (word.entry, word.upstream);
            let refused = self.ledger.refused.iter();
            let refused = refused.filter(|r| (r.entry, r.upstream) == same);
            let requests = self.ledger.requests.values();
            let runs = requests.flat_map(|r| r.runs.iter().map(|run| (r.entry, run)));
            let runs = runs.filter(|(entry, run)| (*entry, run.upstream) == same);
            let arrived = refused.map(|r| r.at).chain(runs.map(|(_, run)| run.at));
            let late: Vec<_> = arrived.filter(|at| (from..to).contains(at)).collect();
            let last = late.iter().copied().max().unwrap_or(from);
            if late.len() > most && !self.is_excused(word, last) {
                broken.push(format!("quiet: {word:?} is passed over at {late:?} ms"));
            }
        }
    }

    /// Judges requests to upstreams with limits, summed over the entry instances that were told.
    fn limits(&self, broken: &mut Vec<String>) {
        let (told_after, window, extra) = LIMIT;
        for limit in &self.ledger.limits {
            let from = limit.span.from + CONTACT_MS;
            let to = limit.span.to.unwrap_or(u64::MAX);
            let is_counted = |entry: usize, at: u64| {
                let told = limit.told.iter().find(|(e, _)| *e == entry);
                told.is_some_and(|(_, told)| {
                    let word = Word {
                        entry,
                        upstream: limit.upstream,
                        span: Span {
                            from: *told,
                            to: None,
                        },
                    };
                    at >= told + told_after && !self.is_excused(&word, at)
                })
            };
            let requests = self.ledger.requests.values();
            let runs = requests.flat_map(|r| r.runs.iter().map(|run| (r.entry, *run)));
            let runs = runs.filter(|(_, run)| run.upstream == limit.upstream);
            let refused = self.ledger.refused.iter();
            let refused = refused.filter(|r| r.upstream == limit.upstream);
            let arrivals = runs
                .map(|(entry, run)| (entry, run.at))
                .chain(refused.map(|r| (r.entry, r.at)));
            let is_late = |(entry, at): &(usize, u64)| {
                let harmed = Part::Upstream(limit.upstream);
                (from..to).contains(at)
                    && is_counted(*entry, *at)
                    // The link may have held requests back.
                    && !self.is_disturbed(harmed, at.saturating_sub(CONTACT_MS), *at)
            };
            let mut late: Vec<u64> = arrivals.filter(is_late).map(|(_, at)| at).collect();
            late.sort_unstable();
            let allowed = limit.milli * window * 3 / 2_000_000 + extra;
            let count = |n: usize| {
                late[n..]
                    .iter()
                    .take_while(|t| **t < late[n] + window)
                    .count()
            };
            let most = (0..late.len()).map(count).max().unwrap_or_default() as u64;
            if most > allowed {
                broken.push(format!(
                    "limit: {most} requests in {window} ms, allowed {allowed}: {limit:?}, {late:?}"
                ));
            }
        }
    }

    /// Judges rejections of upstreams that can bear few, summed over the entry instances in touch.
    fn rejections(&self, broken: &mut Vec<String>) {
        for brittle in &self.ledger.brittle {
            let from = brittle.span.from + CONTACT_MS;
            let harmed = Part::Upstream(brittle.upstream);
            let is_counted = |(entry, at): &&(usize, u64)| {
                *at >= from
                    && self.is_in_touch(*entry, *at, *at)
                    // The link may have held requests back.
                    && !self.is_disturbed(harmed, at.saturating_sub(CONTACT_MS), *at)
            };
            let counted = brittle.rejected.iter().filter(is_counted);
            let at: Vec<u64> = counted.map(|(_, at)| *at).collect();
            let count = |n: usize| at[n..].iter().take_while(|t| **t < at[n] + 1_000).count();
            let most = (0..at.len()).map(count).max().unwrap_or_default() as u64;
            if most > brittle.rejects {
                broken.push(format!(
                    "brittle: {most} rejections in a second: {brittle:?}"
                ));
            }
        }
    }

    /// Judges requests with a part that is known to crash upstreams.
    fn bans(&self, broken: &mut Vec<String>) {
        let (known_at, most) = BAN;
        let mut parts: Vec<u64> = self.ledger.poisoned.iter().map(|(p, _)| *p).collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            let runs = self.ledger.poisoned.iter();
            let runs: Vec<_> = runs.filter(|(p, _)| *p == part).map(|(_, r)| r).collect();
            let mut crashed: Vec<u64> = runs.iter().filter_map(|r| r.crashed).collect();
            crashed.sort_unstable();
            let Some(fifth) = crashed.get(known_at - 1) else {
                continue;
            };
            let is_late =
                |r: &&&Poisoned| r.at > fifth + CONTACT_MS && self.is_in_touch(r.entry, r.at, r.at);
            let late: Vec<_> = runs.iter().filter(is_late).collect();
            if late.len() > most {
                broken.push(format!(
                    "ban: {} requests with part {part} after its crash at {fifth} ms: {late:?}",
                    late.len()
                ));
            }
        }
    }

    fn cold(&self, broken: &mut Vec<String>) {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = (COLD_RATE * COLD_OVER.0) as u64 + COLD_OVER.1;
        for (upstream, span) in &self.ledger.cold {
            let to = span.to.unwrap_or(u64::MAX);
            let requests = self.ledger.requests.values();
            let runs = requests.flat_map(|r| r.runs.iter().map(move |run| (r.sent, run)));
            let mut at: Vec<_> = runs
                .filter(|(_, run)| run.upstream == *upstream)
                .filter(|(sent, run)| *sent >= span.from && run.at <= to)
                .map(|(_, run)| run.at)
                .collect();
            at.sort_unstable();
            for (number, first) in at.iter().enumerate() {
                let within = at[number..].iter().take_while(|t| **t < first + 1_000);
                let count = within.count() as u64;
                if count > most {
                    broken.push(format!(
                        "cold: upstream {upstream} has {count} requests in a second, at {first} ms"
                    ));
                    break;
                }
            }
        }
    }

    fn budget(&self, broken: &mut Vec<String>) {
        let (part, extra, window) = REPEATS;
        let mut counts: BTreeMap<(bool, u64), (u32, u32)> = BTreeMap::new();
        for request in self.ledger.requests.values() {
            let bookings = route(&request.route, request.kind).service == BOOKINGS;
            counts
                .entry((bookings, request.sent / window))
                .or_default()
                .0 += 1;
            for run in request.runs.iter().skip(1) {
                counts.entry((bookings, run.at / window)).or_default().1 += 1;
            }
        }
        for ((bookings, window), (requests, repeats)) in counts {
            if f64::from(repeats) > f64::from(requests) * part + extra {
                broken.push(format!(
                    "budget: {repeats} repeats of {requests} requests, bookings {bookings}, window {window}"
                ));
            }
        }
    }

    fn reads(&self, broken: &mut Vec<String>) {
        for read in &self.ledger.reads {
            let due = |(_, at): &&(u64, u64)| *at + APPLY_MS < read.sent;
            let newest = self
                .ledger
                .confirmed
                .iter()
                .filter(due)
                .map(|(r, _)| *r)
                .max();
            if newest.is_some_and(|n| n > read.revision) {
                broken.push(format!("in-force: {read:?} is older than {newest:?}"));
            }
        }
    }

    fn denials(&self, broken: &mut Vec<String>) {
        let all = self.ledger.requests.len();
        let is_denied = |r: &&Request| {
            let proper = r.account == STEADY && matches!(&*r.route, "book" | "look" | "ask");
            let denied =
                |status: u16| (300..500).contains(&status) && !matches!(status, 408 | 421 | 429);
            proper && matches!(r.end, Some((_, End::Status(status))) if denied(status))
        };
        let denied = self.ledger.requests.values().filter(is_denied).count();
        if denied > DENIALS.0 + all / DENIALS.1 {
            broken.push(format!(
                "allowed: {denied} of {all} proper requests were denied"
            ));
        }
    }

    /// Judges connections that ended without an answer although nothing had harmed them.
    fn connections(&self, broken: &mut Vec<String>) {
        let mut lost = Vec::new();
        for (id, request) in &self.ledger.requests {
            let Some((at, End::Cut)) = request.end else {
                continue;
            };
            let from = request.sent.saturating_sub(CONTACT_MS);
            let calm = !self.is_disturbed(Part::Entry(request.entry), from, at)
                && self.is_control_calm(from, at);
            let sound = request.runs.iter().all(|r| self.is_sound(r, at));
            if !calm || !sound {
                continue;
            }
            let (sent_on, late) = (!request.runs.is_empty(), at > request.sent + LOSS_SLACK_MS);
            let stop = self
                .ledger
                .stops
                .iter()
                .find(|(e, s)| *e == request.entry && s.meets(request.sent, at));
            if stop.is_some() && (sent_on || late) {
                broken.push(format!(
                    "graceful: request {id} is lost in a stop: {request:?}"
                ));
            } else if sent_on {
                lost.push(id);
            }
        }
        if lost.len() > BROKEN_CONNECTIONS {
            broken.push(format!(
                "answered: connections ended without an answer: {lost:?}"
            ));
        }
    }

    /// Judges requests that reach upstreams after their callers have left.
    fn gone(&self, broken: &mut Vec<String>) {
        let (time, allowed) = GONE;
        let mut late = Vec::new();
        for (id, request) in &self.ledger.requests {
            let Some((left, End::Left)) = request.end else {
                continue;
            };
            let is_late = |run: &&Run| run.at > left + time;
            let runs = request.runs.iter().filter(is_late);
            let mut runs = runs.filter(|r| self.is_in_touch(request.entry, left, r.at));
            if runs.any(|r| self.is_sound(r, r.at)) {
                late.push(id);
            }
        }
        if late.len() > allowed {
            broken.push(format!(
                "gone: requests reached upstreams after their callers had left: {late:?}"
            ));
        }
    }

    fn recovery(&self, broken: &mut Vec<String>) {
        let Some(started) = self.ledger.recovered else {
            return;
        };
        let later = |r: &&Request| r.sent > started + RECOVERY_MS && r.account == STEADY;
        let sent: Vec<_> = self.ledger.requests.values().filter(later).collect();
        let served = |r: &&&Request| matches!(r.end, Some((_, End::Status(200))));
        let count = sent.iter().filter(served).count();
        if sent.is_empty() || count * 4 < sent.len() {
            broken.push(format!(
                "recovery: {count} of {} requests were served after the last fault",
                sent.len()
            ));
        }
    }
}
