//! Secrets: the key shared by daemons and control replicas, and the tokens of operators.

use crate::errors::{self, Result};
use std::fmt;
use std::fs;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Minimum length of a secret in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Scheme of the `Authorization` header.
const BEARER: &str = "Bearer ";

/// A secret that is compared in constant time and never printed.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Reads a secret from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or its secret is too short or unfit for a header.
    pub fn read(path: &str) -> Result<Secret> {
        let text = fs::read_to_string(path).map_err(|e| errors::secret(path, e))?;
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            return Err(errors::secret(path, "it is too short"));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(errors::secret(path, "it contains bytes that are not allowed in a header"));
        }
        Ok(Secret(text.into()))
    }

    /// Compares `given` with the secret in constant time.
    pub fn matches(&self, given: &str) -> bool {
        self.0.as_bytes().ct_eq(given.as_bytes()).into()
    }

    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the value of an `Authorization` header that carries the secret.
    pub fn bearer(&self) -> String {
        format!("{BEARER}{}", self.0)
    }
}

/// Returns the bearer token of an `Authorization` header.
pub fn bearer_of(headers: &http::HeaderMap) -> Option<&str> {
    headers.get(http::header::AUTHORIZATION)?.to_str().ok()?.strip_prefix(BEARER)
}

/// Returns whether the headers of a request carry the shared key. Always true without a key.
pub fn admits(key: Option<&Secret>, headers: &http::HeaderMap) -> bool {
    is_given(key, bearer_of(headers))
}

/// Returns whether `given` matches the key. Always true without a key.
pub fn is_given(key: Option<&Secret>, given: Option<&str>) -> bool {
    key.is_none_or(|key| given.is_some_and(|given| key.matches(given)))
}
