"""Direct service: every instance speaks to every backend server itself.

It is for backend servers that fence themselves: a replaced primary refuses
writes and every statement of a plain transaction. Such servers need neither
homes nor write leases, so a session stays on its instance from its first
statement to its last. Nothing here knows a wire format: the codecs that
callers and backend servers speak stand outside.
"""
