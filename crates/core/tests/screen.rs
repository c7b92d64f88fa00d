//! Tests of the screening of requests whose prompt parts crash upstreams.

mod screen {
    mod fleet;
}

use masticlock_core::{
    limit::{PERMIT_LIFETIME, Permit},
    request::Fingerprint,
    suspect::{
        Answer, Charge, Crash, EXPERIMENT_PERMIT, EvidenceSet, Probe, Process, Progress, Screen,
        Standing, Subject, Witness, is_crash,
    },
    time::{Span, Time},
};

/// The part that crashes upstreams, one that sound requests have too, and others.
const GUILTY: Subject = Subject::Part(1);
const SHARED: Subject = Subject::Part(2);
const RARE: Subject = Subject::Part(3);
const SECOND: Subject = Subject::Part(4);

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn request(number: u64) -> Subject {
    Subject::Request(Fingerprint::of_digest(number))
}

fn process(upstream: &str) -> Process {
    Process {
        upstream: upstream.into(),
        incarnation: 1,
        address: format!("{upstream}:80").into(),
    }
}

/// Records a crash of a new upstream under a request with these parts.
fn crash(screen: &mut Screen, number: u64, parts: &[Subject], now: Time) {
    let mut subjects = parts.to_vec();
    subjects.push(request(number));
    screen.crashed(&format!("engine-{number}").into(), 1, &subjects, now);
}

/// Sends all evidence of one instance to another.
fn tell(from: &Screen, to: &mut Screen, now: Time) {
    to.merge(&from.set().since(0, now), now);
}

/// Returns a permit for the subject.
fn permit(subject: Subject) -> Permit {
    Permit {
        upstream: subject.permit_name(),
        incarnation: 0,
        count: 1,
        valid: PERMIT_LIFETIME,
        scarce: false,
    }
}

/// Guards against a part that is taken for sound because no two of its requests are alike, and
/// against a ban of the parts that sound requests have in common with it.
#[test]
fn a_part_is_guilty_after_three_crashes_and_the_others_are_not() {
    let mut screen = Screen::default();
    screen.answered(&[SHARED, request(0)], at(0));
    for number in 1..=3 {
        assert!(screen.standing(&[GUILTY]) < Standing::Guilty);
        crash(&mut screen, number, &[SHARED, GUILTY], at(number * 100));
    }
    assert_eq!(screen.standing(&[SHARED, GUILTY]), Standing::Guilty);
    assert_eq!(screen.standing(&[SHARED, request(9)]), Standing::Clear);
}

/// Guards against a retry or a new request that runs before the crash under its part is judged, and
/// against one that runs with another request's permit.
#[test]
fn a_suspect_part_runs_by_a_permit_for_one_request() {
    let mut screen = Screen::default();
    crash(&mut screen, 1, &[GUILTY], at(100));
    let subjects = [GUILTY, request(2)];
    assert!(!screen.may_send(&subjects, None, at(110)));
    assert_eq!(screen.try_out(&subjects, at(110)), None);
    assert_eq!(screen.permit_wants(at(120)).len(), 1);
    screen.take_permits(&mut vec![permit(GUILTY)], at(200), at(210));
    let trial = screen.try_out(&subjects, at(220));
    assert!(trial.is_some());
    assert!(screen.may_send(&subjects, trial.as_ref(), at(230)));
    assert!(
        !screen.may_send(&subjects, trial.as_ref(), at(1_300)),
        "it ends"
    );
    assert!(!screen.may_send(&[SECOND, GUILTY], None, at(230)));
    assert_eq!(screen.try_out(&subjects, at(240)), None, "it was for one");
}

/// Guards against a permit for one suspect part that lets another one run.
#[test]
fn each_suspect_part_of_a_request_needs_a_permit() {
    let mut screen = Screen::default();
    crash(&mut screen, 1, &[GUILTY, SECOND], at(100));
    screen.take_permits(&mut vec![permit(GUILTY)], at(200), at(210));
    assert_eq!(screen.try_out(&[GUILTY, SECOND], at(220)), None);
    assert!(screen.try_out(&[GUILTY], at(230)).is_some());
}

