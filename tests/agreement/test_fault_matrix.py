"""Every cell of the fault matrix passes, and the docs show its table."""

import pathlib
import unittest

from tests.agreement import fault_matrix

DOCS_PATH = pathlib.Path(__file__).parents[2] / 'docs' / 'AGREEMENT.md'


class FaultMatrixTest(unittest.TestCase):
    """Guards against a fault that a group does not survive at some step."""

    def test_each_cell_is_proved_and_documented(self):
        cells = {}
        for step in fault_matrix.STEPS:
            for fault in fault_matrix.FAULTS:
                result = fault_matrix.run_cell(fault, step)
                cells[fault, step] = result
                with self.subTest(step=step, fault=fault):
                    self.assertEqual('proved', result)
        docs_text = DOCS_PATH.read_text(encoding='utf-8')
        self.assertIn(fault_matrix.render_table(cells), docs_text)


if __name__ == '__main__':
    unittest.main()
