"""The almondshored process: settings, logs, metrics and wiring."""
