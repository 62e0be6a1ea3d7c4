"""Tests of the log stream when its reader is slow, goes away or comes back."""

import os
import sys
import traceback
from unittest import mock

from testtools import TestCase

from almondshore.core.bounded_stream import BoundedStream, ErrorOutput


class BoundedStreamTest(TestCase):
    def pipe(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        return read_end, write_end

    def test_lines_are_kept_while_nobody_reads(self):
        """Guards against a writer that blocks, and against a backlog without a bound."""
        read_end, write_end = self.pipe()
        self.addCleanup(os.close, read_end)
        stream = BoundedStream(descriptor=write_end, max_bytes=400_000)
        for _ in range(5000):
            stream.write("x" * 99 + "\n")
        self.assertFalse(stream.drain())
        self.assertEqual((1000, ""), (stream.total_dropped, stream.lost))
        self.assertTrue(stream.size <= 400_000)

    def test_end_of_the_reader_is_no_error(self):
        """Guards against a process that ends because the reader of its log has ended."""
        read_end, write_end = self.pipe()
        os.close(read_end)
        stream = BoundedStream(descriptor=write_end)
        stream.write("a\n")
        self.assertFalse(stream.drain())
        self.assertIn("Broken pipe", stream.lost)

    def test_closed_descriptor_is_no_error(self):
        """Guards against a process that ends because its standard output was closed."""
        for descriptor in (-1, 987):
            stream = BoundedStream(descriptor=descriptor)
            stream.write("a\n")
            self.assertFalse(stream.drain())
            self.assertNotEqual("", stream.lost)

    def test_output_that_returns_is_reported_once(self):
        """Guards against an unexplained gap in the log after its disk was full."""
        read_end, write_end = self.pipe()
        self.addCleanup(os.close, read_end)
        stream = BoundedStream(descriptor=write_end)
        stream.write("a\n")
        with mock.patch.object(os, "write", side_effect=OSError(28, "No space left on device")):
            self.assertFalse(stream.drain())
        self.assertTrue(stream.drain())
        lines = os.read(read_end, 65536).decode().splitlines()
        self.assertEqual("a", lines[0])
        self.assertIn("event=log_output_restored", lines[1])
        self.assertEqual((2, ""), (len(lines), stream.lost))

    def test_errors_of_the_interpreter_become_events(self):
        """Guards against a traceback that ends the process because nobody reads it."""
        stream = BoundedStream(descriptor=-1)
        with mock.patch.object(sys, "stderr", ErrorOutput(stream=stream)):
            try:
                raise ValueError("x")
            except ValueError:
                traceback.print_exc()
        self.assertTrue(len(stream.lines) >= 3)
        self.assertTrue(all(b"event=error_output" in line for line in stream.lines))
