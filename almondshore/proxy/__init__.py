"""The two proxy hops of a request: from the caller to the target's node, and to the target."""
