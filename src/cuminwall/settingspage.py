"""Writes the operators' page of settings from the table of settings."""

from cuminwall.settingstable import REQUIRED, TABLE, Setting

INTRODUCTION = """\
# Settings of cuminwalld

The daemon reads one file of JSON with comments, named by `--settings`. It is
checked as a whole: every fault is printed with its place, what stands there
and what is expected, and the daemon does not start. A setting that the daemon
does not know is a fault. This page is written by
`cuminctl settings --doc`; change `settingstable.py`, not the page.

```json
{
  // What has no default.
  "zone": "sediu",
  "peers": {"host": "127.0.0.1", "secret": "the same on every instance"},
  "platform": {"endpoint": "http://127.0.0.1:2379"},
  // Own credentials for a service, before those of the configuration.
  "credentials": {"billing": {"password_env": "BILLING_PASSWORD"}},
}
```
"""
CREDENTIALS = """\
## credentials

By the name of a service: `user`, and `password` or `password_env` (the name
of an environment variable). Each goes before what the configuration says, so
that the password need not stand in the platform's store.
"""
TABLE_HEAD = """\
| setting | default | unit | bounds | meaning |
| --- | --- | --- | --- | --- |
"""


def write() -> str:
    """Returns the page in Markdown."""
    text = INTRODUCTION
    section = None
    for setting in TABLE:
        if setting.section != section:
            section = setting.section
            text += f"\n## {section or 'the top of the file'}\n\n{TABLE_HEAD}"
        text += _row(setting)
    return f"{text}\n{CREDENTIALS}"


def _row(setting: Setting) -> str:
    """Returns the row of one setting."""
    cells = [
        f"`{setting.name}`",
        _default(setting),
        setting.unit,
        _bounds(setting),
        setting.meaning,
    ]
    return "| " + " | ".join(cells) + " |\n"


def _default(setting: Setting) -> str:
    """Returns the default as the operator would write it."""
    if setting.default is REQUIRED:
        return "required"
    if setting.kind is str:
        return f'`"{setting.default}"`'
    return (
        f"{setting.default:g}"
        if setting.kind is float
        else f"{setting.default}"
    )


def _bounds(setting: Setting) -> str:
    """Returns what values are allowed."""
    if setting.choices:
        return ", ".join(setting.choices)
    if setting.kind is str:
        return ""
    return f"{setting.minimum} to {setting.maximum}"
