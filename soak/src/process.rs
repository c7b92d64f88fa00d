//! Processes of the product, and a guard that ends them if the soak itself is killed.

use std::{
    collections::BTreeSet,
    fs::{self, File, OpenOptions},
    io::{self, BufRead, Write},
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
};

use masticlock_platform::testing;
use rustix::process::{Pid, Signal, kill_process};

use crate::run::Options;

/// Ends the processes whose ids it is told, once its input ends.
///
/// Lines are `+ID` and `-ID`.
///
/// # Errors
///
/// Returns an error of the input.
pub fn guard<R>(input: R) -> io::Result<()>
where
    R: BufRead,
{
    let mut alive = BTreeSet::new();
    for line in input.lines() {
        let line = line?;
        let Ok(id) = line[1..].parse::<i32>() else {
            continue;
        };
        if line.starts_with('+') {
            alive.insert(id);
        } else {
            alive.remove(&id);
        }
    }
    for id in alive {
        if let Some(pid) = Pid::from_raw(id) {
            // It may have ended by itself.
            let _gone = kill_process(pid, Signal::KILL);
        }
    }
    Ok(())
}

/// The input of the guard's process.
#[derive(Debug)]
pub struct Guard {
    input: ChildStdin,
    process: Child,
}

impl Guard {
    /// Starts the guard.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn start(program: &Path) -> io::Result<Self> {
        let mut process = Command::new(program)
            .arg("--guard")
            .stdin(Stdio::piped())
            .spawn()?;
        let input = process.stdin.take();
        let input = input.ok_or_else(|| io::Error::other("the guard has no input"))?;
        Ok(Self { input, process })
    }

    fn say(&mut self, sign: char, id: u32) -> io::Result<()> {
        writeln!(self.input, "{sign}{id}")?;
        self.input.flush()
    }

    /// Ends the guard and what it still knows.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be waited for.
    pub fn end(self) -> io::Result<()> {
        let Self { input, mut process } = self;
        drop(input);
        process.wait().map(drop)
    }
}

/// A process of the product with what is needed to start it again.
#[derive(Debug)]
pub struct Process {
    /// What its settings say.
    pub said: testing::Settings,
    role: &'static str,
    program: PathBuf,
    /// Program that replaces it.
    next_program: PathBuf,
    folder: PathBuf,
    /// Name of the fault that is planted in it.
    plant: String,
    child: Option<Child>,
    /// Grows with each start and each kill, so that a fault sees that another one has taken over.
    changes: u64,
}

impl Process {
    /// Returns a process that has not been started.
    #[must_use]
    pub fn new(said: testing::Settings, role: &'static str, options: &Options) -> Self {
        Self {
            said,
            role,
            program: options.from.as_ref().unwrap_or(&options.program).clone(),
            next_program: options.program.clone(),
            folder: options.folder.clone(),
            plant: options.plant.clone(),
            child: None,
            changes: 0,
        }
    }

    /// Returns a number that grows with each start and each kill.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    fn file(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("{}.{extension}", self.said.name))
    }

    /// Lets it be of the other build from its next start on.
    pub fn replace_program(&mut self) {
        self.program.clone_from(&self.next_program);
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if its files can't be written or the program can't be started.
    pub fn start(&mut self, guard: &mut Guard) -> io::Result<()> {
        let settings = self.file("toml");
        fs::write(&settings, self.said.to_toml())?;
        if let Some(data) = &self.said.data_dir {
            fs::create_dir_all(data)?;
        }
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file("log"))?;
        let child = Command::new(&self.program)
            .arg(self.role)
            .env("MASTICLOCK_SETTINGS", settings)
            .env("MASTICLOCK_PLANT", &self.plant)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        guard.say('+', child.id())?;
        self.child = Some(child);
        self.changes += 1;
        Ok(())
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Ok(()),
        }
    }

    /// Returns whether it has ended, and forgets it if so.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system.
    pub fn has_ended(&mut self, guard: &mut Guard) -> io::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        if child.try_wait()?.is_none() {
            return Ok(false);
        }
        let id = child.id();
        self.child = None;
        guard.say('-', id)?;
        Ok(true)
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error of the operating system.
    pub fn kill(&mut self, guard: &mut Guard) -> io::Result<()> {
        self.changes += 1;
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
            guard.say('-', child.id())?;
        }
        Ok(())
    }

    /// Removes its data.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be removed.
    pub fn wipe(&self) -> io::Result<()> {
        match &self.said.data_dir {
            Some(data) if data.exists() => fs::remove_dir_all(data),
            _ => Ok(()),
        }
    }
}
