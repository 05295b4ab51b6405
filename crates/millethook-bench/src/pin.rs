//! Assignment of threads to cores, and the CPU time of processes.

use std::time::Duration;

/// Returns the number of cores. The contestant gets the first one for itself.
pub fn cores() -> usize {
    core_affinity::get_core_ids().map_or(1, |ids| ids.len())
}

/// Pins the current thread to core `n`, or to the last core if there are fewer. Does nothing with a single core.
pub fn pin(n: usize) {
    if let Some(ids) = core_affinity::get_core_ids().filter(|ids| ids.len() > 1)
        && let Some(id) = ids.get(n.min(ids.len() - 1))
    {
        core_affinity::set_for_current(*id);
    }
}

/// Returns the CPU time used by a process, in the kernel's resolution of 1/100 s.
pub fn cpu(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * 10))
}
