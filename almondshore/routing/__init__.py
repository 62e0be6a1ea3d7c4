"""Choice of route and target for a request."""
