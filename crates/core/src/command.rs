//! Operator commands and their recorded outcomes.

use crate::{config, error, name};

plain! {
    /// A command of an operator.
    pub struct Command {
        /// Id made by the client. A resend carries the same id.
        pub id: name::Command,
        /// Who sends it, for the time line.
        pub operator: String,
        /// The revision the operator saw. `None` accepts any.
        pub expects: Option<u64>,
        /// The change that is asked for.
        pub change: config::Change,
    }

    /// The recorded outcome of a command.
    pub enum Outcome {
        /// The change is part of the configuration.
        Accepted {
            /// Revision that the change made.
            revision: u64,
        },
        /// The change is not part of the configuration and never will be under this id.
        Refused {
            /// Why.
            error: error::Error,
            /// The revision and command that won, for a conflict.
            winner: Option<Winner>,
        },
    }

    /// The command that a conflicting command lost against.
    #[derive(Eq)]
    pub struct Winner {
        /// Id of the command.
        pub id: name::Command,
        /// Its operator.
        pub operator: String,
        /// Revision that it made.
        pub revision: u64,
    }
}

impl Outcome {
    /// Returns a refusal that lost against no other command.
    #[must_use]
    pub const fn refused(error: error::Error) -> Self {
        Self::Refused {
            error,
            winner: None,
        }
    }
}
