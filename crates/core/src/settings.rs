//! Settings files: JSON with comments.
//!
//! Errors name the file, line and column. The error for an unknown key lists
//! the accepted keys.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// Error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {problem}")]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1, or 0 if the error has no position.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Description of the error and the accepted values.
    pub problem: String,
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the position of the first error and the accepted values.
pub fn parse<T>(file: &str, text: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let mut json = String::new();
    StripComments::new(text.as_bytes())
        .read_to_string(&mut json)
        .map_err(|e| Error {
            file: file.to_owned(),
            line: text.lines().count(),
            column: 1,
            problem: format!("a comment is not closed: {e}"),
        })?;
    serde_json::from_str(&json).map_err(|e| Error {
        file: file.to_owned(),
        line: e.line(),
        column: e.column(),
        problem: message(&e),
    })
}

/// Returns the parser's message without its position suffix, which [`Error`] already holds.
fn message(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&position).unwrap_or(&text).to_owned()
}
