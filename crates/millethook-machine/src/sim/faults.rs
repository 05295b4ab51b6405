//! Network and clock faults, with integer parameters as random scripts use them.

use super::Fleet;

/// The share of datagrams that arrive twice after a script has set a loss.
const DUPLICATE_SHARE: f64 = 0.1;

impl<M: super::Machine> Fleet<M> {
    /// Partitions the network in two. `side` has a bit for each process, the lowest for process 0: processes with a 1
    /// cannot reach processes with a 0, and vice versa.
    pub fn cut(&mut self, side: u64) {
        self.passes = Box::new(move |a, b| side >> a & 1 == side >> b & 1);
    }

    /// Drops all datagrams from the processes in `from` to those in `to`. Both have a bit for each process.
    pub fn cut_one_way(&mut self, from: u64, to: u64) {
        self.passes = Box::new(move |a, b| from >> a & 1 == 0 || to >> b & 1 == 0);
    }

    /// Ends partitions and loss. Some datagrams may still arrive twice.
    pub fn heal(&mut self) {
        self.passes = Box::new(|_, _| true);
        self.loss = 0.0;
    }

    /// Sets the share of lost datagrams in percent. From then on, a tenth of the datagrams arrives twice.
    pub fn set_loss_percent(&mut self, percent: u8) {
        self.loss = f64::from(percent) / 100.0;
        self.duplicates = DUPLICATE_SHARE;
    }

    /// Sets the drift of a process's clock, in thousandths of `bound`. Negative values make the clock slow.
    pub fn set_drift(&mut self, number: u16, bound: f64, thousandths: i16) {
        let rate = 1.0 + bound * f64::from(thousandths) / 1_000.0;
        self.set_clock(number, rate, 0);
    }
}
