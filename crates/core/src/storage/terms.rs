/// Terms of the entries in a log after a base, without the entries' content.
///
/// The base is the last entry that a snapshot covers or that precedes the oldest segment.
#[derive(Debug, Default)]
pub struct Terms {
    base: u64,
    base_term: u64,
    /// Terms of the entries from index `base + 1` on.
    after_base: Vec<u64>,
}

impl Terms {
    pub const fn base(&self) -> u64 {
        self.base
    }

    pub const fn base_term(&self) -> u64 {
        self.base_term
    }

    pub fn last_index(&self) -> u64 {
        self.base + self.after_base.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.after_base.last().copied().unwrap_or(self.base_term)
    }

    /// Appends an entry and drops the ones with its index or a higher one.
    ///
    /// Returns the number of entries between the base and it. Returns `None` and changes nothing if
    /// its index is not after the base or would leave a gap.
    pub fn append(&mut self, index: u64, term: u64) -> Option<usize> {
        let position = usize::try_from(index.checked_sub(self.base + 1)?).ok()?;
        if position > self.after_base.len() {
            return None;
        }
        self.after_base.truncate(position);
        self.after_base.push(term);
        Some(position)
    }

    /// Moves the base up to a snapshot's last entry and keeps the entries after it.
    ///
    /// Returns the number of entries that were dropped, which is 0 if the base is beyond the
    /// snapshot. Returns `None` and changes nothing if the log doesn't have the snapshot's last
    /// entry.
    pub fn compact(&mut self, index: u64, term: u64) -> Option<usize> {
        let Some(position) = index.checked_sub(self.base) else {
            return Some(0);
        };
        let position = usize::try_from(position).ok()?;
        let own_term = match position {
            0 => self.base_term,
            _ => *self.after_base.get(position - 1)?,
        };
        if own_term != term {
            return None;
        }
        self.after_base.drain(..position);
        self.base = index;
        self.base_term = term;
        Some(position)
    }

    /// Drops all entries and sets the base.
    pub fn reset(&mut self, index: u64, term: u64) {
        *self = Self {
            base: index,
            base_term: term,
            after_base: Vec::new(),
        };
    }
}
