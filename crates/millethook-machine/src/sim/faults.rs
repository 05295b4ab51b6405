//! Faults of the network and of clocks, in the numbers that random scripts are made of.

use super::Fleet;

/// The share of datagrams that arrive twice once a script has set a loss.
const DUPLICATES: f64 = 0.1;

impl<M: super::Machine> Fleet<M> {
    /// Cuts the fleet in two. `side` has a bit for each process, the lowest for process 0: those with a 1 do not reach
    /// those with a 0.
    pub fn cut(&mut self, side: u64) {
        self.passes = Box::new(move |a, b| side >> a & 1 == side >> b & 1);
    }

    /// Loses all that the processes of `from` send to those of `to`, with a bit for each process.
    pub fn cut_one_way(&mut self, from: u64, to: u64) {
        self.passes = Box::new(move |a, b| from >> a & 1 == 0 || to >> b & 1 == 0);
    }

    /// Ends cuts and loss. Some datagrams may still arrive twice.
    pub fn heal(&mut self) {
        self.passes = Box::new(|_, _| true);
        self.loss = 0.0;
    }

    /// Loses so many hundredths of all datagrams; a tenth arrives twice.
    pub fn set_loss_percent(&mut self, hundredths: u8) {
        self.loss = f64::from(hundredths) / 100.0;
        self.duplicates = DUPLICATES;
    }

    /// Sets the rate of a process's clock to so many thousandths of the bound above or below that of true time.
    pub fn set_drift(&mut self, number: u16, bound: f64, thousandths: i16) {
        let rate = 1.0 + bound * f64::from(thousandths) / 1_000.0;
        self.set_clock(number, rate, 0);
    }
}
