use std::fmt::{self, Display};

/// A text table with aligned columns, whose first row contains the headings.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

/// The number of spaces between two columns.
const COLUMN_GAP_CHARS: usize = 2;

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Table {
        Table { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    /// Adds a row, which must have one cell per heading.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                line.extend(std::iter::repeat_n(
                    ' ',
                    width + COLUMN_GAP_CHARS - cell.chars().count(),
                ));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats a size with a binary unit.
pub(crate) fn format_bytes(bytes: u64) -> String {
    const UNITS: [(&str, u64); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];
    match UNITS.iter().find(|(_, unit)| bytes >= *unit) {
        Some((name, unit)) => format!("{:.1} {name}", bytes as f64 / *unit as f64),
        None => format!("{bytes} B"),
    }
}

/// Joins names with spaces, or returns a dash if there are none.
pub(crate) fn join_names<T: Display>(items: &[T]) -> String {
    if items.is_empty() {
        return "-".to_owned();
    }
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

pub(crate) fn yes_no(value: bool) -> String {
    if value { "yes".to_owned() } else { "no".to_owned() }
}
