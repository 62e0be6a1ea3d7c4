"""Tests of the settings file and its findings."""

from datetime import timedelta
from pathlib import Path

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.errors import InvalidInputError
from almondshore.daemon.settings import FIELDS, load_settings, parse_settings
from almondshore.relay.election import NODES_PER_SLOT

VALID_SETTINGS = {"node": "n1", "zone": "z-1", "platform": {"url": "http://127.0.0.1:7300"}}
VALID_YAML = "node: n1\nzone: z-1\nplatform:\n  url: http://127.0.0.1:7300\n"
INVALID_VALUES = {
    "node": ["", "a b", "a/b", 17, None, ["x"], "x" * 64],
    "zone": ["z/1", True, {}],
    "listen.caller": ["localhost:7400", ":7400", "127.0.0.1", "127.0.0.1:0", "224.0.0.1:1", 7400],
    "listen.internal": ["0.0.0.0:7404", "127.0.0.1:74040"],
    "listen.peer": ["0.0.0.0:7401", "::1:7401", "[::]:7401", "127.0.0.1:65536"],
    "listen.control": ["[fe80::1%eth0]:7402", "127.0.0.1:+1", "127.0.0.1: 1", "256.0.0.1:1"],
    "listen.admin": ["http://127.0.0.1:1", [], None],
    "platform.url": ["127.0.0.1:1", "https://127.0.0.1:1", "http://p:1", "http://127.0.0.1:1/x?y"],
    "platform.timeout_ms": [9, 60001, "2000", 2.5, True],
    "peers": ["127.0.0.1:1", ["127.0.0.1:1", "127.0.0.1:1"], ["h:1"], [None], {"a": 1}],
    "drain_timeout_ms": [-1, None, "2s"],
    "relay.nodes_per_slot": [0, 10**30],
    "limits.tenants": [0, []],
    "log.level": ["info", "LOUD", 3],
}


def findings(data):
    try:
        parse_settings(data if isinstance(data, bytes) else data.encode(), name="node.yaml")
    except InvalidInputError as error:
        return error.findings
    return []


def settings_yaml(values):
    """Return the YAML text of the valid settings with values replaced by dotted key."""
    nested = {
        section: dict(keys) if isinstance(keys, dict) else keys
        for section, keys in VALID_SETTINGS.items()
    }
    for key, value in values.items():
        section, _, name = key.rpartition(".")
        mapping = nested.setdefault(section, {}) if section else nested
        mapping[name] = value
    return yaml.safe_dump(nested)


@st.composite
def invalid_values(draw):
    """Draw an invalid value for each of several keys."""
    keys = draw(
        st.lists(st.sampled_from(sorted(INVALID_VALUES)), min_size=1, max_size=6, unique=True)
    )
    return {key: draw(st.sampled_from(INVALID_VALUES[key])) for key in keys}


