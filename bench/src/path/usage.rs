use std::{fs, io, time::Duration};

/// Name of the threads of the process under test.
pub const MIDDLE: &str = "middle";

/// Use of the machine, as Linux reports it below `/proc`.
pub struct Usage;

impl Usage {
    /// Returns the CPU time of the threads named [`MIDDLE`].
    pub fn middle() -> io::Result<Duration> {
        let mut sum = 0;
        for task in fs::read_dir("/proc/self/task")? {
            let path = task?.path();
            let name = fs::read_to_string(path.join("comm"))?;
            if name.trim_end() != MIDDLE {
                continue;
            }
            let stat = fs::read_to_string(path.join("schedstat"))?;
            let nanos = stat.split(' ').next().and_then(|n| n.parse::<u64>().ok());
            sum += nanos.ok_or_else(|| io::Error::other("schedstat has no CPU time"))?;
        }
        Ok(Duration::from_nanos(sum))
    }

    /// Returns the resident memory of this process in MB.
    pub fn memory_mb() -> io::Result<f64> {
        let status = fs::read_to_string("/proc/self/status")?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kilobytes = line
            .and_then(|l| l.trim().split(' ').next())
            .and_then(|n| n.parse::<f64>().ok())
            .ok_or_else(|| io::Error::other("status has no VmRSS"))?;
        Ok((kilobytes / 1_024.0).round())
    }
}
