//! Errors of operator calls, each with its remedy.

use snafu::Snafu;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of an operator call.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The intent names an object that does not exist.
    #[snafu(display("there is no {what} '{name}'"))]
    Missing {
        /// What kind of thing was named.
        what: &'static str,
        /// Its name.
        name: String,
        /// What to do about it.
        remedy: String,
    },
    /// A value of the intent is invalid.
    #[snafu(display("{field} is '{value}', which cannot be used"))]
    BadValue {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
        /// What to do about it.
        remedy: String,
    },
    /// The intent would not change the object.
    #[snafu(display("{what} '{name}' would change nothing"))]
    NoChange {
        /// What kind of thing was named.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// Another operation of the same type is in progress.
    #[snafu(display("the {what} '{name}' is under way"))]
    Busy {
        /// Type of the operation.
        what: &'static str,
        /// Its name.
        name: String,
        /// What to do about it.
        remedy: String,
    },
    /// The configuration changed after the plan was made.
    #[snafu(display("the configuration changed since this plan was made: {changes}"))]
    Conflict {
        /// Changes that were accepted in between.
        changes: String,
    },
    /// A command on the same items was accepted while the confirmation was under way.
    #[snafu(display("another command was accepted while plan '{plan}' was being confirmed"))]
    Superseded {
        /// Identifier of the plan.
        plan: String,
    },
    /// The plan has expired.
    #[snafu(display("plan '{plan}' has expired"))]
    Expired {
        /// Identifier of the plan.
        plan: String,
    },
    /// The idempotency key was used for another intent.
    #[snafu(display("this Idempotency-Key was used for another intent"))]
    KeyReused,
}

impl Error {
    /// Returns the remedy for the error.
    pub fn remedy(&self) -> String {
        match self {
            Error::Missing { remedy, .. }
            | Error::BadValue { remedy, .. }
            | Error::Busy { remedy, .. } => remedy.clone(),
            Error::NoChange { .. } => "nothing needs to be done".into(),
            Error::Conflict { .. } => {
                "read the configuration, then state the intent again to get a new plan".into()
            }
            Error::Superseded { .. } => "confirm the plan again if it is still wanted".into(),
            Error::Expired { .. } => "state the intent again to get a new plan".into(),
            Error::KeyReused => "send a new Idempotency-Key with each new intent".into(),
        }
    }

    /// Returns the HTTP status for the error.
    pub fn status(&self) -> u16 {
        match self {
            Error::Missing { .. } => 404,
            Error::BadValue { .. } => 400,
            Error::NoChange { .. } | Error::Busy { .. } | Error::Conflict { .. } => 409,
            Error::Superseded { .. } => 503,
            Error::Expired { .. } => 410,
            Error::KeyReused => 422,
        }
    }
}

/// Returns [`Error::Missing`].
pub fn missing<T>(what: &'static str, name: &str, remedy: impl Into<String>) -> Result<T> {
    Err(Error::Missing { what, name: name.into(), remedy: remedy.into() })
}

/// Returns [`Error::BadValue`].
pub fn bad_value<T>(
    field: &'static str,
    value: impl ToString,
    remedy: impl Into<String>,
) -> Result<T> {
    Err(Error::BadValue { field, value: value.to_string(), remedy: remedy.into() })
}

/// Returns [`Error::Busy`].
pub fn busy<T>(what: &'static str, name: &str, remedy: impl Into<String>) -> Result<T> {
    Err(Error::Busy { what, name: name.into(), remedy: remedy.into() })
}