/// Guards against sound parts that stay suspect: any complete answer on them, at any instance,
/// clears them at all.
#[test]
fn a_complete_answer_at_any_instance_clears_a_part() {
    let (mut one, mut two) = (Screen::default(), Screen::default());
    crash(&mut one, 1, &[RARE, GUILTY], at(100));
    tell(&one, &mut two, at(200));
    assert_eq!(two.standing(&[RARE]), Standing::Suspect);
    assert!(two.answered(&[RARE, request(7)], at(300)), "it is news");
    assert_eq!(two.standing(&[RARE]), Standing::Clear);
    tell(&two, &mut one, at(400));
    assert_eq!(one.standing(&[RARE]), Standing::Clear);
    assert_eq!(one.standing(&[GUILTY]), Standing::Suspect);
}

/// Guards against an accusation of a part that another instance has just answered.
#[test]
fn an_instance_speaks_for_a_part_that_it_answered_a_moment_ago() {
    let (mut one, mut two) = (Screen::default(), Screen::default());
    two.answered(&[SHARED, request(7)], at(50));
    crash(&mut one, 1, &[SHARED, GUILTY], at(100));
    assert_eq!(one.standing(&[SHARED]), Standing::Suspect);
    assert!(two.merge(&one.set().since(0, at(150)), at(150)));
    tell(&two, &mut one, at(200));
    assert_eq!(one.standing(&[SHARED]), Standing::Clear);
}

/// Guards against a part that goes on crashing upstreams because it was sound before.
#[test]
fn earlier_answers_do_not_speak_for_a_part_without_end() {
    let mut screen = Screen::default();
    screen.answered(&[GUILTY, request(0)], at(0));
    for number in 1..=6 {
        crash(&mut screen, number, &[GUILTY], at(number * 100));
    }
    assert_eq!(screen.standing(&[GUILTY]), Standing::Guilty);
}

/// Records crashes of new upstreams at once under requests that share two parts.
fn crash_together(screen: &mut Screen, numbers: std::ops::RangeInclusive<u64>, now: Time) {
    for number in numbers {
        crash(screen, number, &[SHARED, GUILTY], now);
    }
}

/// Guards against a sound part that is refused for good because it only ever ran with a guilty one.
#[test]
fn a_sound_request_is_the_experiment_that_tells_parts_apart() {
    let mut screen = Screen::default();
    crash_together(&mut screen, 1..=9, at(100));
    let (sound, guilty) = ([SHARED, RARE, request(20)], [SHARED, GUILTY, request(21)]);
    assert_eq!(screen.standing(&sound), Standing::Guilty);
    assert!(screen.is_in_doubt(&sound) && !screen.is_in_doubt(&guilty));
    assert_eq!(screen.try_out(&guilty, at(150)), None);
    assert_eq!(screen.try_out(&sound, at(150)), None);
    let wants = screen.permit_wants(at(160));
    let count = |name: &str| wants.iter().filter(|w| &*w.upstream == name).count();
    assert_eq!(count(EXPERIMENT_PERMIT), 1);
    let experiment = Permit {
        upstream: EXPERIMENT_PERMIT.into(),
        ..permit(SHARED)
    };
    screen.take_permits(&mut vec![experiment.clone()], at(200), at(210));
    assert_eq!(
        screen.try_out(&guilty, at(220)),
        None,
        "it is no experiment"
    );
    let trial = screen.try_out(&sound, at(220));
    assert!(screen.may_send(&sound, trial.as_ref(), at(230)));
    assert!(screen.progressed(&sound, at(1_400)));
    assert_eq!(screen.standing(&sound), Standing::Clear);
    assert_eq!(screen.standing(&guilty), Standing::Guilty);
}

/// Guards against a ban that reaches an instance after the answer that refutes it.
#[test]
fn a_ban_of_a_part_that_was_cleared_meanwhile_is_lifted() {
    let mut entry = Screen::default();
    crash_together(&mut entry, 1..=3, at(100));
    let mut control = EvidenceSet::default();
    control.merge(&entry.set().since(0, at(200)), at(200));
    entry.progressed(&[SHARED, RARE, request(20)], at(2_150));
    assert_eq!(control.ban_guilty(at(2_200)).len(), 2);
    entry.merge(&control.since(0, at(2_250)), at(2_250));
    assert_eq!(entry.standing(&[SHARED]), Standing::Clear);
    control.merge(&entry.set().since(0, at(2_300)), at(2_300));
    assert_eq!(control.standing(SHARED), Standing::Clear);
    assert_eq!(control.standing(GUILTY), Standing::Guilty);
}

