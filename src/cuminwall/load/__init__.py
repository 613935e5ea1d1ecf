"""Decisions under load: pure functions and small state.

Nothing here has connections, messages, a clock or random numbers: times and
identifiers come as arguments. It imports nothing of `cuminwall.direct`.
"""
