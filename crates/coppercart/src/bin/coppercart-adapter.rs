//! Runs many instances of the decision module for the simulator: it reads batches from standard
//! input and writes one reply each to standard output. Instances share only this process.
#![forbid(unsafe_code)]

use std::cell::RefCell;
use std::io::{self, BufReader, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use coppercart::api::{Action, Event, ListKind, ServerEntry};
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use coppercart::wire::{self, Batch, Record, Reply, WireError};

const MAX_LISTS: usize = 16;

thread_local! {
    static PANIC: RefCell<String> = const { RefCell::new(String::new()) };
}

#[derive(Default)]
struct Host {
    instances: Vec<Option<Box<Balancer>>>,
    lists: [Option<Vec<ServerEntry>>; MAX_LISTS],
    unknown_codes: Vec<u8>,
    /// The actions of the current batch, with an entry per instance in the order of their first
    /// events.
    pending: Vec<(u16, Vec<Action>)>,
    /// The position of an instance's entry in `pending`, and the batch for which it is valid.
    positions: Vec<(u64, usize)>,
    batch: u64,
    unused_lists: Vec<Vec<Action>>,
}

/// A reason to stop: a malformed frame or a failure of the decision code.
enum Stop {
    Wire(WireError),
    Fault { instance: u16, text: String },
}

impl From<WireError> for Stop {
    fn from(e: WireError) -> Stop {
        Stop::Wire(e)
    }
}

impl Host {
    fn entry_of(&mut self, instance: u16) -> usize {
        let index = usize::from(instance);
        if self.positions.len() <= index {
            self.positions.resize(index + 1, (0, 0));
            self.instances.resize_with(index + 1, || None);
        }
        if self.positions[index].0 != self.batch {
            self.positions[index] = (self.batch, self.pending.len());
            let list = self.unused_lists.pop().unwrap_or_default();
            self.pending.push((instance, list));
        }
        self.positions[index].1
    }

    fn batch(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), Stop> {
        self.batch += 1;
        let batch = Batch::new(frame)?;
        let mut current = None;
        for record in batch.records() {
            let event = match record? {
                Record::On(instance) => {
                    current = Some((instance, self.entry_of(instance)));
                    continue;
                }
                Record::Rows { list, entries } => {
                    let slot = self.lists.get_mut(list as usize).ok_or_else(|| WireError {
                        message: format!("list number {list} is above 15"),
                        offset: 0,
                    })?;
                    *slot = Some(entries);
                    continue;
                }
                Record::Unknown(code) => {
                    if !self.unknown_codes.contains(&code) {
                        self.unknown_codes.push(code);
                        eprintln!("coppercart-adapter: skipping records of unknown code {code}");
                    }
                    continue;
                }
                other => other,
            };
            let Some((instance, position)) = current else {
                return Err(Stop::Wire(WireError {
                    message: "event record before any instance is selected".into(),
                    offset: 0,
                }));
            };
            self.event(batch.now, instance, position, event)?;
        }
        for (instance, mut actions) in self.pending.drain(..) {
            if !actions.is_empty() {
                reply.select_instance(instance);
                actions.iter().for_each(|action| reply.action(action));
                actions.clear();
            }
            self.unused_lists.push(actions);
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: u64,
        instance: u16,
        position: usize,
        record: Record<'_>,
    ) -> Result<(), Stop> {
        let slot = &mut self.instances[usize::from(instance)];
        let out = &mut self.pending[position].1;
        let fault = |text| Stop::Fault { instance, text };
        let event = match record {
            Record::Up { seed, info } => {
                let settings = Settings::from_json(info).map_err(fault)?;
                out.clear();
                let balancer = catch_panic(|| Balancer::new(settings, seed, now)).map_err(fault)?;
                *slot = Some(Box::new(balancer));
                return Ok(());
            }
            Record::Exit => {
                // The pending actions of a stopped instance are dropped.
                out.clear();
                *slot = None;
                return Ok(());
            }
            Record::Directory { kind, list } => {
                let entries: &[ServerEntry] = if kind == ListKind::Failed {
                    &[]
                } else {
                    let known = self.lists.get(list as usize).and_then(Option::as_ref);
                    known.ok_or_else(|| WireError {
                        message: format!("list number {list} was never defined"),
                        offset: 0,
                    })?
                };
                Event::Servers { kind, entries }
            }
            Record::Ingress(request) => Event::Request(request),
            Record::FirstByte { id, attempt } => Event::FirstByte { id, attempt },
            Record::Outcome { id, attempt, server, outcome, latency, finished, report } => {
                Event::Answer { id, attempt, server, outcome, latency, finished, report }
            }
            Record::Vanished(id) => Event::ClientGone { id },
            Record::Ring(token) => Event::Timer { token },
            Record::Probed { server, outcome, latency, report } => {
                Event::Probed { server, outcome, latency, report }
            }
            Record::Note { from, data } => Event::Note { from, data },
            Record::On(_) | Record::Rows { .. } | Record::Unknown(_) => return Ok(()),
        };
        // Events for an instance that is not running are ignored.
        match slot {
            Some(balancer) => catch_panic(|| balancer.handle(now, event, out)).map_err(fault),
            None => Ok(()),
        }
    }
}

/// Runs the decision code and returns a panic as its text.
fn catch_panic<T>(f: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(f)).map_err(|_| {
        let text = PANIC.with(|p| p.take());
        format!("panic in the decision code: {text}")
    })
}

fn main() -> ExitCode {
    panic::set_hook(Box::new(|info| {
        PANIC.with(|p| *p.borrow_mut() = info.to_string());
    }));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coppercart-adapter: {e}");
            ExitCode::from(1)
        }
    }
}

fn run() -> io::Result<()> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut reply = Reply::default();
    let (mut frame, mut bytes) = (Vec::new(), Vec::new());
    while wire::read_frame(&mut input, &mut frame)? {
        let fault = match host.batch(&frame, &mut reply) {
            Ok(()) => None,
            Err(Stop::Wire(e)) => return Err(io::Error::new(io::ErrorKind::InvalidData, e)),
            Err(Stop::Fault { instance, text }) => {
                reply = Reply::default();
                reply.select_instance(instance);
                reply.fault(&text);
                Some(text)
            }
        };
        bytes.clear();
        reply.finish(&mut bytes);
        output.write_all(&bytes)?;
        output.flush()?;
        if let Some(text) = fault {
            return Err(io::Error::other(text));
        }
    }
    Ok(())
}
