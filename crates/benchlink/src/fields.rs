//! The space-separated values of one line, read from left to right. `-` stands for an absent value.

use std::str::FromStr;

use anyhow::{Context, Result, bail, ensure};
use rainlug::{Report, Time};
use rainlug_setup::{micros, set_report};

pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn of(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// What is left of the line.
    pub fn text(&mut self, name: &str) -> Result<&'a str> {
        self.rest.take().with_context(|| format!("expected {name}"))
    }

    pub fn word(&mut self, name: &str) -> Result<&'a str> {
        let rest = self.text(name)?;
        let (word, after) = match rest.split_once(' ') {
            Some((word, after)) => (word, Some(after)),
            None => (rest, None),
        };
        self.rest = after;
        ensure!(!word.is_empty(), "expected {name}, found nothing");
        Ok(word)
    }

    pub fn maybe<T: FromStr>(&mut self, name: &str) -> Result<Option<T>> {
        match self.word(name)? {
            "-" => Ok(None),
            word => word.parse().map(Some).ok().with_context(|| format!("expected {name}, found '{word}'")),
        }
    }

    pub fn value<T: FromStr>(&mut self, name: &str) -> Result<T> {
        self.maybe(name)?.with_context(|| format!("expected {name}, found '-'"))
    }

    /// Milliseconds, possibly absent, as whole microseconds.
    pub fn maybe_time(&mut self, name: &str) -> Result<Option<Time>> {
        self.maybe::<f64>(name)?
            .map(|ms| micros(ms).with_context(|| format!("expected {name} in range")))
            .transpose()
    }

    pub fn time(&mut self, name: &str) -> Result<Time> {
        self.maybe_time(name)?.with_context(|| format!("expected {name}, found '-'"))
    }

    /// A finite number of at least 0.
    pub fn amount(&mut self, name: &str) -> Result<Option<f64>> {
        let found = self.maybe::<f64>(name)?;
        ensure!(found.is_none_or(|n| n.is_finite() && n >= 0.0), "expected {name} of 0 or more");
        Ok(found)
    }

    pub fn flag(&mut self, name: &str) -> Result<bool> {
        match self.word(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            word => bail!("expected {name} as 0 or 1, found '{word}'"),
        }
    }

    /// `name:value` pairs set apart by commas; names that decide nothing are skipped.
    pub fn report(&mut self) -> Result<Report> {
        let mut report = Report::default();
        let word = self.word("load report")?;
        if word == "-" {
            return Ok(report);
        }
        for pair in word.split(',') {
            let (name, value) =
                pair.split_once(':').with_context(|| format!("expected name:value in '{pair}'"))?;
            let number: f64 = value.parse().ok().with_context(|| format!("expected a number in '{pair}'"))?;
            ensure!(number.is_finite(), "expected a finite number in '{pair}'");
            set_report(&mut report, name, number);
        }
        Ok(report)
    }
}
