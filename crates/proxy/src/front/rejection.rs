//! Why a request is rejected before it reaches the engine.

use crate::upload::UploadError;
use hyper::StatusCode;
use thiserror::Error;

/// The rejection of a request before it reaches the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{status}: {reason}")]
pub struct Rejection {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response.
    pub reason: &'static str,
}

impl Rejection {
    /// Creates a rejection with this status.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Rejection { status, reason }
    }

    /// Creates the rejection of a request that is malformed.
    pub const fn bad_request(reason: &'static str) -> Self {
        Rejection::new(StatusCode::BAD_REQUEST, reason)
    }
}

impl From<UploadError> for Rejection {
    fn from(error: UploadError) -> Self {
        let (status, reason) = match error {
            UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            UploadError::Stalled => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
            UploadError::Broken => (StatusCode::BAD_REQUEST, "the body is broken"),
            UploadError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no room for the body"),
        };
        Rejection { status, reason }
    }
}
