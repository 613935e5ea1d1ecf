"""Measures what a change of the configuration costs an instance."""

from typing import Any

from bench import fits, fleets
from cuminwall import confighead, configparts, configuration, events

SERVICES = (590, 1475, 2950, 5900)
SERVICES_PER_MEMBER = 2
KEYS_PER_SERVICE = 3
SERVICES_PER_WORKSPACE = 2
WRITE_ID = "first"


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    points: dict[str, list[tuple[float, float]]] = {}
    for services in SERVICES:
        for name, value in _measure_size(services).items():
            points.setdefault(name, []).append((services, value))
    slopes = []
    for name, values in points.items():
        unit = "bytes" if name.endswith(("bytes", "memory")) else "s"
        slopes.append(fits.fit(name, unit, "services", values))
    return slopes


def make_snapshot(services: int) -> confighead.Snapshot:
    """Returns the snapshot of a document of the given size."""
    value = fleets.make_document(
        services,
        services // SERVICES_PER_WORKSPACE,
        services * KEYS_PER_SERVICE,
    )
    return _make_snapshot_of(value, WRITE_ID, None)[0]


def _make_snapshot_of(
    value: Any, write_id: str, previous: confighead.Snapshot | None
) -> tuple[confighead.Snapshot, int]:
    """Returns a snapshot of a document and the bytes to fetch for it.

    Parts that `previous` holds already are not fetched.
    """
    texts = configparts.split(value)
    references = {}
    for name, text in texts.items():
        reference = confighead.make_reference(text, WRITE_ID)
        if previous is None or previous.head.references[name] != reference:
            reference = confighead.make_reference(text, write_id)
        references[name] = reference
    change = confighead.make_change(1, "ops", 0.0, write_id, (), ())
    head = confighead.Head(change, references, 1)
    known_texts = {} if previous is None else previous.contents
    missing = confighead.missing_parts(head, known_texts)
    new_texts = {key: texts[name] for key, name in missing.items()}
    snapshot = confighead.assemble(head, new_texts, previous)
    assert snapshot is not None
    size = len(confighead.encode_head(head)) + sum(map(len, new_texts.values()))
    return snapshot, size


def _with_key(snapshot: confighead.Snapshot) -> Any:
    """Returns the document of a snapshot with one more key."""
    value: Any = dict(snapshot.document)
    entry = {"workspace": "space-00000", "verifier": fleets.VERIFIER}
    value["keys"] = {**value["keys"], "key-new": entry}
    return value


def _measure_size(services: int) -> dict[str, float]:
    """Returns each figure for one size of the document."""
    snapshot = make_snapshot(services)
    version = iter(range(2, 10_000))
    config = configuration.parse(snapshot.document, 1)
    changed, changed_bytes = _make_snapshot_of(
        _with_key(snapshot), "second", snapshot
    )
    head_bytes = len(confighead.encode_head(changed.head))
    new_texts = {}
    for key in confighead.missing_parts(changed.head, snapshot.contents):
        new_texts[key] = changed.texts[key]
    head_text = confighead.encode_head(changed.head)
    previous = snapshot.document, config
    home = fleets.make_home(services, services // SERVICES_PER_MEMBER)

    def assemble() -> None:
        head = confighead.decode_head(head_text)
        confighead.assemble(head, new_texts, snapshot)

    def apply() -> None:
        changed_config = config._replace(version=next(version))
        fleets.feed(home, events.ConfigLoaded(home.now, changed_config))

    return {
        "document_bytes": float(sum(map(len, snapshot.texts.values()))),
        "head_bytes": float(head_bytes),
        "one_key_bytes": float(changed_bytes),
        "assemble_change": fits.cpu_s(assemble),
        "parse_whole": fits.cpu_s(
            lambda: configuration.parse(snapshot.document, 1)
        ),
        "parse_change": fits.cpu_s(
            lambda: configuration.parse(changed.document, 2, previous)
        ),
        "config_taken": fits.cpu_s(apply),
        "snapshot_memory": float(
            fits.memory_bytes(lambda: make_snapshot(services))
        ),
        "config_memory": float(
            fits.memory_bytes(lambda: configuration.parse(snapshot.document, 1))
        ),
    }
