"""Tests that what an operator wrote is kept, or refused, but not changed."""

import unittest

from cuminwall import consoleforms, consolesections, document
from tests.documents import sample

SECTIONS = {section.name: section for section in consolesections.SECTIONS}


class FormTest(unittest.TestCase):
    """The forms of the console."""

    def test_unmodified_form_trims_a_host(self):
        value = sample()
        value["services"]["billing"]["servers"]["a"]["host"] = " db1\t"
        checked = document.check(value)
        section = SECTIONS["servers"]
        form = {}
        for row in consoleforms.make_rows(section, checked):
            for column in section.columns:
                form[f"{row.key}|{column.name}"] = consoleforms.format_value(
                    column, row.values.get(column.name)
                )
        filled = consoleforms.apply_form(section, checked, form)
        self.assertEqual(filled.document, checked)


if __name__ == "__main__":
    unittest.main()
