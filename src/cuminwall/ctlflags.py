"""The flags of `cuminctl`."""

import getpass
import os

from absl import flags

DEFAULT_ENDPOINT = "http://127.0.0.1:2379"
DEFAULT_HTTP_PORT = 9432
DEFAULT_TIMEOUT_S = 5.0
DEFAULT_WAIT_S = 60.0
DEFAULT_HISTORY_COUNT = 20
ENDPOINT_VARIABLE = "CUMINWALL_ENDPOINT"


def make_flags() -> flags.FlagValues:
    """Returns the flags with their defaults, apart from any program's own."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_string(
        "endpoint",
        os.environ.get(ENDPOINT_VARIABLE, DEFAULT_ENDPOINT),
        "The URL of the platform's key-value service and instance list.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "zone", "", "The availability zone of this call.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s",
        DEFAULT_TIMEOUT_S,
        "How long one call may take, in seconds.",
        lower_bound=0.01,
        flag_values=values,
    )
    flags.DEFINE_string(
        "author",
        _user_name(),
        "Who makes the change, for the history.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "base",
        None,
        "apply: the version that the file is based on, before the file's own.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_bool(
        "secrets", False, "show: print passwords too.", flag_values=values
    )
    flags.DEFINE_integer(
        "count",
        DEFAULT_HISTORY_COUNT,
        "history: how many versions.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_bool(
        "wait",
        False,
        "key, zone, server, apply: wait until every instance has the version.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_s",
        DEFAULT_WAIT_S,
        "How long --wait waits, in seconds.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "http_port",
        DEFAULT_HTTP_PORT,
        "The port of the instances for their status.",
        lower_bound=1,
        upper_bound=65535,
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "status: print JSON.", flag_values=values)
    flags.DEFINE_bool(
        "doc",
        False,
        "settings: print the page of settings.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "port",
        0,
        "console: the port on 127.0.0.1; 0 lets the system choose.",
        lower_bound=0,
        upper_bound=65535,
        flag_values=values,
    )
    return values


def _user_name() -> str:
    """Returns the name of the user of this machine, or "unknown"."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