class SettingsTest(TestCase):
    def test_default_nodes_per_slot_is_that_of_the_relay_election(self):
        """Guards against relays that serve more nodes than their 14 KB/s allow."""
        loaded = parse_settings(VALID_YAML.encode(), name="node.yaml")
        self.assertEqual(NODES_PER_SLOT, loaded.relay.nodes_per_slot)

    def test_values_replace_defaults(self):
        settings = parse_settings(
            (VALID_YAML + "drain_timeout_ms: 500\npeers: ['127.0.0.1:7402', '[::1]:9']\n").encode(),
            name="f",
        )
        self.assertEqual(timedelta(milliseconds=500), settings.drain_timeout)
        self.assertEqual(("[::1]:9",), settings.peers)
        self.assertEqual(timedelta(seconds=2), settings.platform.timeout)
        self.assertEqual("127.0.0.1:7403", settings.listen.admin)

    @given(invalid=invalid_values())
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_every_invalid_value_is_reported_at_its_key(self, invalid):
        """Guards against findings that are reported one at a time, or without a position."""
        reported = findings(settings_yaml(invalid))
        for key in invalid:
            of_key = [item for item in reported if key in item.message]
            self.assertTrue(
                of_key and all(item.line and item.column for item in of_key), (key, reported)
            )
        self.assertEqual(sorted(reported), reported)
        self.assertTrue(all("\n" not in str(item) for item in reported))
        self.assertFalse(
            [item for item in reported if not any(key in item.message for key in invalid)]
        )

    @given(
        extra=st.dictionaries(
            st.from_regex(r"[a-z]{1,8}(\.[a-z]{1,8})?", fullmatch=True), st.none(), max_size=4
        ),
        missing=st.sets(st.sampled_from(["node", "zone", "platform"])),
    )
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_unknown_and_missing_keys_are_reported_together(self, extra, missing):
        """Guards against a mistyped key that silently leaves the default in effect."""
        extra = {f"x{key}": value for key, value in extra.items()}
        lines = [f"{key}:" for key in extra]
        lines += [
            yaml.safe_dump({key: VALID_SETTINGS[key]})
            for key in VALID_SETTINGS
            if key not in missing
        ]
        reported = findings("\n".join(lines))
        unknown_keys = {item.message.split()[0] for item in reported if item.code == "unknown-key"}
        missing_keys = {item.message.split()[0] for item in reported if item.code == "missing"}
        self.assertEqual(set(extra), unknown_keys)
        names = {"node": "node", "zone": "zone", "platform": "platform.url"}
        self.assertEqual({names[key] for key in missing}, missing_keys)
        self.assertEqual(len(extra) + len(missing), len(reported))

    @given(data=st.one_of(st.binary(max_size=60), st.text("a:[]{}-*&!|>'\"#%\n\t ,?", max_size=40)))
    @settings(max_examples=400, derandomize=True, deadline=None)
    def test_arbitrary_input_gives_findings(self, data):
        """Guards against a traceback instead of findings."""
        self.assertTrue(findings(data))

    def test_structural_errors(self):
        for text, code, line in (
            (VALID_YAML + "node: n2\n", "duplicate-key", 5),
            (VALID_YAML + "limits: 3\n", "wrong-type", 5),
            (VALID_YAML + "limits: {a: {b: 1}}\n", "unknown-key", 5),
            (VALID_YAML + "[1]: 2\n", "unknown-key", 5),
            (VALID_YAML + "drain_timeout_ms: !!python/object:os.system 5\n", "wrong-type", 5),
            (VALID_YAML + "drain_timeout_ms: 1:30\n", "wrong-type", 5),
            (VALID_YAML + "drain_timeout_ms: 0x10\n", "wrong-type", 5),
            (VALID_YAML + "listen: {peer: '127.0.0.1:7400'}\n", "address-in-use", 5),
            (VALID_YAML + "listen: {internal: '127.0.0.1:7403'}\n", "address-in-use", 5),
            (VALID_YAML + "relay:\n  nodes_per_slot: 0\n", "out-of-range", 6),
            (VALID_YAML + "peers: [&a '127.0.0.1:1', *a]\n", "duplicate", 5),
            (VALID_YAML + "---\n" + VALID_YAML, "syntax", 5),
            ("a: [", "syntax", 1),
            ("[" * 100_000, "syntax", 0),
            ("# " + "x" * 300_000, "file-too-large", 0),
            ("- 1\n", "not-a-mapping", 1),
        ):
            reported = findings(text)
            self.assertIn((code, line), [(item.code, item.line) for item in reported], reported)

    def test_unreadable_file_is_a_finding(self):
        error = self.assertRaises(InvalidInputError, load_settings, "/nonexistent/node.yaml")
        self.assertEqual("unreadable", error.findings[0].code)

    def test_every_key_is_documented(self):
        """Guards against a setting that operators cannot find."""
        page = Path(__file__).parents[2].joinpath("docs", "settings.md").read_text()
        self.assertEqual([], [key for key in FIELDS if f"`{key}`" not in page])
