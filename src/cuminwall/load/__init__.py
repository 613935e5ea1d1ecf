"""Decisions under load: whose turn it is, and what is not worth waiting for.

Pure functions and small state. Nothing here knows connections or messages,
reads a clock or draws random numbers; times and names come as arguments.
"""
