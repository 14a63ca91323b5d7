/// A range of lines of YAML text, used to find the line numbers of fields for messages.
///
/// The parser keeps no positions, so line numbers are derived from the layout:
/// top-level keys start at the left margin, and list items start with a dash.
/// Where the text is laid out differently, the line of the nearest enclosing
/// key is used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LineRange<'a> {
    text: &'a str,
    start: usize,
    end: usize,
}

impl<'a> LineRange<'a> {
    pub(crate) fn new(text: &'a str) -> LineRange<'a> {
        LineRange { text, start: 0, end: text.lines().count() }
    }

    /// Returns the number of the first line, counted from 1.
    pub(crate) fn first(self) -> Option<usize> {
        (self.start < self.end).then_some(self.start + 1)
    }

    /// Returns the number of the line that contains the key `field`, counted from 1.
    pub(crate) fn field(self, field: &str) -> Option<usize> {
        self.lines().find(|(_, line)| has_key(line, field)).map(|(index, _)| index + 1)
    }

    /// Returns the lines of the top-level key `field`, which are none if the key isn't found.
    pub(crate) fn section(self, field: &str) -> LineRange<'a> {
        let Some((start, _)) =
            self.lines().find(|(_, line)| is_top_level(line) && has_key(line, field))
        else {
            return LineRange { end: self.start, ..self };
        };
        let next = self.lines().find(|(index, line)| *index > start && is_top_level(line));
        LineRange { start, end: next.map_or(self.end, |(index, _)| index), ..self }
    }

    /// Returns the lines of each of `count` items of a list.
    ///
    /// If the layout doesn't show the items, each item gets the whole range.
    pub(crate) fn items(self, count: usize) -> Vec<LineRange<'a>> {
        let dashes: Vec<(usize, usize)> = self
            .lines()
            .filter(|(_, line)| line.trim_start().starts_with('-'))
            .map(|(index, line)| (index, line.len() - line.trim_start().len()))
            .collect();
        let indent = dashes.iter().map(|(_, indent)| *indent).min();
        let starts: Vec<usize> = dashes
            .iter()
            .filter(|(_, dash_indent)| Some(*dash_indent) == indent)
            .map(|(index, _)| *index)
            .collect();
        if starts.len() != count {
            return vec![self; count];
        }
        let ends = starts.iter().skip(1).copied().chain([self.end]);
        starts
            .iter()
            .zip(ends)
            .map(|(start, end)| LineRange { start: *start, end, ..self })
            .collect()
    }

    fn lines(self) -> impl Iterator<Item = (usize, &'a str)> {
        self.text.lines().enumerate().take(self.end).skip(self.start)
    }
}

fn is_top_level(line: &str) -> bool {
    line.starts_with(|first: char| !first.is_whitespace() && first != '#' && first != '-')
}

fn has_key(line: &str, field: &str) -> bool {
    let code = line.split(" #").next().unwrap_or_default();
    code.match_indices(field).any(|(index, _)| {
        let before = code[..index].chars().next_back();
        let after = code[index + field.len()..].trim_start_matches(['"', '\'', ' ']);
        before.is_none_or(|before| " \t{,-\"'".contains(before)) && after.starts_with(':')
    })
}
