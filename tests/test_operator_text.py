"""Tests that what an operator wrote is kept, or refused, but not changed."""

import unittest

import hypothesis
from hypothesis import strategies as st

from cuminwall import (
    configparts,
    consoleforms,
    consolesections,
    document,
    jsontext,
    operatorfile,
)
from cuminwall.redaction import HIDDEN
from tests.documents import sample

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=50
)
PIECES = st.one_of(
    st.sampled_from(["  ", " ", "\t", "\n", "'", '"', "\\", "/", "\u00a0"]),
    st.characters(exclude_categories=("Cs",)),
)
TEXTS = (
    st.lists(PIECES, min_size=1, max_size=12)
    .map("".join)
    .filter(lambda text: text != HIDDEN)
)
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


class FileTest(unittest.TestCase):
    """The text of a file for cuminctl."""

    def test_comment_makes_an_escaped_character_two_halves(self):
        text = (
            '{"a\\ud83d\\ude00": ["\\ud83d\\ude00 x", {"b": "\\ud83d\\ude00"}]}'
        )
        expected = {"a\U0001f600": ["\U0001f600 x", {"b": "\U0001f600"}]}
        for comment in ("", " // c"):
            with self.subTest(comment):
                found = jsontext.read(text + comment)
                self.assertEqual(found, jsontext.ParsedText(expected))

    def test_half_a_character_is_accepted_and_cannot_be_stored(self):
        for comment in ("", " // c"):
            for half in ("\\ud83d", "x\\ude00", "\\ude00\\ud83d"):
                text = f'{{"a": ["{half}"], "{half}": 1}}'
                with self.subTest(text + comment):
                    faults = jsontext.read(text + comment)
                    self.assertIsInstance(faults, list)
                    self.assertEqual(len(faults), 2)
                    self.assertEqual(faults[0].path, ("a", 0))
                    for fault in faults:
                        str(fault).encode()


def any_document(host, user, database, password):
    """Returns a valid document with these texts."""
    value = sample()
    service = value["services"]["billing"]
    service["servers"]["a"]["host"] = host
    service |= {"user": user, "database": database, "password": password}
    checked = document.check(value)
    assert isinstance(checked, dict), checked
    return checked


class TextTest(unittest.TestCase):
    """Texts of any characters in the document."""

    @SETTINGS
    @hypothesis.given(st.tuples(TEXTS, TEXTS, TEXTS, TEXTS))
    def test_text_changes_in_the_file(self, texts):
        value = any_document(*texts)
        written = operatorfile.write(value, 3, with_secrets=True)
        read = operatorfile.read(written)
        self.assertEqual(read, operatorfile.OperatorFile(value, 3))
        read = operatorfile.read(written + " // edited by hand")
        self.assertEqual(read, operatorfile.OperatorFile(value, 3))

    @SETTINGS
    @hypothesis.given(st.tuples(TEXTS, TEXTS, TEXTS, TEXTS))
    def test_text_changes_in_the_store(self, texts):
        value = any_document(*texts)
        parts = []
        for name, text in configparts.split(value).items():
            parts.append((name, configparts.decode(text)))
        self.assertEqual(configparts.join(parts), value)

    @SETTINGS
    @hypothesis.given(TEXTS)
    def test_another_form_than_that_of_servers_changes_a_text(self, text):
        value = any_document(text, text, text, text)
        for section in consolesections.SECTIONS:
            filled = consoleforms.apply_form(section, value, {})
            self.assertEqual(filled.document, value)


if __name__ == "__main__":
    unittest.main()
