"""Runs the fault matrix and writes its table into docs/AGREEMENT.md.

Run::

    python -m benchmarks.agreement_matrix
"""

import logging
import pathlib
import re

from absl import app

from tests.agreement import fault_matrix

DOCS = pathlib.Path(__file__).parents[1] / 'docs' / 'AGREEMENT.md'
PLACE = re.compile(
    r'(<!-- fault matrix -->\n).*?(<!-- end of fault matrix -->)', re.DOTALL
)


def main(argv):
    """Runs every cell; exit status 1 if one is not proved."""
    logging.disable(logging.CRITICAL)
    cells = {
        (fault, step): fault_matrix.run_cell(fault, step)
        for step in fault_matrix.STEPS
        for fault in fault_matrix.FAULTS
    }
    table = fault_matrix.render(cells)
    text = DOCS.read_text(encoding='utf-8')
    text = PLACE.sub(lambda match: match[1] + table + match[2], text)
    DOCS.write_text(text, encoding='utf-8')
    print(table)
    return 0 if set(cells.values()) == {'proved'} else 1


if __name__ == '__main__':
    app.run(main)
