/// Terms of the entries in a log, without their content.
#[derive(Debug, Default)]
pub struct Terms {
    base: u64,
    base_term: u64,
    after: Vec<u64>,
}

impl Terms {
    pub const fn base(&self) -> u64 {
        self.base
    }

    pub const fn base_term(&self) -> u64 {
        self.base_term
    }

    pub fn last_index(&self) -> u64 {
        self.base + self.after.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.after.last().copied().unwrap_or(self.base_term)
    }

    /// Adds an entry and drops the ones with its index or a higher one.
    ///
    /// Returns the number of entries before it, or `None` if there is a gap.
    pub fn append(&mut self, index: u64, term: u64) -> Option<usize> {
        let at = usize::try_from(index.checked_sub(self.base + 1)?).ok()?;
        if at > self.after.len() {
            return None;
        }
        self.after.truncate(at);
        self.after.push(term);
        Some(at)
    }

    /// Moves the base up to a snapshot and keeps the entries after it.
    ///
    /// Returns the number of entries that the snapshot covers, or `None` and changes nothing if the
    /// log doesn't have the snapshot's last entry.
    pub fn cut(&mut self, index: u64, term: u64) -> Option<usize> {
        let Some(at) = index.checked_sub(self.base) else {
            return Some(0);
        };
        let at = usize::try_from(at).ok()?;
        let own = match at {
            0 => self.base_term,
            _ => *self.after.get(at - 1)?,
        };
        if own != term {
            return None;
        }
        self.after.drain(..at);
        self.base = index;
        self.base_term = term;
        Some(at)
    }

    /// Drops all entries and starts after a snapshot.
    pub fn reset(&mut self, index: u64, term: u64) {
        *self = Self {
            base: index,
            base_term: term,
            after: Vec::new(),
        };
    }
}
