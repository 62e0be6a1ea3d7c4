"""The directory of targets and the detection of failed nodes."""
