//! Whether a request may have run, given how much of it was sent.
//!
//! No HTTP server can start to process a request before the end of its head: until then it knows neither the header
//! fields nor whether there is a body (RFC 9112, section 2.1). Most servers call their handler at that point and read
//! the body later, or never. Some deployments promise more: their servers start when the last byte has come.

/// When a server may begin to process a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Begins {
    /// At the end of the head. This holds for any HTTP server.
    #[default]
    Head,
    /// At the last byte of the body. The deployment has to promise this; HTTP does not require it.
    Whole,
}

impl std::str::FromStr for Begins {
    type Err = String;

    fn from_str(text: &str) -> Result<Begins, String> {
        match text {
            "head" => Ok(Begins::Head),
            "whole" => Ok(Begins::Whole),
            other => Err(format!("\"head\" or \"whole\" expected, not {other:?}")),
        }
    }
}

impl std::fmt::Display for Begins {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Begins::Head => "head",
            Begins::Whole => "whole",
        })
    }
}

/// How much of a request the operating system has accepted for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// There is no connection yet.
    NotConnected,
    /// There is a connection, and no byte was written to it.
    Connected,
    /// Some bytes of the head, but not the last one.
    PartOfHead,
    /// The whole head, but not the last byte of the body.
    PartOfBody,
    /// The whole request.
    Complete,
}

impl Progress {
    /// Returns the progress of a request with these lengths of head and body in bytes, of which `written` are written.
    pub fn of(written: usize, head_len: usize, body_len: usize) -> Progress {
        match written {
            0 => Progress::Connected,
            n if n < head_len => Progress::PartOfHead,
            n if n < head_len + body_len => Progress::PartOfBody,
            _ => Progress::Complete,
        }
    }
}

/// Whether a request may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No server can have begun to process it.
    NeverRan,
    /// A server may have begun to process it.
    MayHaveRun,
}

impl Begins {
    /// Whether a request may have run if its attempt ended at `progress`, for any reason. No other code decides this.
    pub fn execution(self, progress: Progress) -> Execution {
        let last_unrun = match self {
            Begins::Head => Progress::PartOfHead,
            Begins::Whole => Progress::PartOfBody,
        };
        if progress <= last_unrun { Execution::NeverRan } else { Execution::MayHaveRun }
    }

    /// The commit point: the number of written bytes from which on a request may have run.
    pub fn commit_point(self, head_len: usize, body_len: usize) -> usize {
        match self {
            Begins::Head => head_len,
            Begins::Whole => head_len + body_len,
        }
    }

    /// Whether bytes that come at this progress may be the answer to the request. Earlier bytes belong to another
    /// request or to none.
    pub fn may_answer(self, progress: Progress) -> bool {
        self.execution(progress) == Execution::MayHaveRun
    }
}
