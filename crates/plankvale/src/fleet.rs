//! `plankvale fleet`: prints the fleet views of one or more sidecars, read from their admin addresses.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;

/// Limit for each step of the request to one sidecar.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer answers are cut.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// The `fleet` metrics of one sidecar.
struct View {
    figures: BTreeMap<String, u64>,
}

impl View {
    fn figure(&self, name: &str) -> u64 {
        self.figures.get(name).copied().unwrap_or(0)
    }

    /// The absent members and their status, as text.
    fn absent(&self) -> String {
        let absent = self.figures.keys().filter_map(|key| key.strip_prefix("absent."));
        let words: Vec<String> = absent.map(|a| a.replace('.', " ")).collect();
        words.join(", ")
    }
}

/// Prints the views of the sidecars that `target` names.
pub fn show(target: &str) -> ExitCode {
    let addresses = match addresses(target) {
        Ok(addresses) => addresses,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let mut views = Vec::new();
    for at in addresses {
        match fetch_view(at) {
            Ok(view) => {
                println!(
                    "{at}  view {:08x}  alive {}  suspect {}  dead {}  left {}  unknown {}  {}",
                    view.figure("hash"),
                    view.figure("alive"),
                    view.figure("suspect"),
                    view.figure("dead"),
                    view.figure("left"),
                    view.figure("unknown"),
                    view.absent()
                );
                views.push(view);
            }
            Err(e) => eprintln!("{at}: {e}"),
        }
    }
    let Some(first) = views.first() else { return ExitCode::from(2) };
    let agree = views.iter().all(|view| view.figure("hash") == first.figure("hash"));
    if views.len() > 1 {
        println!("{} views: {}", views.len(), if agree { "all agree" } else { "they differ" });
    }
    if agree { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// The admin addresses that `target` names: itself, or those in the file.
fn addresses(target: &str) -> Result<Vec<SocketAddr>, String> {
    if let Ok(at) = target.parse() {
        return Ok(vec![at]);
    }
    let text = std::fs::read_to_string(target)
        .map_err(|e| format!("{target}: an address and a port, or a file, expected: {e}"))?;
    if let Ok(config) = serde_json::from_str::<Value>(&text) {
        let admin = config["admin"].as_str().ok_or(format!("{target}: admin: expected"))?;
        let admin = admin.parse();
        return Ok(vec![
            admin.map_err(|_| format!("{target}: admin: an address and a port expected"))?,
        ]);
    }
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let read = lines.map(|(n, line)| {
        let add_context =
            |_| format!("{target}: line {}: an address and a port expected, not {line:?}", n + 1);
        line.trim().parse().map_err(add_context)
    });
    let read: Vec<SocketAddr> = read.collect::<Result<_, _>>()?;
    if read.is_empty() { Err(format!("{target}: one address per line expected")) } else { Ok(read) }
}

fn fetch_view(at: SocketAddr) -> Result<View, String> {
    let io = |e: std::io::Error| e.to_string();
    let mut socket = TcpStream::connect_timeout(&at, IO_TIMEOUT).map_err(io)?;
    socket.set_read_timeout(Some(IO_TIMEOUT)).map_err(io)?;
    socket.set_write_timeout(Some(IO_TIMEOUT)).map_err(io)?;
    let request = "GET /v1/metrics HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n";
    socket.write_all(request.as_bytes()).map_err(io)?;
    let mut text = String::new();
    socket.take(MAX_ANSWER_BYTES).read_to_string(&mut text).map_err(io)?;
    let figures: BTreeMap<String, u64> = (text.lines())
        .filter_map(|line| {
            let (name, value) = line.strip_prefix("sidecar.fleet.")?.split_once(':')?;
            Some((name.to_owned(), value.split('|').next()?.parse().ok()?))
        })
        .collect();
    match figures.is_empty() {
        true => {
            Err("no view of the fleet: a section [fleet] in the sidecar's product file expected"
                .into())
        }
        false => Ok(View { figures }),
    }
}
