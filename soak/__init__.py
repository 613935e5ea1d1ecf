"""Runs instances as processes, in real time, against stand-ins that fail.

The stand-ins are a metadata store, backend servers, an operator and callers.
Callers and backend servers check while it runs that each statement is handled
by a configuration that may still be in force.
"""
