//! Safety checks of a simulation: one leader per term, equal logs and linearizable reads.

use std::collections::{BTreeMap, BTreeSet};

use masticlock_core::consensus::{Identity, Payload};

/// Description of a violated guarantee of the log.
pub type Violation = String;

/// State machine of the simulation: a digest of all applied payloads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    /// Index of the last applied payload.
    pub index: u64,
    /// Hash of the applied payloads by the FNV-1a step.
    pub digest: u64,
}

/// History of all replicas of a simulation, against which each of them is checked.
#[derive(Debug, Default)]
pub struct History {
    /// Leader of each term.
    leaders: BTreeMap<u64, Identity>,
    /// Payload of each applied index, and the digest after it.
    applied: BTreeMap<u64, (u64, Payload)>,
    /// Highest acknowledged index.
    pub acknowledged: u64,
    /// Payloads whose proposal was refused with a guarantee that they are never committed.
    refused: BTreeSet<Payload>,
}

impl StateMachine {
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
            _ => Err(format!("snapshot {text:?} is incomplete")),
        }
    }
}

impl History {
    /// Records the leader of a term and checks that the term has no other one.
    pub fn record_leader(&mut self, id: Identity, term: u64) -> Result<(), Violation> {
        match *self.leaders.entry(term).or_insert(id) {
            leader if leader == id => Ok(()),
            leader => Err(format!("{id} and {leader} both lead term {term}")),
        }
    }

    /// Applies a payload and checks that all replicas apply the same payloads in the same order.
    pub fn apply(
        &mut self,
        machine: &mut StateMachine,
        index: u64,
        payload: &Payload,
    ) -> Result<(), Violation> {
        if index <= machine.index {
            return Err(format!("applied {index} after {}", machine.index));
        }
        let add_byte =
            |digest: u64, &byte: &u8| (digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        let before = std::mem::replace(&mut machine.index, index);
        machine.digest = payload.as_bytes().iter().fold(machine.digest + 1, add_byte);
        let last = self.applied.last_key_value().map_or(0, |(at, _)| *at);
        match self.applied.get(&index) {
            Some((digest, _)) if *digest == machine.digest => Ok(()),
            Some((_, other)) => Err(format!(
                "entry {index} is {payload:?} here and {other:?} elsewhere"
            )),
            None if before != last => Err(format!(
                "entry {index} follows {before} here and {last} elsewhere"
            )),
            None if self.refused.contains(payload) => {
                Err(format!("{payload:?} is applied although it was refused"))
            }
            None => {
                self.applied
                    .insert(index, (machine.digest, payload.clone()));
                Ok(())
            }
        }
    }

    /// Replaces the state with a snapshot and checks that the snapshot is a state that a replica
    /// had and is not older than `machine`.
    pub fn install(&self, machine: &mut StateMachine, data: &Payload) -> Result<(), Violation> {
        let state = StateMachine::restore(data)?;
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

    /// Records that a proposal was acknowledged and checks that it was applied at `index`.
    pub fn acknowledge(&mut self, index: u64, payload: &Payload) -> Result<(), Violation> {
        self.acknowledged = self.acknowledged.max(index);
        match self.applied.get(&index) {
            Some((_, applied)) if applied == payload => Ok(()),
            other => Err(format!(
                "acknowledged {payload:?} at {index}, which is {other:?}"
            )),
        }
    }

    /// Records that a proposal was refused and checks that it was not applied.
    pub fn refuse(&mut self, payload: Payload) -> Result<(), Violation> {
        if self
            .applied
            .values()
            .any(|(_, applied)| *applied == payload)
        {
            return Err(format!("{payload:?} is refused although it was applied"));
        }
        self.refused.insert(payload);
        Ok(())
    }

    /// Checks that a read observes everything that was acknowledged before.
    pub fn read(&self, machine: &StateMachine) -> Result<(), Violation> {
        if machine.index >= self.acknowledged {
            return Ok(());
        }
        Err(format!(
            "a read observed entry {} after {} was acknowledged",
            machine.index, self.acknowledged
        ))
    }
}