/// Guards against experiments without end with a part that is the cause.
#[test]
fn a_part_that_crashes_experiments_is_in_doubt_no_more() {
    let mut screen = Screen::default();
    for number in 1..=9 {
        crash(&mut screen, number, &[SHARED, GUILTY, SECOND], at(100));
    }
    let suspects = [SHARED, GUILTY, request(30)];
    let mut experiments = 0;
    while screen.is_in_doubt(&suspects) {
        experiments += 1;
        assert!(experiments <= 3, "{experiments}");
        let now = at(100 + experiments * 1_000);
        crash(&mut screen, 30 + experiments, &[SHARED, GUILTY], now);
    }
    assert!(screen.is_in_doubt(&[SHARED, RARE, request(31)]));
}

/// Guards against a part that hides behind a shared one, which is in all crashes of two guilty parts.
#[test]
fn a_part_in_all_crashes_is_in_doubt_while_others_explain_them() {
    let mut screen = Screen::default();
    for number in 1..=4 {
        let part = if number % 2 == 0 { GUILTY } else { SECOND };
        crash(&mut screen, number, &[SHARED, part], at(100));
    }
    let sound = [SHARED, RARE, request(20)];
    assert_eq!(screen.standing(&[SHARED]), Standing::Guilty);
    assert!(screen.is_in_doubt(&sound));
    screen.progressed(&sound, at(1_300));
    assert_eq!(screen.standing(&[SHARED]), Standing::Clear);
    for part in [GUILTY, SECOND] {
        assert_eq!(screen.standing(&[part]), Standing::Suspect, "two crashes");
    }
}

/// Guards against a part that crashes upstreams long after the beginning of an answer, and is cleared
/// by each of its answers.
#[test]
fn an_answer_under_way_clears_no_part_that_had_one_before_its_crashes() {
    let mut screen = Screen::default();
    for number in 1..=6 {
        let now = number * 3_000;
        screen.progressed(&[GUILTY, request(number)], at(now));
        crash(&mut screen, number, &[GUILTY], at(now + 500));
    }
    assert_eq!(screen.standing(&[GUILTY]), Standing::Guilty);
}

/// Guards against an answer that speaks for its parts too early: events that were received before a
/// crash and are read late, and the first events of a slow upstream.
#[test]
fn an_answer_speaks_for_its_parts_after_some_events_and_waiting() {
    let mut read_late = Progress::default();
    assert!((0..100).all(|_| !read_late.observe(1, Span::ZERO)));
    let mut slow = Progress::default();
    assert!((0..2).all(|_| !slow.observe(1, Span::from_millis(1_500))));
    let mut sound = Progress::default();
    let reports = (0..100).filter(|_| sound.observe(1, Span::from_millis(75)));
    assert_eq!(reports.count(), 1, "once");
}

/// Guards against two trials on one upstream, whose crash would tell nothing of either.
#[test]
fn an_upstream_has_one_trial_at_a_time() {
    let mut screen = Screen::default();
    screen.begin_trial(&"engine-1".into(), at(100));
    assert_eq!(screen.trials(at(900)).count(), 1);
    assert_eq!(screen.trials(at(1_100)).count(), 0);
}

/// Guards against two guilty parts of which only the first is found.
#[test]
fn two_guilty_parts_are_told_apart() {
    let mut screen = Screen::default();
    for number in 1..=3 {
        crash(&mut screen, number, &[GUILTY], at(number * 100));
        // A request with the other part runs on the same upstream.
        crash(&mut screen, number, &[SECOND], at(number * 100));
        crash(&mut screen, 10 + number, &[GUILTY], at(number * 100 + 50));
    }
    assert_eq!(screen.standing(&[GUILTY]), Standing::Guilty);
    assert!(screen.standing(&[SECOND]) < Standing::Guilty, "explained");
    for number in 21..=23 {
        crash(&mut screen, number, &[SECOND], at(number * 100));
    }
    assert_eq!(screen.standing(&[SECOND]), Standing::Guilty);
}

