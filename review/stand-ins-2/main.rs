//! Stand-ins for clients, engines, the operator and the platform, and the cases that use them.
//!
//! `stand-in CASE FOLDER` plays a case, writes `FOLDER/record.txt` and exits with 0 if the rule held,
//! 1 if it was broken and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod deploy;
mod engine;
mod gone;
mod last_key;
mod long_bodies;
mod many_changes;
mod net;
mod unread_answer;

use std::{
    io,
    path::Path,
    process::ExitCode,
    thread::{self, sleep},
    time::Duration,
};

use deploy::Record;

/// Longest time of a case.
const LONGEST: Duration = Duration::from_secs(115);

/// Whether a rule held, with what was seen.
pub struct Verdict {
    pub held: bool,
    pub text: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        sleep(LONGEST);
        eprintln!("the case takes too long");
        let _gone = std::fs::remove_dir_all(deploy::folder());
        // The processes of the product end with this one.
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match play(case, Path::new(folder), trouble) {
        Ok(verdict) => {
            println!("{}: {}", if verdict.held { "held" } else { "BROKEN" }, verdict.text);
            ExitCode::from(u8::from(!verdict.held))
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    record.note(format!("case {case}, disruption: {trouble}"));
    let verdict = match case {
        "unread-answer" => unread_answer::play(record.clone(), trouble),
        "gone" => gone::play(record.clone(), trouble),
        "long-bodies" => long_bodies::play(record.clone(), trouble),
        "many-changes" => many_changes::play(record.clone(), trouble),
        "last-key" => last_key::play(record.clone(), trouble),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }?;
    record.note(format!(
        "verdict: {}: {}",
        if verdict.held { "held" } else { "BROKEN" },
        verdict.text
    ));
    Ok(verdict)
}
