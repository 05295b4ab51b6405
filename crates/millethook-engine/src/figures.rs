//! Counts of what an engine does: requests when they end, attempts when their last byte is written. An engine runs on
//! one thread, so counting is a plain addition.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::names::Names;

/// The most classes with counts of their own. New settings may bring new classes again and again, and counts are
/// never removed; further classes share one line.
const MOST_CLASSES: usize = 256;
/// The name of the line that classes beyond [`MOST_CLASSES`] share.
const OTHER: &str = "other";

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Served completely.
    Succeeded,
    /// Refused; a retry is harmless.
    Declined,
    /// Failed, or broken off within the answer.
    Aborted,
}

/// Requests of one class since the start, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dispositions {
    /// Served completely.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// Why connections and requests were refused or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Connections that were accepted only to refuse their request, as all clients were in the middle of theirs.
    SurplusClients,
    /// Clients' connections that were closed to make room for others.
    EvictedClients,
    /// Requests that were refused because there was no memory for their bodies.
    BodiesWithoutMemory,
    /// Requests with long bodies that failed because their server did not read them in time.
    UploadsNotTaken,
    /// Answers that broke off, or were no valid answers.
    IncompleteAnswers,
    /// Answers that were passed on before they were complete because their client's time was up.
    AnswersAtDeadline,
    /// Answers that had begun and were given up because their client's time was up.
    OverdueAnswers,
}

impl Counter {
    /// All counters, in the order of their declaration.
    pub const ALL: [Counter; 7] = [
        Counter::SurplusClients,
        Counter::EvictedClients,
        Counter::BodiesWithoutMemory,
        Counter::UploadsNotTaken,
        Counter::IncompleteAnswers,
        Counter::AnswersAtDeadline,
        Counter::OverdueAnswers,
    ];

    /// The name of its metric.
    pub fn name(self) -> &'static str {
        match self {
            Counter::SurplusClients => "clients.surplus",
            Counter::EvictedClients => "clients.evicted",
            Counter::BodiesWithoutMemory => "bodies.without_memory",
            Counter::UploadsNotTaken => "uploads.not_taken",
            Counter::IncompleteAnswers => "answers.incomplete",
            Counter::AnswersAtDeadline => "answers.at_deadline",
            Counter::OverdueAnswers => "answers.overdue",
        }
    }
}

#[derive(Debug)]
struct ClassFigures {
    name: String,
    counts: Cell<Dispositions>,
}

/// Counts since the start. They never decrease, not even with new settings: a class keeps its counts by its name.
#[derive(Debug, Default)]
pub struct Figures {
    lines: RefCell<Vec<Rc<ClassFigures>>>,
    /// The line of each class, by its index in the settings.
    by_index: RefCell<Vec<Rc<ClassFigures>>>,
    attempts: Cell<u64>,
    counters: [Cell<u64>; Counter::ALL.len()],
}

impl Figures {
    /// Creates zero counts for the classes of `names`.
    pub fn new(names: &Names) -> Figures {
        let figures = Figures::default();
        figures.set_classes(names);
        figures
    }

    /// Sets the classes to those of `names`. Indices that `names` lacks keep their lines, because requests of those
    /// classes may be open.
    pub fn set_classes(&self, names: &Names) {
        let mut classes: Vec<_> =
            names.classes.iter().map(|(name, class)| (class.index, name)).collect();
        classes.sort_unstable();
        let mut by_index = self.by_index.borrow_mut();
        for (index, name) in classes {
            let line = self.line(name);
            while by_index.len() < index {
                by_index.push(line.clone());
            }
            match by_index.get_mut(index) {
                Some(slot) => *slot = line,
                None => by_index.push(line),
            }
        }
    }

    fn line(&self, name: &str) -> Rc<ClassFigures> {
        let mut lines = self.lines.borrow_mut();
        let name = if lines.len() < MOST_CLASSES { name } else { OTHER };
        if let Some(line) = lines.iter().find(|line| line.name == name) {
            return line.clone();
        }
        let line = Rc::new(ClassFigures { name: name.to_owned(), counts: Cell::default() });
        lines.push(line.clone());
        line
    }

    /// Counts the end of a request of the class at this index.
    pub fn request_ended(&self, class: usize, disposition: Disposition) {
        let by_index = self.by_index.borrow();
        let Some(line) = by_index.get(class) else { return };
        let mut counts = line.counts.get();
        *match disposition {
            Disposition::Succeeded => &mut counts.succeeded,
            Disposition::Declined => &mut counts.declined,
            Disposition::Aborted => &mut counts.aborted,
        } += 1;
        line.counts.set(counts);
    }

    /// Counts an attempt whose last byte has been written.
    pub fn attempt_written(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Number of attempts whose last byte was written.
    pub fn attempts_written(&self) -> u64 {
        self.attempts.get()
    }

    /// Counts one more event.
    pub fn count(&self, counter: Counter) {
        let cell = &self.counters[counter as usize];
        cell.set(cell.get() + 1);
    }

    /// The events of this kind since the start.
    pub fn counted(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].get()
    }

    /// All classes that were ever in the settings, with their counts.
    pub fn by_class(&self) -> Vec<(String, Dispositions)> {
        self.lines.borrow().iter().map(|l| (l.name.clone(), l.counts.get())).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::ClassName;
    use coppercart::settings::RetrySafety;
    use std::time::Duration;

    fn names(classes: &[(&str, usize)]) -> Names {
        let mut names = Names::default();
        for &(name, index) in classes {
            let class = ClassName {
                index,
                repeat: RetrySafety::Safe,
                streaming: false,
                aim: Duration::ZERO,
                deadline: Duration::ZERO,
            };
            names.classes.insert(name.to_owned(), class);
        }
        names
    }

    #[test]
    fn a_class_keeps_its_counts_at_a_new_index() {
        let figures = Figures::new(&names(&[("look", 0), ("order", 1)]));
        figures.request_ended(1, Disposition::Succeeded);
        figures.set_classes(&names(&[("look", 0), ("order", 2), ("page", 3)]));
        // One request that was open at the old index, and one at the new index.
        figures.request_ended(1, Disposition::Aborted);
        figures.request_ended(2, Disposition::Succeeded);
        figures.request_ended(9, Disposition::Succeeded);
        let expected = Dispositions { succeeded: 2, declined: 0, aborted: 1 };
        let order = figures.by_class().into_iter().find(|(name, _)| name == "order");
        assert_eq!(order, Some(("order".to_owned(), expected)));
        assert_eq!(figures.by_class().len(), 3);
    }

    #[test]
    fn classes_beyond_the_limit_share_one_line() {
        let figures = Figures::default();
        for n in 0..3 * MOST_CLASSES {
            figures.set_classes(&names(&[(&format!("class-{n}"), n)]));
            figures.request_ended(n, Disposition::Declined);
        }
        let by_class = figures.by_class();
        assert_eq!(by_class.len(), MOST_CLASSES + 1);
        let all: u64 = by_class.iter().map(|(_, counts)| counts.declined).sum();
        assert_eq!(all, 3 * MOST_CLASSES as u64);
    }
}
