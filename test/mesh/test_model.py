"""Tests of the lookup of routes."""

from testtools import TestCase

from almondshore.mesh.model import RouteTable
from test.mesh.samples import route


class RouteTableTest(TestCase):
    def match(self, prefixes, path, host="h.example"):
        routes = [route(name=prefix, prefix=prefix) for prefix in prefixes]
        found = RouteTable(routes=routes).match(host, path)
        return found.name if found is not None else None

    def test_longest_prefix_matches(self):
        """Guards against a request that gets to the service of a shorter prefix."""
        for prefixes in (("/", "/a/", "/a/b/"), ("/a/b/", "/a/", "/")):
            self.assertEqual("/a/b/", self.match(prefixes, "/a/b/c/d"))
            self.assertEqual("/a/b/", self.match(prefixes, "/a/b/"))
            self.assertEqual("/a/", self.match(prefixes, "/a/bb"))
            self.assertEqual("/", self.match(prefixes, "/x/b/"))

    def test_nothing_matches_another_host_or_a_part_of_a_prefix(self):
        """Guards against requests that are forwarded though no route allows them."""
        self.assertIs(None, self.match(("/a/",), "/a"))
        self.assertIs(None, self.match(("/a/",), "/ab/"))
        self.assertIs(None, self.match(("/a/",), "/a/", host="other.example"))
