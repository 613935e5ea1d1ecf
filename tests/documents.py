"""A sample document shared by several tests."""

import copy
from typing import Any

VERIFIER = (
    "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$"
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:"
    "BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBA="
)
SAMPLE: dict[str, Any] = {
    "zones": {"sediu": {}, "ghiseu-nord": {"state": "serving"}},
    "workspaces": {
        "clerks": {"rate": 50, "burst": 100},
        "crews": {
            "rate": 5.5,
            "burst": 10,
            "services": ["billing"],
            "keys_grace_s": 30,
        },
    },
    "services": {
        "billing": {
            "database": "billing",
            "user": "cuminwall",
            "password": "backend secret",
            "connections_per_server": 20,
            "servers": {
                "a": {"host": "127.0.0.1", "port": 5432, "zone": "sediu"},
                "b": {
                    "host": "127.0.0.2",
                    "port": 5432,
                    "zone": "ghiseu-nord",
                    "state": "out",
                },
            },
        },
        "orders": {
            "database": "orders",
            "user": "cuminwall",
            "password_env": "ORDERS_PASSWORD",
            "connections_per_server": 2,
            "slots": 2,
            "acknowledge": "primary",
            "servers": {
                "a": {"host": "127.0.0.1", "port": 5433, "zone": "sediu"}
            },
        },
    },
    "keys": {"clerks-1": {"workspace": "clerks", "verifier": VERIFIER}},
    "rules": [
        {"service": "billing", "workspace": "*", "max_age_s": 60},
        {
            "service": "billing",
            "workspace": "*",
            "tables": ["payments", "audit.meters"],
            "max_age_s": 0,
        },
        {
            "service": "billing",
            "workspace": "crews",
            "tables": ["meters"],
            "max_age_s": 600,
        },
    ],
    "open_routes": [{"service": "billing", "tables": ["notices"]}],
}


def sample() -> dict[str, Any]:
    """Returns a new valid document."""
    return copy.deepcopy(SAMPLE)
