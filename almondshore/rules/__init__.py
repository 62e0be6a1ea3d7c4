"""Rules language: parses, checks and compiles the rules files that operators write."""
