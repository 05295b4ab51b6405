//! Erlang formulas for queues, used to validate the model.

/// Returns the mean wait of a queue with Poisson arrivals, exponential service times and `servers` servers (Erlang C),
/// in units of the mean service time. `load` is the utilization, below 1.
pub fn mean_wait(servers: u32, load: f64) -> f64 {
    wait_probability(servers, load) / (f64::from(servers) * (1.0 - load))
}

/// Returns the share of arrivals that wait (Erlang C), computed by the recursion of Erlang B.
pub fn wait_probability(servers: u32, load: f64) -> f64 {
    let offered = load * f64::from(servers);
    let blocked = (1..=servers).fold(1.0, |blocked, n| {
        let arrivals = offered * blocked;
        arrivals / (f64::from(n) + arrivals)
    });
    blocked / (1.0 - load * (1.0 - blocked))
}
