//! Formulas with named variables.

use exmex::prelude::*;

/// The result of a formula.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The value, in base units.
    Known(f64),
    /// The names that have no measurements.
    NotMeasured(Vec<String>),
}

/// Errors of a formula.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormulaError {
    /// The formula is malformed.
    Syntax(String),
    /// A name is unknown.
    UnknownName(String),
    /// A derived figure depends on itself, or is nested too deeply.
    Cycle(String),
    /// The value is not a number, such as 0 / 0.
    NotANumber,
}

/// A parsed formula: numbers (`0.5`, not `5e-1`), names, `+ - * / ^`, parentheses, and functions of one argument such as `ln` and `sqrt`.
pub struct Formula(FlatEx<f64>);

impl Formula {
    /// Parses a formula.
    ///
    /// # Errors
    /// [`FormulaError::Syntax`].
    pub fn parse(text: &str) -> Result<Formula, FormulaError> {
        exmex::parse::<f64>(text).map(Formula).map_err(|e| FormulaError::Syntax(e.to_string()))
    }

    /// Returns the distinct names in the formula.
    pub fn names(&self) -> &[String] {
        self.0.var_names()
    }

    /// Evaluates the formula, with the value of each name from `lookup`.
    ///
    /// # Errors
    /// Returns errors of `lookup`, and [`FormulaError::NotANumber`].
    pub fn value(
        &self,
        mut lookup: impl FnMut(&str) -> Result<Value, FormulaError>,
    ) -> Result<Value, FormulaError> {
        let (mut known, mut missing) = (Vec::new(), Vec::new());
        for name in self.names() {
            match lookup(name)? {
                Value::Known(value) => known.push(value),
                Value::NotMeasured(names) => missing.extend(names),
            }
        }
        if !missing.is_empty() {
            missing.sort();
            missing.dedup();
            return Ok(Value::NotMeasured(missing));
        }
        let value = self.0.eval(&known).map_err(|e| FormulaError::Syntax(e.to_string()))?;
        if value.is_nan() {
            return Err(FormulaError::NotANumber);
        }
        Ok(Value::Known(value))
    }
}
