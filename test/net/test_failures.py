"""Tests of the descriptions of failed HTTP calls."""

import socket

import urllib3
from testtools import TestCase
from urllib3.exceptions import HTTPError

from almondshore.net.failures import describe_failure


class DescribeFailureTest(TestCase):
    def failure(self, listener, **options):
        url = "http://{}:{}/".format(*listener.getsockname())
        with urllib3.PoolManager(retries=False, **options) as pool:
            return describe_failure(self.assertRaises(HTTPError, pool.request, "GET", url))

    def test_texts_of_the_library_are_not_shown(self):
        """Guards against error messages that name urllib3's classes instead of the cause."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            self.assertEqual("connection refused", self.failure(listener))
            listener.listen()
            self.assertEqual("timed out", self.failure(listener, timeout=0.05))

    def test_an_unknown_error_keeps_its_text(self):
        """Guards against an error of another type whose message is lost."""
        self.assertEqual("ValueError: bad port", describe_failure(ValueError("bad port")))
