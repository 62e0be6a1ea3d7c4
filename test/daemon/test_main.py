"""Tests of the daemon as a process."""

import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml
from testtools import TestCase

from standins.addresses import allocate_addresses, format_address

LISTENERS = ("caller", "internal", "peer", "control", "admin")


class ListenTest(TestCase):
    def run_daemon(self, listen):
        """Run the daemon until it exits; return its exit code and the lines of its log."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name) / "node.yaml"
        platform = {"url": "http://127.0.0.1:9"}
        settings = {"node": "n", "zone": "z", "listen": listen, "platform": platform}
        file.write_text(yaml.safe_dump(settings))
        command = ["-W", "ignore", "-m", "almondshore.daemon.main", "--settings", str(file)]
        completed = subprocess.run(
            [sys.executable, *command], capture_output=True, text=True, timeout=30
        )
        return completed.returncode, completed.stderr.splitlines()

    def test_address_in_use_is_logged_on_one_line(self):
        """Guards against a traceback, or a process that keeps running without all listeners."""
        for key in ("control", "admin", "internal"):
            listen = dict(
                zip(LISTENERS, map(format_address, allocate_addresses(len(LISTENERS))), strict=True)
            )
            host, _, port = listen[key].rpartition(":")
            with socket.create_server((host, int(port))):
                code, lines = self.run_daemon(listen)
            self.assertEqual((1, 1), (code, len(lines)), lines)
            expected = f'level=ERROR event=listen_failed address={listen[key]} error="address '
            self.assertIn(expected, lines[0])
