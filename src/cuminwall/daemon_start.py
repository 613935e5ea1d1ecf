"""Starts cuminwalld, the daemon, which holds signals before it is imported."""

from cuminwall import process_signals


def run() -> None:
    """The entry point of the `cuminwalld` program."""
    process_signals.hold()
    # Takes a good part of a second.
    from cuminwall import daemon

    daemon.run()


if __name__ == "__main__":
    run()
