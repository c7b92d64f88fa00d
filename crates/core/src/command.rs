//! Operator commands and their recorded outcomes.

use crate::{config, error, name};

plain! {
    /// A command submitted by an operator.
    pub struct Command {
        /// Id chosen by the client. A resend carries the same id.
        pub id: name::Command,
        /// Name of the operator who sends the command, for the timeline.
        pub operator: String,
        /// The configuration revision that the change is based on. `None` accepts any.
        pub expects: Option<u64>,
        /// The requested change of the configuration.
        pub change: config::Change,
    }

    /// The recorded outcome of a command.
    pub enum Outcome {
        /// The change was applied to the configuration.
        Accepted {
            /// The revision that the change created.
            revision: u64,
        },
        /// The change was not applied. A resend under this id is never applied either.
        Refused {
            /// Reason for the refusal.
            error: error::Error,
            /// On a conflict, the command that created the revision after the expected one.
            winner: Option<Winner>,
        },
    }

    /// The accepted command that a refused command conflicts with.
    #[derive(Eq)]
    pub struct Winner {
        /// Id of the command.
        pub id: name::Command,
        /// Name of the operator who sent it.
        pub operator: String,
        /// The revision that it created.
        pub revision: u64,
    }
}

impl Outcome {
    /// Returns a refusal for a reason other than a conflict with another command.
    #[must_use]
    pub const fn refused(error: error::Error) -> Self {
        Self::Refused {
            error,
            winner: None,
        }
    }
}
