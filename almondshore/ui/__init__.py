"""The almondshore command-line tool."""
