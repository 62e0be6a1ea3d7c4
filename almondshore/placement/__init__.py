"""Where requests go: costs, evacuations and cold targets."""
