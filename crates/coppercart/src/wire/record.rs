//! The records of a batch.

use crate::api::{
    ListKind, LoadReport, Micros, NewRequest, Outcome, RequestId, ServerEntry, ServerId,
};

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The following records belong to this instance.
    On(u16),
    /// The instance starts.
    Up {
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings, as JSON.
        info: &'a [u8],
    },
    /// The instance stops.
    Exit,
    /// The entries of a server list.
    Rows {
        /// The number of the list; [`Record::Directory`] refers to it.
        list: u32,
        /// The servers.
        entries: Vec<ServerEntry>,
    },
    /// A server list takes effect.
    Directory {
        /// How the list is applied.
        kind: ListKind,
        /// The number of the list.
        list: u32,
    },
    /// A client sent a request.
    Ingress(NewRequest),
    /// A streaming answer has begun.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// An attempt has ended; see [`Event::Answer`](crate::api::Event::Answer).
    Outcome {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
        /// The server that the attempt was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time from the send to the end of the attempt.
        latency: Micros,
        /// Whether the request has its final answer.
        finished: bool,
        /// The load report that came with the answer.
        report: LoadReport,
    },
    /// The client disconnected.
    Vanished(RequestId),
    /// The timer with this token expired.
    Ring(u32),
    /// A probe has ended.
    Probed {
        /// The probed server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The duration of the probe.
        latency: Micros,
        /// The load report that came with the answer.
        report: LoadReport,
    },
    /// Another sidecar sent a message.
    Note {
        /// The number of the sending sidecar.
        from: u32,
        /// The content of the message.
        data: &'a [u8],
    },
    /// A record with a code that this build does not know. It is skipped, since all records have
    /// the same size.
    Unknown(u8),
}
