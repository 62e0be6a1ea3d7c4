"""The rules language: parsing, checking and compiling an operator's rules file."""
