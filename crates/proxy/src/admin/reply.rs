//! Replies to operators' calls, and their form as HTTP responses.

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminReply {
    /// The call was executed.
    Done,
    /// The call was executed; this is its result as JSON.
    Json(String),
    /// The call is malformed or too long.
    BadCall(&'static str),
    /// The path or the cache node does not exist.
    NotFound(&'static str),
    /// The path accepts only this method.
    MethodNotAllowed(&'static str),
    /// The call can't be executed now.
    Unavailable(&'static str),
}

impl AdminReply {
    /// Encodes the reply as an HTTP response.
    pub(super) fn to_http(&self) -> String {
        let body = self.body();
        let (status, length) = (self.status(), body.len());
        let allow = match self {
            AdminReply::MethodNotAllowed(method) => format!("Allow: {method}\r\n"),
            _ => String::new(),
        };
        format!(
            "HTTP/1.1 {status}\r\n{allow}Content-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        )
    }

    fn status(&self) -> &'static str {
        match self {
            AdminReply::Done | AdminReply::Json(_) => "200 OK",
            AdminReply::BadCall(_) => "400 Bad Request",
            AdminReply::NotFound(_) => "404 Not Found",
            AdminReply::MethodNotAllowed(_) => "405 Method Not Allowed",
            AdminReply::Unavailable(_) => "503 Service Unavailable",
        }
    }

    fn body(&self) -> String {
        let reason = match self {
            AdminReply::Done => return "{\"ok\":true}\n".to_owned(),
            AdminReply::Json(json) => return format!("{json}\n"),
            AdminReply::MethodNotAllowed(_) => "the path takes another method",
            AdminReply::BadCall(reason) | AdminReply::NotFound(reason) | AdminReply::Unavailable(reason) => {
                reason
            }
        };
        // The reasons are fixed texts without characters that JSON would have to escape.
        format!("{{\"ok\":false,\"why\":\"{reason}\"}}\n")
    }
}
