"""Tests of the lookup of routes."""

from testtools import TestCase

from almondshore.routing.table import RouteTable


def route(path, *methods):
    return {
        "methods": list(methods or ("GET",)),
        "path": path,
        "request_class": "routine",
        "once": False,
        "timeout_ms": 1000,
    }


def service(name, *routes):
    return {"name": name, "version": "v1", "routes": list(routes), "move": None, "allowed": {}}


class RouteTableTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table = RouteTable(
            [
                service("fault-desk", route("/schedule/faults"), route("/schedule/f*")),
                service("counter-app", route("/schedule/*"), route("/push/*", "POST", "PUT")),
            ]
        )

    def matched(self, method, path):
        match = self.table.match(method, path)
        return (match.service, match.route["path"]) if match else None

    def test_exact_path_takes_precedence_over_prefixes(self):
        """Guards against a prefix route that takes requests from an exact route."""
        self.assertEqual(
            ("fault-desk", "/schedule/faults"), self.matched("GET", "/schedule/faults")
        )

    def test_longest_prefix_takes_precedence(self):
        """Guards against a match that depends on the order of the rules."""
        self.assertEqual(("fault-desk", "/schedule/f*"), self.matched("GET", "/schedule/f1"))
        self.assertEqual(("counter-app", "/schedule/*"), self.matched("GET", "/schedule/1"))

    def test_route_of_another_method_does_not_match(self):
        """Guards against a route for pushes that also matches reads."""
        self.assertIsNone(self.matched("GET", "/push/1"))
        self.assertEqual(("counter-app", "/push/*"), self.matched("PUT", "/push/1"))

    def test_all_nodes_agree_on_a_path_of_two_services(self):
        """Guards against nodes that send the same path to different services."""
        parts = [service("b", route("/x")), service("a", route("/x"))]
        services = {RouteTable(order).match("GET", "/x").service for order in (parts, parts[::-1])}
        self.assertEqual({"a"}, services)

    def test_lookup_does_not_grow_with_the_number_of_routes(self):
        """Guards against a linear scan over the 13,000 routes that the system is designed for."""
        parts = [service(f"s{n}", *(route(f"/s{n}/r{r}/*") for r in range(5))) for n in range(2600)]
        table = RouteTable(parts)
        self.assertEqual("s2599", table.match("GET", "/s2599/r4/x").service)
        self.assertTrue(len(table.prefix_lengths) < 20)
