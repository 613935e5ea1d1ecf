"""Decisions under load, without connections, clock or random numbers."""
