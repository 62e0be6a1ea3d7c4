"""Clock, messages, codec, findings and errors shared by all packages."""
