//! Resource usage of this process and this machine, as reported by the kernel.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::address::Addresses;

fn clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// Returns the processor time used by this thread.
pub fn thread_time() -> Duration {
    clock(ClockId::ThreadCPUTime)
}

/// Returns the processor time used by this process.
pub fn process_time() -> Duration {
    clock(ClockId::ProcessCPUTime)
}

/// Reads a field of /proc/self/status that is given in kB, in bytes.
fn status_bytes(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns the resident bytes of this process.
pub fn resident_bytes() -> u64 {
    status_bytes("VmRSS:")
}

/// Returns how many datagrams the kernel has dropped because a socket's receive buffer was full: at a run's sidecars,
/// and at its control nodes, whose numbers are `size` or more.
pub fn dropped(addresses: Addresses, size: u16) -> (u64, u64) {
    let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let mut sums = (0, 0);
    for line in text.lines().skip(1) {
        let Some((number, drops)) = socket_drops(addresses, line) else { continue };
        let sum = if number < size { &mut sums.0 } else { &mut sums.1 };
        *sum += drops;
    }
    sums
}

/// Parses a line of /proc/net/udp: the member that owns the socket, and the datagrams dropped there.
fn socket_drops(addresses: Addresses, line: &str) -> Option<(u16, u64)> {
    let mut fields = line.split_whitespace();
    let (ip, port) = fields.nth(1)?.split_once(':')?;
    // The kernel prints the address in the machine's byte order.
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    let port = u16::from_str_radix(port, 16).ok()?;
    let number = addresses.number_of(SocketAddr::from((ip, port)))?;
    Some((number, fields.next_back()?.parse().ok()?))
}

/// Returns the one-minute load average.
pub fn load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

/// Describes this machine without its host name: processor, cores, memory.
pub fn machine() -> String {
    let text = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = text.lines().find_map(|l| l.strip_prefix("model name")?.split_once(": "));
    let model = model.map_or("unknown processor", |(_, model)| model.trim());
    let cores = text.lines().filter(|line| line.starts_with("processor")).count();
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kilobytes = memory.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let kilobytes = kilobytes.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    let gib = kilobytes.unwrap_or(0) as f64 / f64::from(1 << 20);
    format!("{model} x {cores}; {gib:.0} GiB").replace(',', " ")
}
