"""Measuring programs: load, baselines and slopes."""
