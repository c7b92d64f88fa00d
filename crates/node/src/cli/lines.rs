//! Commands that read structured log lines and need no process.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    path::{Path, PathBuf},
};

use super::{Exit, Failure, print};
use crate::story::{self, Line, Subject};

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Tells what became of a request, a change or an upstream.
pub fn explain(files: &[PathBuf], subject: &str, json: bool) -> Result<Exit, Failure> {
    let Ok(about) = subject.parse::<Subject>();
    let found = story::tell(open(files)?, &about).map_err(Failure::usage)?;
    if found.is_empty() {
        return Err(Failure {
            exit: Exit::Refused,
            message: format!("no line is about {subject}"),
        });
    }
    show(&found, json)
}

/// Prints what all processes did and believed, in the order of time.
pub fn timeline(files: &[PathBuf], json: bool) -> Result<Exit, Failure> {
    let found = story::timeline(open(files)?).map_err(Failure::usage)?;
    show(&found, json)
}

fn show(lines: &[Line], json: bool) -> Result<Exit, Failure> {
    if json {
        return print::json(&lines);
    }
    let mut out = io::stdout().lock();
    for line in lines {
        match writeln!(out, "{line}") {
            Ok(()) => {}
            // The reader, such as `head`, has seen enough.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => break,
            Err(error) => return Err(Failure::usage(error)),
        }
    }
    Ok(Exit::Done)
}

fn open(files: &[PathBuf]) -> Result<impl BufRead, Failure> {
    let mut all: Box<dyn Read> = Box::new(io::empty());
    for path in files {
        let next: Box<dyn Read> = if path == Path::new(STANDARD_INPUT) {
            Box::new(io::stdin())
        } else {
            let file = File::open(path);
            let file = file.map_err(|e| Failure::usage(format!("{}: {e}", path.display())))?;
            Box::new(file)
        };
        // The last line of a file may lack its end.
        all = Box::new(all.chain(&b"\n"[..]).chain(next));
    }
    Ok(BufReader::new(all))
}
