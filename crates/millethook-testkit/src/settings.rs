//! The decision module's settings as tests use them.

use serde_json::{Value, json};

/// Settings with a safe class (0), a keyed one that is deduplicated within a zone (1) and an unsafe
/// one (2).
pub fn settings_json() -> Value {
    json!({
        "classes": [
            {"name": "look", "aim": 200_000, "deadline": 1_000_000, "repeat": "idempotent",
             "dedupScope": "all", "window": 5_000_000, "credit": 1.0, "lateWorth": 0.2},
            {"name": "keep", "aim": 300_000, "deadline": 1_500_000, "repeat": "deduplicated",
             "dedupScope": "zone", "window": 700_000, "credit": 8.0, "lateWorth": 0.2},
            {"name": "order", "aim": 300_000, "deadline": 1_500_000, "repeat": "at_most_once",
             "dedupScope": "all", "window": 5_000_000, "credit": 8.0, "lateWorth": 0.2}
        ],
        "discovery": "pushed",
        "goal": {"whole": 0.6, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.3},
        "instances": 3,
        "limits": {"cancel": true, "connIdle": 10_000_000, "connectTimeout": 75_000,
                   "maxAttempts": 6, "maxOpen": 1000, "mayDuplicate": true, "mayTell": false,
                   "probing": false, "retryAfter": false, "streamsPerConn": 1},
        "me": 0,
        "prices": {},
        "report": {"columns": ["q", "rif"], "how": "piggyback"},
        "rules": {"answerSlack": 8000, "cold": 20_000_000, "coldShare": 0.2, "fallMultiple": 3.0,
                  "mustAskIn": 10_000_000, "stopSendingWithin": 500_000, "tipAfter": 2_000_000},
        "tenants": [],
        "tick": 2000,
        "weightKind": "silent",
        "worthBy": "work",
        "zone": 0,
        "zones": ["a", "b"]
    })
}
