//! Figures of what an engine does, counted where it happens: requests at their end, attempts when their
//! last byte is written. An engine lives on one thread, so a count is an addition and nothing else.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::names::Names;

/// The most classes that have counts of their own. New settings may bring ever new ones, and what was
/// counted stays; those beyond share one line.
const MOST_CLASSES: usize = 256;
/// The name of the line that classes beyond [`MOST_CLASSES`] share.
const OTHER: &str = "other";

/// How a request ended, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Served, whole.
    Succeeded,
    /// Refused: trying again is harmless.
    Declined,
    /// Failed, or broken off within its answer.
    Aborted,
}

/// Requests of one class by how they ended, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dispositions {
    /// Served, whole.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

#[derive(Debug)]
struct ClassFigures {
    name: String,
    counts: Cell<Dispositions>,
}

/// Counts since the start. They never go down, also over new settings: a class keeps its counts by its name.
#[derive(Debug, Default)]
pub struct Figures {
    lines: RefCell<Vec<Rc<ClassFigures>>>,
    /// The line of each place in the settings' classes.
    places: RefCell<Vec<Rc<ClassFigures>>>,
    attempts: Cell<u64>,
}

impl Figures {
    /// No counts yet, for the classes of `names`.
    pub fn new(names: &Names) -> Figures {
        let figures = Figures::default();
        figures.set_classes(names);
        figures
    }

    /// The classes are those of `names` from now on. Places that `names` lacks keep their lines: requests
    /// of theirs may be open.
    pub fn set_classes(&self, names: &Names) {
        let mut classes: Vec<_> = names.classes.iter().map(|(name, of)| (of.index, name)).collect();
        classes.sort_unstable();
        let mut places = self.places.borrow_mut();
        for (index, name) in classes {
            let line = self.line(name);
            while places.len() < index {
                places.push(line.clone());
            }
            match places.get_mut(index) {
                Some(place) => *place = line,
                None => places.push(line),
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

    /// A request of the class at this place of the settings has ended.
    pub fn request_ended(&self, class: usize, disposition: Disposition) {
        let places = self.places.borrow();
        let Some(line) = places.get(class) else { return };
        let mut counts = line.counts.get();
        *match disposition {
            Disposition::Succeeded => &mut counts.succeeded,
            Disposition::Declined => &mut counts.declined,
            Disposition::Aborted => &mut counts.aborted,
        } += 1;
        line.counts.set(counts);
    }

    /// The last byte of an attempt has been written.
    pub fn attempt_written(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Attempts whose last byte was written.
    pub fn attempts_written(&self) -> u64 {
        self.attempts.get()
    }

    /// Each class that was ever met in the settings, with its counts.
    pub fn by_class(&self) -> Vec<(String, Dispositions)> {
        self.lines.borrow().iter().map(|l| (l.name.clone(), l.counts.get())).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::ClassName;
    use coppercart::settings::Repeat;
    use std::time::Duration;

    fn names(classes: &[(&str, usize)]) -> Names {
        let mut names = Names::default();
        for &(name, index) in classes {
            let of = ClassName {
                index,
                repeat: Repeat::Safe,
                streaming: false,
                aim: Duration::ZERO,
                deadline: Duration::ZERO,
            };
            names.classes.insert(name.to_owned(), of);
        }
        names
    }

    #[test]
    fn a_class_keeps_its_counts_at_a_new_place() {
        let figures = Figures::new(&names(&[("look", 0), ("order", 1)]));
        figures.request_ended(1, Disposition::Succeeded);
        figures.set_classes(&names(&[("look", 0), ("order", 2), ("page", 3)]));
        // One that was open at the old place, and one at the new.
        figures.request_ended(1, Disposition::Aborted);
        figures.request_ended(2, Disposition::Succeeded);
        figures.request_ended(9, Disposition::Succeeded);
        let expected = Dispositions { succeeded: 2, declined: 0, aborted: 1 };
        let order = figures.by_class().into_iter().find(|(name, _)| name == "order");
        assert_eq!(order, Some(("order".to_owned(), expected)));
        assert_eq!(figures.by_class().len(), 3);
    }

    #[test]
    fn ever_new_classes_share_a_line_in_the_end() {
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
