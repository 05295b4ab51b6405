//! Evaluation of formulas and rows.

use std::collections::BTreeSet;

use crate::CapacityError;
use crate::figures::{Figures, Row, Side};
use crate::fit::Model;
use crate::formula::{Formula, FormulaError, Value};
use crate::source::Sources;
use crate::unit::Unit;

/// Suffixes of a slope's name in formulas, for the fit's value at size 0 and at size 1.
const AT_SIZE_0: &str = "_at_0";
const AT_SIZE_1: &str = "_at_1";
/// Text for a figure whose fit gives an impossible negative value.
const NEGATIVE_FIT: &str = "the fit is below 0 there";
/// Maximum nesting of derived figures. Each level takes about ten kB of stack.
const MAX_DEPTH: usize = 8;

/// The size at which formulas are evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// The design size given in `figures.toml`.
    DesignSize,
    /// Twice that.
    Doubled,
}

/// The comparison of a figure with its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The figure is within its budget.
    Fits,
    /// The figure is outside its budget.
    DoesNotFit,
    /// A slope in the figure's or the budget's formula was not measured.
    NotMeasured,
    /// The figure has no budget.
    NoBudget,
}

/// The evaluated figure of a row.
#[derive(Clone, Debug)]
pub struct Evaluation {
    /// The figure, in base units.
    pub figure: Value,
    /// The budget, in base units.
    pub budget: Option<f64>,
    /// Whether the figure is within its budget.
    pub verdict: Verdict,
    /// The slopes that the formula uses.
    pub slopes: BTreeSet<String>,
}

impl Evaluation {
    /// Returns the ratio of figure to budget, inverted for a lower limit. Above 1 the figure does not fit.
    pub fn share_of_budget(&self, side: Side) -> Option<f64> {
        let (Value::Known(figure), Some(budget)) = (&self.figure, self.budget) else { return None };
        let share = match side {
            Side::AtMost => figure / budget,
            Side::AtLeast => budget / figure,
        };
        share.is_finite().then_some(share)
    }
}

/// Evaluates the formulas of a figures file with its fitted slopes.
pub struct Evaluator<'a> {
    /// The figures file.
    pub figures: &'a Figures,
    /// The fitted slopes.
    pub sources: &'a Sources,
    /// The size.
    pub scale: Scale,
}

impl Evaluator<'_> {
    /// Evaluates a row.
    ///
    /// # Errors
    /// Fails if the row's formula or its budget's formula is invalid.
    pub fn row(&self, row: &Row) -> Result<Evaluation, CapacityError> {
        let key = |key: &str| format!("row `{}` of table `{}`: {key}", row.resource, row.table);
        let mut slopes = BTreeSet::new();
        let figure = self.formula(&key("formula"), &row.formula, &mut slopes)?;
        let figure = match figure {
            Value::Known(negative) if negative < 0.0 => {
                Value::NotMeasured(vec![NEGATIVE_FIT.to_owned()])
            }
            figure => figure,
        };
        let budget = match &row.budget {
            None => None,
            Some(text) => match self.formula(&key("budget"), text, &mut BTreeSet::new())? {
                Value::Known(budget) => Some(budget),
                Value::NotMeasured(_) => None,
            },
        };
        let verdict = match (&figure, budget) {
            (Value::NotMeasured(_), _) => Verdict::NotMeasured,
            (Value::Known(_), None) if row.budget.is_some() => Verdict::NotMeasured,
            (Value::Known(_), None) => Verdict::NoBudget,
            (Value::Known(figure), Some(budget)) => {
                let fits = match row.side {
                    Side::AtMost => *figure <= budget,
                    Side::AtLeast => *figure >= budget,
                };
                if fits { Verdict::Fits } else { Verdict::DoesNotFit }
            }
        };
        Ok(Evaluation { figure, budget, verdict, slopes })
    }

    /// Evaluates a formula, and adds the slopes that it uses to `slopes`.
    ///
    /// # Errors
    /// Fails if the formula is invalid. The error gives `key` as its location.
    pub fn formula(
        &self,
        key: &str,
        text: &str,
        slopes: &mut BTreeSet<String>,
    ) -> Result<Value, CapacityError> {
        self.value(text, slopes, &mut Vec::new()).map_err(|error| {
            let (expected, found) = match error {
                FormulaError::Syntax(why) => ("a formula".to_owned(), format!("`{text}`: {why}")),
                FormulaError::UnknownName(name) => {
                    ("the name of a parameter, slope or derived figure".to_owned(), name)
                }
                FormulaError::Cycle(name) => {
                    let expected = "no circle, and at most";
                    (format!("{expected} {MAX_DEPTH} derived figures in each other"), name)
                }
                FormulaError::NotANumber => ("a number".to_owned(), format!("`{text}`")),
            };
            self.figures.error(key, expected, found)
        })
    }

    fn value(
        &self,
        text: &str,
        slopes: &mut BTreeSet<String>,
        path: &mut Vec<String>,
    ) -> Result<Value, FormulaError> {
        Formula::parse(text)?.value(|name| self.name(name, slopes, path))
    }

    fn name(
        &self,
        name: &str,
        slopes: &mut BTreeSet<String>,
        path: &mut Vec<String>,
    ) -> Result<Value, FormulaError> {
        if let Some(parameter) = self.figures.parameters.get(name) {
            let doubled = parameter.doubles && self.scale == Scale::Doubled;
            let times = if doubled { 2.0 } else { 1.0 };
            return Ok(Value::Known(parameter.value * Unit::parse(&parameter.unit).scale * times));
        }
        if let Some(derived) = self.figures.derived.get(name) {
            if path.len() >= MAX_DEPTH || path.iter().any(|caller| caller == name) {
                return Err(FormulaError::Cycle(name.to_owned()));
            }
            path.push(name.to_owned());
            let value = self.value(&derived.formula, slopes, path);
            path.pop();
            return value;
        }
        let at = |suffix: &'static str| Some((name.strip_suffix(suffix)?, Some(suffix)));
        let (slope, suffix) = at(AT_SIZE_0).or_else(|| at(AT_SIZE_1)).unwrap_or((name, None));
        let source = self.sources.get(slope);
        let source = source.ok_or_else(|| FormulaError::UnknownName(name.to_owned()))?;
        slopes.insert(slope.to_owned());
        let Some(fit) = &source.fit else {
            return Ok(Value::NotMeasured(vec![slope.to_owned()]));
        };
        match (suffix, fit.model) {
            (None, _) => Ok(Value::Known(fit.slope)),
            (Some(AT_SIZE_0), Model::Linear) => Ok(Value::Known(fit.intercept)),
            (Some(AT_SIZE_1), Model::Log | Model::Power) => Ok(Value::Known(fit.intercept)),
            (Some(_), _) => Err(FormulaError::UnknownName(name.to_owned())),
        }
    }
}
