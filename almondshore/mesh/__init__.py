"""The request path between hosts, and the state it needs: targets, routes and rollouts."""
