//! The main loop of a host process: reads commands from standard input, writes reports to standard output.

use std::io::{BufRead, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token, Waker};

use super::Host;
use crate::error::HollowError;
use crate::protocol::{Command, Report, Setup};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that one poll waits.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// Pause before each poll of the sockets. Without it thousands of members wake this host too often, and each poll has
/// a cost. It adds up to 1 ms to each delay.
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// Maximum time to wait for the conductor to exit after the last report.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of events returned by one poll.
const MAX_EVENTS: usize = 4096;
/// Token for commands. Other tokens are slot indices.
const COMMAND_TOKEN: Token = Token(usize::MAX);

fn send_report(report: &Report) -> Result<(), HollowError> {
    let mut out = std::io::stdout().lock();
    let line = serde_json::to_string(report).map_err(|e| HollowError::Host {
        host: 0,
        found: format!("the report could not be serialized: {e}"),
    })?;
    writeln!(out, "{line}")
        .and_then(|()| out.flush())
        .map_err(HollowError::system("write a report"))
}

fn read_line<T: serde::de::DeserializeOwned>() -> Result<Option<T>, HollowError> {
    let mut line = String::new();
    let read = std::io::stdin().lock().read_line(&mut line);
    if read.map_err(HollowError::system("read a command"))? == 0 {
        return Ok(None);
    }
    let command = serde_json::from_str(&line)
        .map_err(|e| HollowError::Host { host: 0, found: format!("invalid command: {e}") })?;
    Ok(Some(command))
}

/// Reads commands on a separate thread. The channel closes when the other end of the pipe closes.
fn read_commands(waker: Arc<Waker>) -> Receiver<Command> {
    let (commands, receiver) = channel();
    std::thread::spawn(move || {
        while let Ok(Some(command)) = read_line::<Command>() {
            if commands.send(command).is_err() {
                return;
            }
            let _ = waker.wake();
        }
        drop(commands);
        let _ = waker.wake();
    });
    receiver
}

/// Runs a host until its conductor ends it or exits, or the time limit is reached.
///
/// # Errors
/// Fails if a socket or pipe operation fails, or a command is invalid.
pub fn run() -> Result<(), HollowError> {
    let Some(setup) = read_line::<Setup>()? else { return Ok(()) };
    let limit = Duration::from_secs_f64(setup.limit_s.clamp(0.0, 86_400.0));
    let mut poll = Poll::new().map_err(HollowError::system("poll sockets"))?;
    let waker = Waker::new(poll.registry(), COMMAND_TOKEN)
        .map_err(HollowError::system("create a waker"))?;
    let mut host = match Host::new(setup, &poll) {
        Ok(host) => host,
        Err(e) => {
            send_report(&Report::Failed { why: e.to_string() })?;
            return Err(e);
        }
    };
    let commands = read_commands(Arc::new(waker));
    send_report(&Report::Ready)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    let (begun, mut sampled) = (Instant::now(), Instant::now());
    while begun.elapsed() < limit {
        loop {
            match commands.try_recv() {
                Ok(Command { step, action: Some(action) }) => {
                    let phase = host.step(step, &action);
                    send_report(&Report::Phase(Box::new(phase)))?;
                }
                Ok(Command { action: None, .. }) => {
                    send_report(&Report::Phase(Box::new(host.end_phase(host.now()))))?;
                    // If this host exited before the others' last reports, the conductor would take it for a failure.
                    let _ = commands.recv_timeout(SHUTDOWN_TIMEOUT);
                    return Ok(());
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return Ok(()),
            }
        }
        let next = host.run_due();
        if sampled.elapsed() >= SAMPLE_INTERVAL {
            sampled = Instant::now();
            send_report(&Report::Sample(host.sample()))?;
        }
        let wait = next.map_or(MAX_POLL_WAIT, |next| host.until(next).min(MAX_POLL_WAIT));
        if !wait.is_zero() {
            std::thread::sleep(POLL_PAUSE);
        }
        match poll.poll(&mut events, Some(wait)) {
            Ok(()) => {}
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
            Err(source) => return Err(HollowError::System { what: "poll sockets", source }),
        }
        for event in events.iter().filter(|event| event.token() != COMMAND_TOKEN) {
            host.receive(event.token().0);
        }
    }
    Ok(())
}
