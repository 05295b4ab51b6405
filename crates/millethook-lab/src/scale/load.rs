//! Samples the load of the machine by other processes during a measurement.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::process::runnable_threads;

const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// The sum and the number of samples, for their mean.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    sum: f64,
    count: u32,
}

/// Samples the number of runnable threads of all processes except the run's own, until dropped.
pub struct LoadWatch {
    samples: Arc<Mutex<Samples>>,
    task: AbortHandle,
}

impl LoadWatch {
    /// Starts sampling. `own` are the run's processes other than this one.
    pub fn start(own: Vec<i32>) -> LoadWatch {
        let samples: Arc<Mutex<Samples>> = Arc::default();
        let shared = samples.clone();
        let task = tokio::spawn(async move {
            loop {
                sleep(SAMPLING_INTERVAL).await;
                let Some(others) = runnable_others(&own) else { continue };
                let mut samples = shared.lock().unwrap_or_else(PoisonError::into_inner);
                samples.sum += others;
                samples.count += 1;
            }
        });
        LoadWatch { samples, task: task.abort_handle() }
    }

    /// The mean of the samples so far; takes one sample if there is none yet.
    pub fn mean(&self) -> f64 {
        let samples = *self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        match samples.count {
            0 => runnable_others(&[]).unwrap_or(0.0),
            count => samples.sum / f64::from(count),
        }
    }

    /// Returns the mean since the last call, and clears the samples.
    pub fn take(&self) -> f64 {
        let mean = self.mean();
        *self.samples.lock().unwrap_or_else(PoisonError::into_inner) = Samples::default();
        mean
    }
}

impl Drop for LoadWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn runnable_others(own: &[i32]) -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    let runnable: usize = text.split_whitespace().nth(3)?.split('/').next()?.parse().ok()?;
    let here = runnable_threads(std::process::id() as i32);
    let ours: usize = own.iter().map(|pid| runnable_threads(*pid)).sum();
    Some(runnable.saturating_sub(here + ours) as f64)
}
