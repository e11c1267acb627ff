//! The replies to operators' calls, and writing them in HTTP.

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminReply {
    /// The call was carried out.
    Done,
    /// The answer is this JSON.
    Json(String),
    /// The call can't be read, or is too long.
    BadCall(&'static str),
    /// There is no such path, or no such cache node.
    NotFound(&'static str),
    /// The path takes this method alone.
    MethodNotAllowed(&'static str),
    /// The call can't be carried out now.
    Unavailable(&'static str),
}

impl AdminReply {
    /// The reply as an HTTP response.
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
        // The reasons are texts of this program, without anything that JSON would have to escape.
        format!("{{\"ok\":false,\"why\":\"{reason}\"}}\n")
    }
}
