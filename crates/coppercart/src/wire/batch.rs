//! Reads a batch: its time, its records and their tail.

use smallvec::SmallVec;

use super::codes::{CLIENT_REPEAT, COST_HINT, ENTRY, EVENT, HEADER, REPORT_VALUES, event};
use super::error::{WireError, wire_error};
use super::fields::Fields;
use super::record::Record;
use crate::api::{Health, ListKind, LoadReport, Micros, NewRequest, Outcome, ServerEntry};

/// A batch of records. Decoding a record can still fail.
#[derive(Clone, Copy, Debug)]
pub struct Batch<'a> {
    /// The time of all records.
    pub now: Micros,
    frame: &'a [u8],
    count: usize,
}

impl<'a> Batch<'a> {
    /// Parses a whole frame, including its header.
    pub fn new(frame: &'a [u8]) -> Result<Batch<'a>, WireError> {
        if frame.len() < HEADER {
            return wire_error(frame.len(), "frame ends within its header");
        }
        let header = Fields(frame);
        if header.u32(0) as usize != frame.len() {
            return wire_error(0, format!("length {} for {} bytes", header.u32(0), frame.len()));
        }
        let count = header.u32(12) as usize;
        if count > (frame.len() - HEADER) / EVENT {
            return wire_error(12, format!("{count} records do not fit the frame"));
        }
        Ok(Batch { now: header.u64(4), frame, count })
    }

    /// Returns the records in order. A record that cannot be decoded is an error in its place.
    pub fn records(self) -> impl Iterator<Item = Result<Record<'a>, WireError>> {
        (0..self.count).map(move |i| self.record(HEADER + i * EVENT))
    }

    /// Returns the tail bytes of a record: `len` units of `unit` bytes from an offset on.
    fn tail(&self, at: usize, field: usize, unit: usize) -> Result<&'a [u8], WireError> {
        let rec = Fields(&self.frame[at..at + EVENT]);
        let tail = &self.frame[HEADER + self.count * EVENT..];
        let from = rec.u32(field) as usize;
        let len = (rec.u32(field + 4) as usize).checked_mul(unit);
        match len.and_then(|len| from.checked_add(len)) {
            Some(end) if end <= tail.len() => Ok(&tail[from..end]),
            _ => wire_error(at + field, format!("bytes from {from} on lie outside the tail")),
        }
    }

    fn record(&self, at: usize) -> Result<Record<'a>, WireError> {
        let rec = Fields(&self.frame[at..at + EVENT]);
        Ok(match rec.u8(0) {
            event::ON => Record::On(rec.u16(1)),
            event::UP => Record::Up { seed: rec.u64(1), info: self.tail(at, 9, 1)? },
            event::EXIT => Record::Exit,
            event::SNAPSHOT_ROWS => {
                let list = rec.u32(1);
                let rows = self.tail(at, 5, ENTRY)?;
                let entries = rows
                    .chunks_exact(ENTRY)
                    .map(|row| entry(&Fields(row)))
                    .collect::<Result<_, _>>()
                    .map_err(|message| WireError { message, offset: at + 5 })?;
                Record::Rows { list, entries }
            }
            event::DIRECTORY_UPDATE => Record::Directory {
                kind: match rec.u8(5) {
                    0 => ListKind::Whole,
                    1 => ListKind::Remembered,
                    2 => ListKind::Changes,
                    3 => ListKind::Failed,
                    other => return wire_error(at + 5, format!("unknown kind of list {other}")),
                },
                list: rec.u32(6),
            },
            event::INGRESS => {
                let flags = rec.u16(30);
                Record::Ingress(NewRequest {
                    id: rec.request(1),
                    tenant: rec.u32(9) as usize,
                    key: rec.u64(13),
                    time_left: rec.u32(21).into(),
                    work_hint: (flags & COST_HINT != 0).then(|| rec.u32(25).into()),
                    class: rec.u8(29).into(),
                    client_retry: flags & CLIENT_REPEAT != 0,
                })
            }
            event::FIRST_BYTE => {
                Record::FirstByte { id: rec.request(1), attempt: rec.u16(9).into() }
            }
            event::OUTCOME => Record::Outcome {
                id: rec.request(1),
                attempt: rec.u16(9).into(),
                server: rec.server(11),
                outcome: outcome(rec.u8(17))
                    .map_or_else(|message| wire_error(at + 17, message), Ok)?,
                latency: rec.u32(18).into(),
                finished: rec.u8(22) != 0,
                report: report(&rec, 23).map_or_else(|message| wire_error(at + 23, message), Ok)?,
            },
            event::VANISHED => Record::Vanished(rec.request(1)),
            event::RING => Record::Ring(rec.u32(1)),
            event::PROBE_DONE => Record::Probed {
                latency: rec.u32(1).into(),
                server: rec.server(5),
                outcome: outcome(rec.u8(11))
                    .map_or_else(|message| wire_error(at + 11, message), Ok)?,
                report: report(&rec, 12).map_or_else(|message| wire_error(at + 12, message), Ok)?,
            },
            event::NOTE_FROM => Record::Note { from: rec.u32(1), data: self.tail(at, 5, 1)? },
            other => Record::Unknown(other),
        })
    }
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        1 => Outcome::Served,
        2 => Outcome::Error,
        3 => Outcome::Full,
        4 => Outcome::TimedOut,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NeverSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report(rec: &Fields<'_>, at: usize) -> Result<LoadReport, String> {
    let n = usize::from(rec.u8(at));
    if n > REPORT_VALUES {
        return Err(format!("load report of {n} values"));
    }
    let values: SmallVec<[f32; 4]> = (0..n).map(|i| rec.f32(at + 1 + 4 * i)).collect();
    Ok(LoadReport(values))
}

fn entry(row: &Fields<'_>) -> Result<ServerEntry, String> {
    Ok(ServerEntry {
        id: row.server(0),
        zone: row.u8(6),
        kind: row.u16(7),
        cell: row.u16(9),
        health: match row.u8(11) {
            0 => Health::Gone,
            1 => Health::Ready,
            2 => Health::Draining,
            other => return Err(format!("unknown availability {other} in a list")),
        },
        power: row.f32(12),
        started: row.u64(16),
    })
}
