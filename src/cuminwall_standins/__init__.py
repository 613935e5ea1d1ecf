"""Small replacements for the outside systems that cuminwall talks to."""
