//! What is known of a request from how much of it was sent.
//!
//! No HTTP server can begin with a request whose head has not ended: until then it knows neither the
//! header fields nor whether there is a body (RFC 9112, section 2.1). Most servers call their handler
//! at that point and read the body later, or never. Some deployments promise more: their servers
//! begin when the last byte has come.

/// When a server may begin with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Begins {
    /// At the end of the head: any HTTP server.
    #[default]
    Head,
    /// At the last byte of the body. A promise of the deployment; HTTP does not make it.
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

/// How much of a request the operating system has taken for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// There is no connection yet.
    NotConnected,
    /// There is one, and no byte has gone out on it.
    Connected,
    /// Some bytes of the head, not its last one.
    PartOfHead,
    /// The whole head, not the last byte of the body.
    PartOfBody,
    /// All of it.
    Complete,
}

impl Progress {
    /// That of a request with a head of `head` and a body of `body` bytes, `written` of which are out.
    pub fn of(written: usize, head: usize, body: usize) -> Progress {
        match written {
            0 => Progress::Connected,
            n if n < head => Progress::PartOfHead,
            n if n < head + body => Progress::PartOfBody,
            _ => Progress::Complete,
        }
    }
}

/// Whether a request may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No server can have begun with it.
    NeverRan,
    /// A server may have begun with it.
    MayHaveRun,
}

impl Begins {
    /// The one place that says what a broken attempt has proven. Whoever stops at `progress`, for
    /// whatever reason, knows this and no more.
    pub fn execution(self, progress: Progress) -> Execution {
        let last_safe = match self {
            Begins::Head => Progress::PartOfHead,
            Begins::Whole => Progress::PartOfBody,
        };
        if progress <= last_safe { Execution::NeverRan } else { Execution::MayHaveRun }
    }

    /// The commit point: once so many bytes of a request are out, it may have run.
    pub fn commit_point(self, head: usize, body: usize) -> usize {
        match self {
            Begins::Head => head,
            Begins::Whole => head + body,
        }
    }

    /// Whether bytes that come when a request has got so far may be its answer. What comes earlier
    /// was made for another request, or for none.
    pub fn may_answer(self, progress: Progress) -> bool {
        self.execution(progress) == Execution::MayHaveRun
    }
}
