//! One real sidecar: reads its configuration, then runs until it is told to stop.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use plankvale::Reload;
use plankvale::config::Config;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("plankvale: {e}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let mut told = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let changed = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
        let (to_sidecar, reloads) = mpsc::channel(1);
        spawn_local(reload(changed, to_sidecar));
        let stop = async move {
            told.recv().await;
        };
        plankvale::run(config, stop, reloads).await
    })
}

/// Reads the configuration anew at each SIGHUP. One that is not sound leaves the old one in force.
async fn reload(mut changed: Signal, to_sidecar: mpsc::Sender<Reload>) {
    while changed.recv().await.is_some() {
        if to_sidecar.send(Config::from_env().map(Box::new)).await.is_err() {
            return;
        }
    }
}
