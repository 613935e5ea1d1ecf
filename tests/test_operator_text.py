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

    def test_text_becomes_a_number_that_is_not_finite(self):
        base = document.normalize(sample())
        for text in ("nan", "inf", "-Infinity", "1e999"):
            with self.subTest(text):
                form = {"clerks|rate": text}
                filled = consoleforms.apply_form(
                    SECTIONS["workspaces"], base, form
                )
                (fault,) = document.check(filled.document)
                self.assertEqual(fault.path, ("workspaces", "clerks", "rate"))
                rate = filled.document["workspaces"]["clerks"]["rate"]
                self.assertEqual(rate, text)

    def test_long_number_is_changed(self):
        base = document.normalize(sample())
        form = {"clerks|rate": "9" * 400}
        filled = consoleforms.apply_form(SECTIONS["workspaces"], base, form)
        rate = filled.document["workspaces"]["clerks"]["rate"]
        self.assertEqual(str(rate), "9" * 400)


if __name__ == "__main__":
    unittest.main()
