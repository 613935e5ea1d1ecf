"""Programs for contributors: the demonstration and the test runner."""
