"""Prints answers: tables for people, JSON for programs."""

import json
import sys

__all__ = ('Output',)

COLUMN_GAP = '  '


def _cell(value):
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, (list, tuple)):
        return ','.join(str(item) for item in value) or '-'
    return str(value)


class Output:
    """Where a command prints.

    Args:
        as_json: True to print JSON only.
        stream: for answers.
        errors: for what went wrong and for advice.
    """

    def __init__(self, as_json, stream=None, errors=None):
        self.as_json = as_json
        self._stream = stream or sys.stdout
        self._errors = errors or sys.stderr

    def value(self, value):
        """Prints a value as JSON; does nothing in table mode."""
        if self.as_json:
            print(
                json.dumps(value, indent=2, sort_keys=True), file=self._stream
            )

    def document(self, value):
        """Prints a value as JSON in both modes."""
        print(json.dumps(value, indent=2, sort_keys=True), file=self._stream)

    def line(self, text):
        """Prints one line for people; does nothing in JSON mode."""
        if not self.as_json:
            print(text, file=self._stream)

    def advice(self, text):
        """Prints one line on the error stream, in both modes."""
        print(text, file=self._errors)

    def fields(self, rows):
        """Prints ``(name, value)`` rows for people."""
        if self.as_json:
            return
        width = max(len(name) for name, _ in rows)
        for name, value in rows:
            print(f'{name:<{width}}  {_cell(value)}', file=self._stream)

    def table(self, columns, rows):
        """Prints a table for people.

        Args:
            columns: ``(heading, key)`` pairs.
            rows: dicts.
        """
        if self.as_json:
            return
        cells = [[heading for heading, _ in columns]]
        cells += [[_cell(row.get(key)) for _, key in columns] for row in rows]
        widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
        for line in cells:
            padded = map(str.ljust, line, widths)
            print(COLUMN_GAP.join(padded).rstrip(), file=self._stream)
