"""Prints answers as text for people or as JSON for programs."""

import json
import sys

__all__ = ('Output',)

COLUMN_GAP = '  '


def _format_cell(value):
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, (list, tuple)):
        return ','.join(str(item) for item in value) or '-'
    return str(value)


class Output:
    """Prints the results of a command.

    Args:
        as_json: True to print JSON instead of text.
        stream: stream for answers; None for standard output.
        error_stream: stream for errors and advice; None for standard error.

    Attributes:
        as_json: True in JSON mode, False in text mode.
    """

    def __init__(self, as_json, stream=None, error_stream=None):
        self.as_json = as_json
        self._stream = stream or sys.stdout
        self._error_stream = error_stream or sys.stderr

    def print_json(self, value):
        """Prints a value as JSON; prints nothing in text mode."""
        if self.as_json:
            print(
                json.dumps(value, indent=2, sort_keys=True), file=self._stream
            )

    def print_document(self, value):
        """Prints a value as JSON in both modes."""
        print(json.dumps(value, indent=2, sort_keys=True), file=self._stream)

    def print_line(self, text):
        """Prints one line of text; prints nothing in JSON mode."""
        if not self.as_json:
            print(text, file=self._stream)

    def print_to_stderr(self, text):
        """Prints one line on the error stream in both modes."""
        print(text, file=self._error_stream)

    def print_fields(self, fields):
        """Prints names and values in two columns; nothing in JSON mode.

        Args:
            fields: list of ``(name, value)`` pairs, at least one.
        """
        if self.as_json:
            return
        name_width = max(len(name) for name, _ in fields)
        for name, value in fields:
            print(
                f'{name:<{name_width}}  {_format_cell(value)}',
                file=self._stream,
            )

    def print_table(self, columns, rows):
        """Prints a table with headings; prints nothing in JSON mode.

        Args:
            columns: ``(heading, key)`` pairs.
            rows: dicts; a missing key gives an empty cell.
        """
        if self.as_json:
            return
        cell_rows = [[heading for heading, _ in columns]]
        cell_rows += [
            [_format_cell(row.get(key)) for _, key in columns] for row in rows
        ]
        column_widths = [
            max(map(len, column)) for column in zip(*cell_rows, strict=True)
        ]
        for row_cells in cell_rows:
            padded_cells = map(str.ljust, row_cells, column_widths)
            print(COLUMN_GAP.join(padded_cells).rstrip(), file=self._stream)
