"""Runs the fault matrix and writes its table into docs/AGREEMENT.md.

Run::

    python -m benchmarks.agreement_matrix
"""

import logging
import pathlib
import re

from absl import app

from tests.agreement import fault_matrix

PAGE_PATH = pathlib.Path(__file__).parents[1] / 'docs' / 'AGREEMENT.md'
TABLE_REGION = re.compile(
    r'(<!-- fault matrix -->\n).*?(<!-- end of fault matrix -->)', re.DOTALL
)


def main(argv):
    """Runs every cell; returns exit status 1 if one isn't ``proved``."""
    logging.disable(logging.CRITICAL)
    verdicts = {
        (fault, step): fault_matrix.run_cell(fault, step)
        for step in fault_matrix.STEPS
        for fault in fault_matrix.FAULTS
    }
    table = fault_matrix.render_table(verdicts)
    text = PAGE_PATH.read_text(encoding='utf-8')
    text = TABLE_REGION.sub(lambda match: match[1] + table + match[2], text)
    PAGE_PATH.write_text(text, encoding='utf-8')
    print(table)
    return 0 if set(verdicts.values()) == {'proved'} else 1


if __name__ == '__main__':
    app.run(main)
