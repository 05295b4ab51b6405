//! The settings that a plan gives to the decisions.

use coppercart::settings::Settings;
use serde_json::{Value, json};

use super::{Class, Effect, MS, Plan};

/// The value in the daemon's configuration files, in microseconds.
const CONNECT_TIMEOUT: u64 = 75_000;

impl Plan {
    /// Returns the settings of the sidecar with this number.
    ///
    /// # Errors
    /// The decisions reject them; the text names the key and what was expected.
    pub fn settings(&self, sidecar: usize) -> Result<Settings, String> {
        let zones: Vec<String> = (0..self.sidecars.zones).map(|n| format!("z{n}")).collect();
        let settings = json!({
            "classes": self.classes.iter().enumerate().map(class).collect::<Vec<_>>(),
            "discovery": if self.discovery.on_request { "on_request" } else { "pushed" },
            "failover": {"copyAtAim": self.sidecars.copy_at_aim, "slowExponent": 2.0},
            "instances": self.sidecars.count,
            "limits": {"cancel": true, "connIdle": 10_000_000, "connectTimeout": CONNECT_TIMEOUT,
                       "maxAttempts": self.sidecars.max_attempts,
                       "mayDuplicate": self.sidecars.may_duplicate},
            "me": sidecar,
            "report": {"columns": ["q", "rif"], "how": "piggyback"},
            "rules": {"answerSlack": self.rules.answer_slack_ms * MS,
                      "cold": self.servers.cold_ms * MS, "coldShare": self.servers.cold_share,
                      "fallMultiple": self.rules.fall_multiple, "mustAskIn": 10_000_000,
                      "stopSendingWithin": self.rules.stop_sending_ms * MS,
                      "tipAfter": self.rules.tip_after_ms * MS},
            "tick": 2_000,
            "worthBy": "request",
            "zone": self.zone(sidecar),
            "zones": zones,
        });
        Settings::from_json(settings.to_string().as_bytes())
    }
}

fn class((n, class): (usize, &Class)) -> Value {
    let repeat = match class.effect {
        Effect::Safe => "idempotent",
        Effect::Keyed => "deduplicated",
        Effect::Unsafe => "at_most_once",
    };
    json!({"name": format!("c{n}"), "aim": class.aim_ms * MS, "deadline": class.deadline_ms * MS,
           "repeat": repeat, "dedupScope": "zone", "window": class.window_ms * MS,
           "credit": class.worth, "lateWorth": 0.2})
}
