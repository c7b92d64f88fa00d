//! Generators and mutations for property tests on input from outside.
//!
//! The tests start from valid input, because random bytes seldom get past the
//! first check of a parser.

use serde_json::Value;

/// One mutation of a JSON document.
#[derive(Clone, Copy, Debug)]
pub enum Mutation {
    /// Replaces the value by null.
    Null,
    /// Replaces the value by a number that most fields don't accept.
    Negative,
    /// Replaces the value by a very long text.
    Long,
    /// Replaces the value by an empty list.
    Empty,
    /// Removes the value from its object or list.
    Remove,
    /// Writes the value twice into its list, or under a second key.
    Double,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 6] = [
        Self::Null,
        Self::Negative,
        Self::Long,
        Self::Empty,
        Self::Remove,
        Self::Double,
    ];
}

/// Length of the text that [`Mutation::Long`] writes, in bytes.
const LONG_BYTES: usize = 100_000;

/// Counts the places of a document that [`mutate`] can change.
#[must_use]
pub fn places(value: &Value) -> usize {
    match value {
        Value::Array(items) => items.iter().map(|item| 1 + places(item)).sum(),
        Value::Object(fields) => fields.values().map(|field| 1 + places(field)).sum(),
        _ => 0,
    }
}

/// Applies a mutation at place `at`, in document order.
pub fn mutate(value: &mut Value, at: usize, mutation: Mutation) {
    let mut left = at;
    descend(value, &mut left, mutation);
}

/// Returns whether the mutation was applied below `value`.
fn descend(value: &mut Value, left: &mut usize, mutation: Mutation) -> bool {
    match value {
        Value::Array(items) => {
            for at in 0..items.len() {
                if *left == 0 {
                    change_item(items, at, mutation);
                    return true;
                }
                *left -= 1;
                if descend(&mut items[at], left, mutation) {
                    return true;
                }
            }
            false
        }
        Value::Object(fields) => {
            let keys: Vec<_> = fields.keys().cloned().collect();
            for key in keys {
                if *left == 0 {
                    change_field(fields, &key, mutation);
                    return true;
                }
                *left -= 1;
                if fields
                    .get_mut(&key)
                    .is_some_and(|field| descend(field, left, mutation))
                {
                    return true;
                }
            }
            false
        }
        _ => false,
    }
}

fn change_item(items: &mut Vec<Value>, at: usize, mutation: Mutation) {
    match mutation {
        Mutation::Remove => {
            items.remove(at);
        }
        Mutation::Double => items.push(items[at].clone()),
        other => items[at] = replacement(other),
    }
}

fn change_field(fields: &mut serde_json::Map<String, Value>, key: &str, mutation: Mutation) {
    match mutation {
        Mutation::Remove => {
            fields.remove(key);
        }
        Mutation::Double => {
            let copy = fields[key].clone();
            fields.insert(format!("{key}_2"), copy);
        }
        other => {
            fields.insert(key.to_owned(), replacement(other));
        }
    }
}

fn replacement(mutation: Mutation) -> Value {
    match mutation {
        Mutation::Negative => Value::from(-1),
        Mutation::Long => Value::from("x".repeat(LONG_BYTES)),
        Mutation::Empty => Value::Array(Vec::new()),
        Mutation::Null | Mutation::Remove | Mutation::Double => Value::Null,
    }
}
