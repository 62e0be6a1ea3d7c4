"""Tests of the node process on the platform: start, settings, signals and stop."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from almondshore.core.errors import InvalidInputError
from almondshore.mesh.settings import load_mesh_settings
from almondshore.platform.bounds import decode_bounds
from standins.addresses import allocate_address, format_address
from standins.mesh_deployment import listen_addresses

BOUNDS = "drain_s=1,grace_s=3,retry_budget_ratio=0.2,budget_window_s=10,budget_min_retries=56"


def settings_text(**changes):
    values = listen_addresses().items()
    listen = "".join(f"  {name}: {host}:{port}\n" for name, (host, port) in values)
    text = (
        f"node: n1\nzone: a\nservice: s\n"
        f"app: {format_address(allocate_address())}\nlisten:\n{listen}"
        f"store: {format_address(allocate_address())}\nlink_mbps: 100.0\nmemory_mb: 300\n"
        f'first_start: false\nbounds: "{BOUNDS}"\n'
    )
    for old, new in changes.values():
        text = text.replace(old, new)
    return text


def address_of(text, listener):
    """Return the address of a listener in the text of the settings."""
    line = next(line for line in text.splitlines() if line.strip().startswith(f"{listener}:"))
    host, _, port = line.split(": ")[1].rpartition(":")
    return host, int(port)


def readiness(address):
    """Return the status of a readiness check."""
    connection = http.client.HTTPConnection(*address, timeout=2)
    try:
        connection.request("GET", "/readiness")
        return connection.getresponse().status
    finally:
        connection.close()


class SettingsTest(TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.yaml"
            path.write_text(text)
            return load_mesh_settings(path, decode_bounds)

    def test_template_and_settings_have_the_same_keys(self):
        """Guards against a settings template with which processes do not start."""
        root = Path(__file__).parents[2]
        keys = [line.split(":")[0].strip() for line in settings_text().splitlines()]
        template = (root / "deploy" / "settings.yaml").read_text().splitlines()
        template_keys = [
            line.split(":")[0].strip() for line in template if not line.startswith("#")
        ]
        self.assertEqual(keys, template_keys)
        self.assertEqual("n1", self.load(settings_text()).node)

    def test_all_findings_are_reported_with_their_position(self):
        """Guards against settings errors that are reported only one at a time."""
        text = settings_text(a=("zone: a", "zone: [a]"), b=("drain_s=1", "drain_s=x"))
        error = self.assertRaises(InvalidInputError, self.load, text + "surplus: 1\n")
        codes = {finding.code for finding in error.findings}
        self.assertEqual({"wrong-type", "malformed", "unknown-key"}, codes)
        self.assertTrue(all(finding.line > 0 for finding in error.findings))


class ProcessTest(TestCase):
    def start(self, text, *arguments, **options):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.yaml"
        self.path.write_text(text)
        self.log = Path(folder.name) / "log"
        with self.log.open("w") as out:
            process = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", "almondshore.platform.main", *arguments],
                env={**os.environ, "ALMONDSHORE_SETTINGS": str(self.path)},
                **{"stdout": out, "stderr": subprocess.STDOUT} | options,
                start_new_session=True,
            )
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        if process.poll() is None:
            process.kill()
        process.wait()

    def wait_for(self, text, seconds=10.0):
        until = time.monotonic() + seconds
        while text not in self.log.read_text():
            self.assertTrue(time.monotonic() < until, self.log.read_text())
            time.sleep(0.05)

    def test_process_logs_start_reloads_and_stop(self):
        """Guards against a process that ignores signals, or stops without a log event."""
        process = self.start(settings_text())
        self.wait_for("event=node_started")
        process.send_signal(signal.SIGHUP)
        self.wait_for("event=settings_reloaded changed=nothing")
        self.path.write_text(self.path.read_text().replace("drain_s=1", "drain_s=2"))
        self.wait_for("event=settings_reloaded changed=bounds")
        self.path.write_text("nonsense")
        self.wait_for("event=settings_refused")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(timeout=5))
        self.wait_for("event=node_stopping")
        self.wait_for("event=node_stopped")

    def test_reload_during_the_start_does_not_end_the_process(self):
        """Guards against a process killed by a signal before its handlers are installed."""
        process = self.start(settings_text())
        for _ in range(30):
            time.sleep(0.02)
            if process.poll() is None and _has_python_started(process.pid):
                process.send_signal(signal.SIGHUP)
        self.wait_for("event=node_started")
        self.assertIs(None, process.poll())

    def test_process_outlives_the_reader_of_its_log(self):
        """Guards against a node that ends, with its requests, when its log reader does."""
        read_end, write_end = os.pipe()
        process = self.start(settings_text(), stdout=write_end, stderr=write_end)
        os.close(write_end)
        log = b""
        while b"event=node_started" not in log:
            log += os.read(read_end, 65536)
        os.close(read_end)
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
        self.assertIs(None, process.poll())
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(timeout=5))

    def test_process_starts_without_standard_descriptors(self):
        """Guards against a log that is written to the connection of a peer."""
        command = 'exec "$@" <&- >&- 2>&-'
        program = (sys.executable, "-W", "ignore", "-m", "almondshore.platform.main")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "node.yaml"
        path.write_text(settings_text())
        process = subprocess.Popen(
            ["sh", "-c", command, "sh", *program],
            env={**os.environ, "ALMONDSHORE_SETTINGS": str(path)},
            start_new_session=True,
        )
        self.addCleanup(self.end, process)
        time.sleep(2.0)
        self.assertIs(None, process.poll())
        opened = {os.readlink(f"/proc/{process.pid}/fd/{number}") for number in range(3)}
        self.assertEqual({os.devnull}, opened)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(timeout=5))

    def test_start_waits_for_a_port_that_is_in_use(self):
        """Guards against a node that ends because a port is still held by another process."""
        text = settings_text()
        ready, control = (address_of(text, name) for name in ("ready", "control"))
        with socket.create_server(control):
            process = self.start(text)
            self.wait_for("event=listener_waits listener=control")
            self.assertEqual(503, readiness(ready))
            self.assertNotIn("event=node_started", self.log.read_text())
            time.sleep(0.5)
            self.assertIs(None, process.poll())
        self.wait_for("event=node_started")

    def test_settings_are_checked_without_a_start(self):
        """Guards against invalid settings that are noticed only when a host restarts."""
        process = self.start(settings_text(), "--check")
        self.assertEqual(0, process.wait(timeout=10))
        self.assertIn("no findings", self.log.read_text())

    def test_wrong_settings_end_the_process_with_all_findings(self):
        """Guards against a process that runs although its settings are invalid."""
        process = self.start("node: n1\nzone: 5\n")
        self.assertEqual(2, process.wait(timeout=10))
        self.assertIn("zone", self.log.read_text())
        self.assertEqual(2, self.start("node: n1\n", "--check").wait(timeout=10))
        self.assertIn("service has no default", self.log.read_text())


def _has_python_started(pid):
    """Return whether a process ignores or handles SIGHUP, as it does from its first lines on."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = [line.split()[1] for line in status.splitlines() if line[:6] in ("SigIgn", "SigCgt")]
    return any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks)
