"""Transport of control messages between nodes."""
