//! Applies new settings while requests are open: learned state stays, derived values are computed
//! anew.

use super::*;

impl Balancer {
    /// Returns the active settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the active settings with a merged version of them ([`Settings::merged_with`]).
    pub fn update_settings(&mut self, settings: Settings) {
        let previous = std::mem::replace(&mut self.settings, settings);
        for (index, class) in self.settings.classes.iter().enumerate() {
            // A class whose settings changed still gets the same work: its statistics remain valid.
            let same = previous.classes.get(index).is_some_and(|c| c.name == class.name);
            let previous_index = previous.classes.iter().position(|c| c.name == class.name);
            match previous_index.map(|old_index| self.class_stats[old_index].clone()) {
                _ if same => {}
                stats if index < self.class_stats.len() => {
                    self.class_stats[index] = stats.unwrap_or_default();
                }
                stats => self.class_stats.push(stats.unwrap_or_default()),
            }
        }
        self.apply_settings();
        self.choose_subset();
    }

    /// Computes the values that depend only on the settings.
    pub(super) fn apply_settings(&mut self) {
        let s = &self.settings;
        self.initial_remote_share =
            1.0 / (1.0 + CROSS_ZONE_INITIAL_PENALTY * s.prices.cross_zone.max(0.0));
        self.queue_column = s.report_column("q");
        self.held_column = s.report_column("rif");
        self.load_column = self.held_column.or(self.queue_column);
        self.longest_aim = s.max_over_classes(|c| c.aim) as f64;
        self.reset_interval = s.max_over_classes(|c| c.deadline);
        self.class_stats.resize(s.classes.len(), ClassStats::default());
    }
}
