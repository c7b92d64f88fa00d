//! What must hold after every step of a schedule.

use std::collections::{BTreeMap, BTreeSet};

use masticlock_core::consensus::{Identity, Payload};

/// A broken promise of the log.
pub type Violation = String;

/// The state machine of the schedules: a digest of everything applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Index of the last payload.
    pub index: u64,
    pub digest: u64,
}

/// History of all replicas of a schedule.
#[derive(Debug, Default)]
pub struct History {
    leaders: BTreeMap<u64, Identity>,
    /// Digest and payload after each applied index.
    applied: BTreeMap<u64, (u64, Payload)>,
    /// Highest acknowledged index.
    pub acknowledged: u64,
    /// Payloads whose refusal said that they can't be committed.
    never: BTreeSet<Payload>,
}

impl Machine {
    pub fn snapshot(self) -> Payload {
        Payload::from(format!("{} {} é", self.index, self.digest).into_bytes())
    }

    pub fn restore(data: &Payload) -> Result<Self, Violation> {
        let text = String::from_utf8_lossy(data.as_bytes()).into_owned();
        if text.is_empty() {
            return Ok(Self::default());
        }
        let mut parts = text.split(' ').map(str::parse);
        match (parts.next(), parts.next()) {
            (Some(Ok(index)), Some(Ok(digest))) => Ok(Self { index, digest }),
            _ => Err(format!("snapshot {text:?} is not whole")),
        }
    }
}

impl History {
    /// Checks that a term has one leader.
    pub fn leads(&mut self, id: Identity, term: u64) -> Result<(), Violation> {
        match *self.leaders.entry(term).or_insert(id) {
            leader if leader == id => Ok(()),
            leader => Err(format!("{id} and {leader} both lead term {term}")),
        }
    }

    /// Checks that all replicas apply the same payloads in the same order.
    pub fn apply(
        &mut self,
        machine: &mut Machine,
        index: u64,
        payload: &Payload,
    ) -> Result<(), Violation> {
        if index <= machine.index {
            return Err(format!("applied {index} after {}", machine.index));
        }
        let mix =
            |digest: u64, &byte: &u8| (digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        let before = std::mem::replace(&mut machine.index, index);
        machine.digest = payload.as_bytes().iter().fold(machine.digest + 1, mix);
        let last = self.applied.last_key_value().map_or(0, |(at, _)| *at);
        match self.applied.get(&index) {
            Some((digest, _)) if *digest == machine.digest => Ok(()),
            Some((_, other)) => Err(format!("entry {index} is {payload:?} here and {other:?}")),
            None if before != last => Err(format!(
                "entry {index} follows {before} here and {last} elsewhere"
            )),
            None if self.never.contains(payload) => {
                Err(format!("{payload:?} was refused for good and is applied"))
            }
            None => {
                self.applied
                    .insert(index, (machine.digest, payload.clone()));
                Ok(())
            }
        }
    }

    /// Checks that a snapshot is the state after what was applied, and not older than `machine`.
    pub fn install(&self, machine: &mut Machine, data: &Payload) -> Result<(), Violation> {
        let state = Machine::restore(data)?;
        let known = self
            .applied
            .get(&state.index)
            .map_or(0, |(digest, _)| *digest);
        if state.digest != known || state.index < machine.index {
            return Err(format!("installed {state:?} over {machine:?}"));
        }
        *machine = state;
        Ok(())
    }

    pub fn acknowledge(&mut self, index: u64, payload: &Payload) -> Result<(), Violation> {
        self.acknowledged = self.acknowledged.max(index);
        match self.applied.get(&index) {
            Some((_, applied)) if applied == payload => Ok(()),
            other => Err(format!(
                "acknowledged {payload:?} at {index}, which is {other:?}"
            )),
        }
    }

    pub fn refuse(&mut self, payload: Payload) -> Result<(), Violation> {
        if self
            .applied
            .values()
            .any(|(_, applied)| *applied == payload)
        {
            return Err(format!("{payload:?} is applied and refused for good"));
        }
        self.never.insert(payload);
        Ok(())
    }

    /// Checks that a read sees everything that was acknowledged before.
    pub fn read(&self, machine: &Machine) -> Result<(), Violation> {
        if machine.index >= self.acknowledged {
            return Ok(());
        }
        Err(format!(
            "a read saw entry {} after {} was acknowledged",
            machine.index, self.acknowledged
        ))
    }
}
