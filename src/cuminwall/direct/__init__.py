"""Direct service: every instance connects to every backend server itself.

It is for backend servers that fence themselves: a replaced primary refuses
writes and every statement of a plain transaction. Such servers need neither
homes nor write leases, so one instance serves a session from its first
statement to its last. This package is independent of wire formats: the codecs
for callers and backend servers are part of the platform's adapter.
"""
