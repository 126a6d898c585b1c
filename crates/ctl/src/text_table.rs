//! Tables for terminal output.

/// A heading and rows, printed in aligned columns.
#[derive(Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub fn new(heading: &[&str]) -> TextTable {
        let heading = heading.iter().map(|h| (*h).to_owned()).collect();
        TextTable {
            rows: vec![heading],
        }
    }

    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    pub fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (i, cell) in row.iter().enumerate() {
                widths[i] = widths[i].max(cell.chars().count());
            }
        }
        for row in &self.rows {
            let mut line = String::new();
            for (i, cell) in row.iter().enumerate() {
                line.push_str(&format!("{cell:<width$}  ", width = widths[i]));
            }
            println!("{}", line.trim_end());
        }
    }
}
