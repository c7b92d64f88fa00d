use std::fs;

use super::world::{Outcome, text};

/// Milliseconds of a clock tick in `/proc`, which Linux fixes at 100 ticks per second.
const TICK_MS: u64 = 10;

/// Returns the CPU time of this process's threads in milliseconds, by thread name.
pub fn threads() -> Outcome<Vec<(String, u64)>> {
    let mut list = Vec::new();
    for entry in fs::read_dir("/proc/self/task").map_err(text)? {
        let path = entry.map_err(text)?.path().join("stat");
        // A thread may end between the listing and the read.
        let Ok(stat) = fs::read_to_string(path) else {
            continue;
        };
        let (head, rest) = stat.rsplit_once(')').ok_or("unexpected /proc format")?;
        let name = head.split_once('(').map_or("", |(_, name)| name);
        // Fields 14 and 15 of proc(5), user and system time; the first one here is field 3.
        let field = |at: usize| rest.split_whitespace().nth(at - 3)?.parse::<u64>().ok();
        let ticks = field(14).zip(field(15)).ok_or("unexpected /proc format")?;
        list.push((name.to_owned(), (ticks.0 + ticks.1) * TICK_MS));
    }
    Ok(list)
}

/// Returns the largest growth of a thread's CPU time whose name starts with `prefix`.
///
/// Threads with the same name are summed up before, and divided by `share`.
pub fn growth(before: &[(String, u64)], after: &[(String, u64)], prefix: &str) -> u64 {
    let sum = |list: &[(String, u64)], name: &str| -> u64 {
        list.iter().filter(|t| t.0 == name).map(|t| t.1).sum()
    };
    let count = |name: &str| after.iter().filter(|t| t.0 == name).count().max(1) as u64;
    let mut names: Vec<_> = after
        .iter()
        .map(|t| t.0.as_str())
        .filter(|name| name.starts_with(prefix))
        .collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .map(|name| sum(after, name).saturating_sub(sum(before, name)) / count(name))
        .max()
        .unwrap_or(0)
}

/// Returns the resident memory of this process in megabytes.
pub fn resident_mb() -> Outcome<u64> {
    let status = fs::read_to_string("/proc/self/status").map_err(text)?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok())
        .map(|kb| kb / 1_024)
        .ok_or_else(|| "unexpected /proc format".into())
}
