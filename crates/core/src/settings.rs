//! Settings files: JSON with comments.
//!
//! A parser error names file, line and column; unknown keys are refused with
//! the accepted ones.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {problem}")]
pub struct Error {
    /// The file.
    pub file: String,
    /// Line from 1, or 0 when the fault belongs to no line.
    pub line: usize,
    /// Column from 1.
    pub column: usize,
    /// What is wrong and what is accepted.
    pub problem: String,
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the place and the accepted values of the first fault.
pub fn parse<T>(file: &str, text: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let mut plain = String::new();
    StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .map_err(|e| Error {
            file: file.to_owned(),
            line: text.lines().count(),
            column: 1,
            problem: format!("a comment is not closed: {e}"),
        })?;
    serde_json::from_str(&plain).map_err(|e| Error {
        file: file.to_owned(),
        line: e.line(),
        column: e.column(),
        problem: message(&e),
    })
}

/// Returns the parser's message without the position it ends with.
fn message(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&position).unwrap_or(&text).to_owned()
}
