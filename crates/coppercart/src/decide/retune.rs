//! New settings while requests are open: what was learned stays, what follows from settings is set anew.

use super::*;

impl Balancer {
    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes settings that follow the ones in force ([`Settings::merged_with`]).
    pub fn update_settings(&mut self, settings: Settings) {
        let before = std::mem::replace(&mut self.settings, settings);
        for (place, class) in self.settings.classes.iter().enumerate() {
            // A class that changed is met by the same work: what answers told of it holds on.
            let same = before.classes.get(place).is_some_and(|c| c.name == class.name);
            let known = before.classes.iter().position(|c| c.name == class.name);
            match known.map(|at| self.learned[at].clone()) {
                _ if same => {}
                known if place < self.learned.len() => {
                    self.learned[place] = known.unwrap_or_default();
                }
                known => self.learned.push(known.unwrap_or_default()),
            }
        }
        self.apply_settings();
        self.choose_subset();
    }

    /// Sets what follows from the settings alone.
    pub(super) fn apply_settings(&mut self) {
        let s = &self.settings;
        self.initial_remote_share = 1.0 / (1.0 + CROSSING_SHY * s.prices.cross_zone.max(0.0));
        self.queue_column = s.column("q");
        self.held_column = s.column("rif");
        self.load_column = self.held_column.or(self.queue_column);
        self.longest_aim = s.max_over_classes(|c| c.aim) as f64;
        self.reset_interval = s.max_over_classes(|c| c.deadline);
        self.learned.resize(s.classes.len(), Learned::default());
    }
}
