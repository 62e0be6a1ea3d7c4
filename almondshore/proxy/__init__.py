"""The two proxy hops of a request."""