/// Guards against sound parts that are banned because upstreams crash for other reasons.
#[test]
fn crashes_for_other_reasons_ban_no_part_that_is_answered() {
    let mut screen = Screen::default();
    for number in 1..=40 {
        let now = number * 100;
        let rare = Subject::Part(100 + number);
        crash(&mut screen, number, &[SHARED, rare], at(now));
        screen.answered(&[SHARED, request(0)], at(now + 50));
        assert_eq!(screen.standing(&[SHARED]), Standing::Clear);
        assert!(screen.standing(&[rare]) < Standing::Guilty);
    }
}

/// Guards against a request without parts that crashes upstreams, and against its quarantine after
/// crashes that a part explains.
#[test]
fn a_request_is_guilty_of_two_crashes_that_no_part_explains() {
    let mut screen = Screen::default();
    for number in 1..=2 {
        screen.crashed(&format!("e{number}").into(), 1, &[request(5)], at(100));
    }
    assert_eq!(screen.standing(&[request(5)]), Standing::Guilty);
    let mut screen = Screen::default();
    for number in 1..=3 {
        let upstream = format!("e{number}").into();
        screen.crashed(&upstream, 1, &[GUILTY, request(number)], at(100));
        screen.crashed(&upstream, 1, &[request(5)], at(100));
    }
    assert_eq!(screen.standing(&[request(5)]), Standing::Clear);
}

/// Guards against a cut, a planned stop or a reset that is taken for a crash, and against a machine
/// that falls silent and is taken for a cut.
#[test]
fn a_crash_is_told_from_a_cut_a_stop_and_a_reset() {
    for (upstream, witness) in [
        (Probe::Refused, Witness::Far),
        (Probe::Refused, Witness::Near),
        (Probe::Silent, Witness::Near),
    ] {
        assert!(is_crash(upstream, witness, false));
        assert!(!is_crash(upstream, witness, true));
    }
    for (upstream, witness) in [
        (Probe::Silent, Witness::Far),
        (Probe::Silent, Witness::None),
        (Probe::Accepted, Witness::Far),
        (Probe::Accepted, Witness::Near),
        (Probe::Refused, Witness::None),
    ] {
        assert!(!is_crash(upstream, witness, false));
    }
}

fn charge(subject: Subject) -> Charge {
    Charge {
        subject,
        answer: Answer::Missing,
    }
}

fn crash_of(upstream: &str, subject: Subject) -> Crash {
    Crash {
        upstream: upstream.into(),
        incarnation: 1,
        age: Span::ZERO,
        charges: vec![charge(subject)],
    }
}

/// Guards against reports that repeat all charges of a crash whenever one changes: hundreds of
/// instances charge what they ran on the same upstream.
#[test]
fn a_report_has_only_the_charges_that_have_changed() {
    let (mut here, mut there) = (EvidenceSet::default(), EvidenceSet::default());
    here.add(&crash_of("e", GUILTY), at(100));
    there.merge(&here.since(0, at(100)), at(100));
    let known = here.revision();
    here.add(&crash_of("e", SHARED), at(110));
    let news = here.since(known, at(110));
    assert_eq!(
        news.crashes,
        [crash_of("e", SHARED)].map(|c| Crash {
            age: Span::from_millis(10),
            ..c
        })
    );
    there.merge(&news, at(110));
    let all = |set: &EvidenceSet| set.since(0, at(110)).crashes[0].charges.clone();
    assert_eq!(all(&there), all(&here));
    let known = here.revision();
    here.answered(&[SHARED], at(120));
    assert_eq!(here.since(known, at(120)).crashes[0].charges.len(), 1);
}

/// Guards against a crash that is news at each report although the record is full of later ones.
#[test]
fn a_crash_older_than_a_full_record_is_no_news() {
    let mut set = EvidenceSet::default();
    for number in 0..64 {
        set.add(&crash_of(&format!("e{number}"), GUILTY), at(1_000));
    }
    let known = set.revision();
    let old = Crash {
        age: Span::from_millis(500),
        ..crash_of("old", GUILTY)
    };
    assert!(!set.add(&old, at(1_000)));
    assert_eq!(set.revision(), known);
}

/// Guards against a crash that is missed because the upstream was back before anyone looked.
#[test]
fn a_later_incarnation_shows_a_crash() {
    let mut screen = Screen::default();
    screen.broke(&process("e"), &[GUILTY], at(100));
    screen.detect_restarts(|_| false, at(200));
    assert_eq!(screen.standing(&[GUILTY]), Standing::Clear);
    screen.detect_restarts(|p| *p == process("e"), at(300));
    assert_eq!(screen.standing(&[GUILTY]), Standing::Suspect);
}

