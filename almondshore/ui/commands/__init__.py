"""The commands of the tool, one module each."""
