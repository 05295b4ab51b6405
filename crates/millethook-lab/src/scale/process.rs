//! Memory, processor time and threads of processes, read from `/proc`.

use std::fs::read_to_string;
use std::path::Path;
use std::time::Duration;

const KIB: u64 = 1024;

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Memory {
    /// Resident memory, including pages shared with other processes.
    pub resident: u64,
    /// Resident memory; a shared page counts divided by the number of processes that share it.
    pub proportional: u64,
    /// The peak of resident memory.
    pub peak: u64,
}

/// Reads the memory of a process; `None` if it has ended.
pub fn memory(pid: i32) -> Option<Memory> {
    let rollup = read_to_string(format!("/proc/{pid}/smaps_rollup")).ok()?;
    let status = read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Memory {
        resident: kib(&rollup, "Rss:")? * KIB,
        proportional: kib(&rollup, "Pss:")? * KIB,
        peak: kib(&status, "VmHWM:")? * KIB,
    })
}

fn kib(text: &str, key: &str) -> Option<u64> {
    let rest = text.lines().find_map(|line| line.strip_prefix(key))?;
    rest.split_whitespace().next()?.parse().ok()
}

/// The kernel scheduler's times of a process, summed over its live threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduled {
    /// Time on a core.
    pub ran: Duration,
    /// Time in which it was runnable but had no core.
    pub waited: Duration,
}

/// Reads the scheduler's times of a process; `None` if it has ended.
pub fn scheduled(pid: i32) -> Option<Scheduled> {
    let mut all = Scheduled::default();
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        // A thread may end after it was listed.
        let text = read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let mut fields = text.split_whitespace().map_while(|field| field.parse::<u64>().ok());
        all.ran += Duration::from_nanos(fields.next().unwrap_or(0));
        all.waited += Duration::from_nanos(fields.next().unwrap_or(0));
    }
    Some(all)
}

/// Processor time of all live threads of a process; `None` if it has ended.
pub fn processor_time(pid: i32) -> Option<Duration> {
    Some(scheduled(pid)?.ran)
}

/// The number of running or runnable threads of a process.
pub fn runnable_threads(pid: i32) -> usize {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return 0 };
    tasks.flatten().filter(|task| is_runnable(&task.path())).count()
}

fn is_runnable(task: &Path) -> bool {
    let stat = read_to_string(task.join("stat")).unwrap_or_default();
    // The process name may contain blanks. It ends with the last parenthesis; the state follows.
    stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('R'))
}

/// Describes this machine: its processor model and the number of usable cores.
pub fn machine_error() -> String {
    let text = read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = text.lines().find_map(|line| line.strip_prefix("model name"));
    let model = model.map_or("unknown processor", |m| m.trim_start_matches([' ', '\t', ':']));
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    format!("{model} x{cores}")
}