/// Guards against a crash that is forgotten before the machine is back, and against one that charges
/// what a process has survived.
#[test]
fn a_broken_run_waits_for_the_next_process_unless_its_own_has_answered_since() {
    for has_survived in [false, true] {
        let mut screen = Screen::default();
        screen.broke(&process("e"), &[GUILTY], at(100));
        screen.survived(&process("f"), at(30_000));
        if has_survived {
            screen.survived(&process("e"), at(30_000));
        }
        screen.detect_restarts(|p| *p == process("e"), at(60_000));
        let is_charged = screen.standing(&[GUILTY]) == Standing::Suspect;
        assert_eq!(is_charged, !has_survived);
    }
}

/// Guards against crashes that charge nothing, because runs that broke before fill the record.
#[test]
fn the_latest_broken_runs_are_kept() {
    let mut screen = Screen::default();
    for number in 0..600 {
        screen.broke(&process("e"), &[SHARED, request(number)], at(100));
    }
    screen.broke(&process("f"), &[GUILTY, request(1_000)], at(200));
    screen.detect_restarts(|p| *p == process("f"), at(300));
    assert_eq!(screen.standing(&[GUILTY]), Standing::Suspect);
}

/// Guards against a crash that is charged to nothing, because the answer was given up before it.
#[test]
fn a_crash_after_an_answer_was_given_up_is_charged() {
    let mut screen = Screen::default();
    assert!(!screen.left(&process("e"), &[GUILTY, request(1)], at(100)));
    screen.crashed(&"e".into(), 1, &[request(2)], at(180));
    assert_eq!(screen.standing(&[GUILTY]), Standing::Suspect);
    // The news of the crash may come from another instance, before or after the end of the run.
    for is_late in [false, true] {
        let (mut here, mut there) = (Screen::default(), Screen::default());
        there.crashed(&"e".into(), 1, &[request(2)], at(180));
        if is_late {
            tell(&there, &mut here, at(190));
        }
        let is_news = here.left(&process("e"), &[GUILTY, request(1)], at(200));
        assert_eq!(is_news, is_late);
        if !is_late {
            tell(&there, &mut here, at(400));
        }
        assert_eq!(here.standing(&[GUILTY]), Standing::Suspect);
    }
}

/// Guards against a run that is charged with a crash long after its end.
#[test]
fn a_crash_long_after_an_answer_was_given_up_is_not_charged() {
    let mut screen = Screen::default();
    screen.left(&process("e"), &[GUILTY, request(1)], at(100));
    screen.crashed(&"e".into(), 2, &[request(2)], at(200));
    screen.crashed(&"e".into(), 1, &[request(2)], at(3_000));
    assert_eq!(screen.standing(&[GUILTY]), Standing::Clear);
}

/// Guards against a crash that nobody notices after an answer was given up, and against probes of
/// upstreams for parts that were answered a moment ago.
#[test]
fn an_upstream_is_looked_at_after_an_answer_was_given_up() {
    let mut screen = Screen::default();
    screen.answered(&[SHARED, request(9)], at(0));
    screen.left(&process("f"), &[SHARED, request(1)], at(100));
    screen.left(&process("e"), &[SHARED, GUILTY, request(2)], at(100));
    assert!(screen.due_looks(at(200)).is_empty());
    assert_eq!(screen.due_looks(at(400)), [("e".into(), 1)]);
    assert!(screen.due_looks(at(500)).is_empty());
    assert_eq!(screen.due_looks(at(1_200)), [("e".into(), 1)]);
}

