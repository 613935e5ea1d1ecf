"""Tests of cuminwall, one module for each subject."""
