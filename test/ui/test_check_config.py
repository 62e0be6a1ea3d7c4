"""Tests of ``check`` for configurations of the platform."""

import json

import msgspec

from test.platform.test_documents import CONFIG
from test.ui.tooltest import ToolTest

KEY = "SECRET"
TENANTS = {"alice": {"api_keys": [f"{KEY}-1"], "rate_per_s": 5, "burst": 10}}


class CheckConfigTest(ToolTest):
    def write(self, config, name="config.json"):
        return self.write_rules(json.dumps(config, indent=1), name)

    def change(self, kind, name, **changes):
        """Return the sample configuration with changes in one entry."""
        entry = {**CONFIG[kind].get(name, CONFIG["routes"]["r1"]), **changes}
        return {**CONFIG, kind: {**CONFIG[kind], name: entry}}

    def check(self, config, *options):
        """Check a configuration; return the exit code and the output without the file's name."""
        file = self.write(config)
        code, out, err = self.run_tool("check", file, *options, url="")
        self.assertNotIn(KEY, out + err)
        return code, out.replace(f"{file}:", "")

    def codes(self, config, *options):
        code, out = self.check(config, "--json", *options)
        return code, sorted(item["code"] for item in json.loads(out)["findings"])

    def test_configuration_without_findings(self):
        """Guards against findings in a configuration that works."""
        self.assertEqual((0, " version 0000000c, no findings\n"), self.check(CONFIG, "--strict"))
        config = {**CONFIG, "tenants": TENANTS}
        self.assertEqual((0, []), self.codes(config, "--slots", "s1=9", "--slots", "s2=9"))

    def test_errors_of_routes(self):
        """Guards against routes that never match or never work."""
        self.assertEqual((2, ["duplicate-prefix"]), self.codes(self.change("routes", "r9")))
        for expected, changes in (
            ("duplicate-prefix", {"hostname": "h.EXAMPLE", "path_prefix": "/a/b/"}),
            ("impossible-prefix", {"path_prefix": "a/"}),
            ("empty-host", {"hostname": ""}),
            ("unknown-service", {"service": "s9"}),
            ("zero-weights", {"weighted_clusters": [{"service": "s1", "weight": 0}]}),
            ("negative-weight", {"weighted_clusters": [{"service": "s1", "weight": -1}]}),
            ("zero-timeout", {"timeout_s": 0}),
            ("zero-objective", {"target_latency_s": 0}),
            ("no-attempts", {"max_attempts": 0}),
            ("malformed", {"timeout_s": "1"}),
        ):
            config = self.change("routes", "r1", **changes)
            self.assertEqual((2, [expected]), self.codes(config), expected)

    def test_warnings(self):
        """Guards against a pipeline that stops at a warning, or passes one that it must not."""
        for expected, config in (
            ("timeout-below-objective", self.change("routes", "r1", timeout_s=0.5)),
            ("unknown-route-type", self.change("routes", "r1", route_type="odd")),
            ("unknown-member", self.change("routes", "r1", timeout=3)),
            ("unused-service", self.change("services", "s3", **CONFIG["services"]["s1"])),
            ("warmup-without-rate", self.change("services", "s2", warmup_s=3)),
            ("tenant-without-keys", {**CONFIG, "tenants": {"bob": {}}}),
        ):
            if expected == "unused-service":
                config["services"]["s3"] = {}
            self.assertEqual((0, [expected]), self.codes(config), expected)
            self.assertEqual((1, [expected]), self.codes(config, "--strict"), expected)

    def test_findings_of_tenants(self):
        """Guards against a key at two tenants, contradictory quotas, and shown keys."""
        for code, expected, tenant in (
            (2, "key-of-two-tenants", {"api_keys": [f"{KEY}-2", f"{KEY}-1"]}),
            (2, "empty-key", {"api_keys": [""]}),
            (0, "repeated-key", {"api_keys": [f"{KEY}-2", f"{KEY}-2"]}),
            (2, "burst-below-one", {"api_keys": [f"{KEY}-2"], "rate_per_s": 3, "burst": 0.5}),
            (0, "burst-below-one", {"api_keys": [f"{KEY}-2"], "rate_per_s": 3}),
            (0, "burst-without-rate", {"api_keys": [f"{KEY}-2"], "burst": 3}),
            (2, "negative-quota", {"api_keys": [f"{KEY}-2"], "rate_per_s": -3}),
            (2, "malformed", {"api_keys": [f"{KEY}-2", 5]}),
            (2, "malformed", {"api_keys": f"{KEY}-2"}),
            (2, "malformed", [f"{KEY}-2"]),
            (2, "malformed", {"api_keys": [f"{KEY}-2"], "rate_per_s": f"{KEY}-2"}),
        ):
            config = {**CONFIG, "tenants": {**TENANTS, "bob": tenant}}
            self.assertEqual((code, [expected]), self.codes(config), expected)

    def test_quota_above_the_capacity_of_the_slots(self):
        """Guards against a quota that can never be used up."""
        config = {**CONFIG, "tenants": TENANTS}
        slots = ("--slots", "s1=1", "--slots", "s2=1")
        self.assertEqual((0, ["quota-above-capacity"]), self.codes(config, *slots))
        self.assertEqual((0, []), self.codes(config, *slots[:2]))
        for value in ("s1", "=3", "s1=x", "s1=-1"):
            self.assertEqual(2, self.check(config, "--slots", value)[0])

    def test_findings_have_their_place(self):
        """Guards against findings that cannot be found in a file of thousands of lines."""
        text = json.dumps(self.change("routes", "r2", max_attempts=0, timeout_s="x"), indent=1)
        lines = text.splitlines()
        file = self.write_rules(text, "config.json")
        _, out, _ = self.run_tool("check", file, url="")
        number = next(i for i, line in enumerate(lines) if '"timeout_s": "x"' in line)
        column = lines[number].index('"') + 1
        place = f"{file}:{number + 1}:{column}: malformed: routes.r2.timeout_s: "
        self.assertTrue(out.startswith(place), out)

    def test_malformed_documents(self):
        """Guards against a traceback, or a key in the message of a decoder."""
        raw = msgspec.json.encode({**CONFIG, "tenants": TENANTS}).decode()
        repeated = raw.replace('"routes":{', '"routes":{"r1":{},', 1)
        for text, expected in (
            (raw[:-9], "malformed"),
            ('{"a":' * 5000, "malformed"),
            ("[]", "malformed"),
            ("", "malformed"),
            ("{}", "malformed"),
            ("\ufeff{}", "malformed"),
            (repeated, "repeated-member"),
            (raw.replace("0000000c", "xyz"), "version: the version is not a hexadecimal number"),
            (raw.replace('"routes":{', '"routes":5,"x":{', 1), "routes: Expected"),
            (raw.replace(f'["{KEY}-1"]', f'{{"{KEY}-1":1,"{KEY}-1":2}}'), "malformed"),
        ):
            file = self.write_rules(text, "config.json")
            code, out, err = self.run_tool("check", file, url="")
            self.assertEqual((2, ""), (code, err), text[:60])
            self.assertIn(expected, out)
            self.assertNotIn(KEY, out)

    def test_difference_from_the_version_in_force(self):
        """Guards against a deployment that changes more than is meant, or that nodes ignore."""
        tenants = {"alice": {**TENANTS["alice"], "api_keys": [f"{KEY}-2"], "burst": 4}, "bob": {}}
        old = self.write({**CONFIG, "tenants": TENANTS}, "old.json")
        new = self.change("routes", "r1", timeout_s=2.5)
        new = {**new, "version": "0000000d", "tenants": tenants, "services": CONFIG["services"]}
        del new["routes"]["r2"]
        code, out = self.check(new, "--against", old)
        self.assertEqual(0, code)
        self.assertEqual(
            [
                "- routes.r2",
                "+ tenants.bob",
                "~ routes.r1: timeout_s 1.2 -> 2.5",
                "~ tenants.alice: keys +1 -1, burst 10.0 -> 4.0",
            ],
            out.splitlines()[-4:],
        )
        for version, findings in (("0000000c", ["version-not-higher"]), ("0000000d", [])):
            config = {**self.change("routes", "r1", timeout_s=2.5), "version": version}
            config["tenants"] = TENANTS
            self.assertEqual((2 if findings else 0, findings), self.codes(config, "--against", old))
        self.assertEqual(2, self.check(new, "--against", self.write({}, "bad.json"))[0])

    def test_options_of_configurations_are_refused_for_rules(self):
        """Guards against a pipeline that believes it has compared two rules files."""
        rules = self.write_rules()
        self.assertEqual(2, self.run_tool("check", rules, "--strict", url="")[0])