/// Guards against a ban that ends with the evidence, against trials that don't become rarer, and
/// against a ban that outlives the fault.
#[test]
fn a_ban_lasts_and_a_trial_may_end_it() {
    let mut screen = Screen::default();
    for number in 1..=3 {
        crash(&mut screen, number, &[GUILTY], at(100));
    }
    let mut control = EvidenceSet::default();
    control.merge(&screen.set().since(0, at(200)), at(200));
    assert!(
        control.ban_guilty(at(300)).is_empty(),
        "answers may be on their way"
    );
    assert_eq!(control.ban_guilty(at(2_300)), [GUILTY]);
    let name = GUILTY.permit_name();
    let mut previous = Span::ZERO;
    let mut now = at(2_300);
    for round in 0..3 {
        let start = now;
        while control.permit_rate(&name, round, true, now).is_none() {
            now += Span::from_secs(1);
            control.expire(now);
        }
        assert!(now.since(start) > previous, "round {round}");
        previous = now.since(start);
        control.permit_issued(&name, now);
    }
    assert_eq!(control.standing(GUILTY), Standing::Guilty);
    control.answered(&[GUILTY], now);
    assert_eq!(control.standing(GUILTY), Standing::Clear);
    // An instance that has the ban learns of its end, in any order.
    let mut other = EvidenceSet::default();
    other.merge(&control.since(0, now), now);
    assert_eq!(other.standing(GUILTY), Standing::Clear);
}

/// Guards against a flood of new parts that displaces a ban.
#[test]
fn a_flood_of_parts_evicts_no_ban() {
    let mut screen = Screen::default();
    for number in 1..=3 {
        crash(&mut screen, number, &[GUILTY], at(100));
    }
    let mut control = EvidenceSet::default();
    control.merge(&screen.set().since(0, at(200)), at(200));
    control.ban_guilty(at(2_300));
    for number in 0..5_000 {
        screen.answered(&[Subject::Part(1_000 + number)], at(2_400));
        crash(
            &mut screen,
            10 + number,
            &[Subject::Part(9_000 + number)],
            at(2_500),
        );
        control.merge(
            &screen.set().since(screen.set().revision() - 1, at(2_500)),
            at(2_500),
        );
    }
    assert_eq!(control.standing(GUILTY), Standing::Guilty);
    assert!(control.since(0, at(2_500)).crashes.len() <= 64);
}

/// Guards against a ban that outlasts the version of the service that has the fault.
#[test]
fn a_new_version_is_a_reason_for_a_trial() {
    let mut screen = Screen::default();
    for number in 1..=3 {
        crash(&mut screen, number, &[GUILTY], at(100));
    }
    let mut control = EvidenceSet::default();
    control.merge(&screen.set().since(0, at(200)), at(200));
    control.ban_guilty(at(2_300));
    let name = GUILTY.permit_name();
    assert_eq!(control.permit_rate(&name, 0, true, at(3_000)), None);
    control.reconsider(at(3_000));
    assert!(control.permit_rate(&name, 0, true, at(3_000)).is_some());
    control.permit_issued(&name, at(3_100));
    assert_eq!(
        control.permit_rate(&name, 1, true, at(3_200)),
        None,
        "one trial"
    );
}

/// The guilty part in requests of one kind, and in those of another.
fn in_kind(kind: u64) -> Subject {
    Subject::of_kind(1, kind)
}

/// Guards against answers to requests of one kind that clear a part which crashes upstreams under
/// another kind, and against a ban that refuses both.
#[test]
fn a_part_is_banned_in_the_kind_of_requests_under_which_it_crashes_upstreams() {
    let mut screen = Screen::default();
    let sound = [GUILTY, in_kind(2), request(50)];
    screen.answered(&sound, at(100));
    for number in 1..=3 {
        let now = 1_000 * number;
        crash(&mut screen, number, &[GUILTY, in_kind(1)], at(now));
        screen.answered(&sound, at(now + 500));
    }
    let standing = |part| screen.standing(&[GUILTY, part]);
    assert_eq!(standing(in_kind(1)), Standing::Guilty);
    assert_eq!(standing(in_kind(2)), Standing::Clear);
}

/// Guards against a part that counts twice, by itself and in its kind, where no answer tells them
/// apart: it needs one permit.
#[test]
fn a_part_without_answers_needs_one_permit_for_all_kinds() {
    let mut screen = Screen::default();
    let subjects = [GUILTY, in_kind(1), request(1)];
    crash(&mut screen, 1, &subjects[..2], at(100));
    assert_eq!(screen.standing(&subjects), Standing::Suspect);
    assert_eq!(screen.standing(&[in_kind(1)]), Standing::Clear);
    assert!(screen.try_out(&subjects, at(110)).is_none());
    screen.take_permits(&mut vec![permit(GUILTY)], at(110), at(120));
    let trial = screen.try_out(&subjects, at(130));
    assert!(trial.is_some());
    assert!(screen.may_send(&subjects, trial.as_ref(), at(140)));
}
