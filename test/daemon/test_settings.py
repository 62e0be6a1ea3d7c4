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

GOOD = {"node": "n1", "zone": "z-1", "platform": {"url": "http://127.0.0.1:7300"}}
BASE = "node: n1\nzone: z-1\nplatform:\n  url: http://127.0.0.1:7300\n"
BAD_VALUES = {
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


def document(values):
    """Return the YAML text of dotted keys over a good file, and the line of each key."""
    nested = {
        section: dict(keys) if isinstance(keys, dict) else keys for section, keys in GOOD.items()
    }
    for key, value in values.items():
        section, _, name = key.rpartition(".")
        target = nested.setdefault(section, {}) if section else nested
        target[name] = value
    return yaml.safe_dump(nested)


@st.composite
def mistakes(draw):
    """Draw one bad value for each of several keys."""
    keys = draw(st.lists(st.sampled_from(sorted(BAD_VALUES)), min_size=1, max_size=6, unique=True))
    return {key: draw(st.sampled_from(BAD_VALUES[key])) for key in keys}


class SettingsTest(TestCase):
    def test_the_default_share_of_a_relay_is_the_measured_one(self):
        """Guards against relays that serve more nodes than their 14 KB/s allow."""
        loaded = parse_settings(BASE.encode(), name="node.yaml")
        self.assertEqual(NODES_PER_SLOT, loaded.relay.nodes_per_slot)

    def test_values_replace_defaults(self):
        settings = parse_settings(
            (BASE + "drain_timeout_ms: 500\npeers: ['127.0.0.1:7402', '[::1]:9']\n").encode(),
            name="f",
        )
        self.assertEqual(timedelta(milliseconds=500), settings.drain_timeout)
        self.assertEqual(("[::1]:9",), settings.peers)
        self.assertEqual(timedelta(seconds=2), settings.platform.timeout)
        self.assertEqual("127.0.0.1:7403", settings.listen.admin)

    @given(bad=mistakes())
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_every_mistake_is_found_at_its_key(self, bad):
        """Guards against findings that come one at a time, or without a place to look at."""
        found = findings(document(bad))
        for key in bad:
            mine = [item for item in found if key in item.message]
            self.assertTrue(mine and all(item.line and item.column for item in mine), (key, found))
        self.assertEqual(sorted(found), found)
        self.assertTrue(all("\n" not in str(item) for item in found))
        self.assertFalse([item for item in found if not any(key in item.message for key in bad)])

    @given(
        extra=st.dictionaries(
            st.from_regex(r"[a-z]{1,8}(\.[a-z]{1,8})?", fullmatch=True), st.none(), max_size=4
        ),
        missing=st.sets(st.sampled_from(["node", "zone", "platform"])),
    )
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_unknown_and_missing_keys_are_found_together(self, extra, missing):
        """Guards against a mistyped key that silently leaves the default in force."""
        extra = {f"x{key}": value for key, value in extra.items()}
        lines = [f"{key}:" for key in extra]
        lines += [yaml.safe_dump({key: GOOD[key]}) for key in GOOD if key not in missing]
        found = findings("\n".join(lines))
        unknown = {item.message.split()[0] for item in found if item.code == "unknown-key"}
        absent = {item.message.split()[0] for item in found if item.code == "missing"}
        self.assertEqual(set(extra), unknown)
        names = {"node": "node", "zone": "zone", "platform": "platform.url"}
        self.assertEqual({names[key] for key in missing}, absent)
        self.assertEqual(len(extra) + len(missing), len(found))

    @given(data=st.one_of(st.binary(max_size=60), st.text("a:[]{}-*&!|>'\"#%\n\t ,?", max_size=40)))
    @settings(max_examples=400, derandomize=True, deadline=None)
    def test_no_input_raises_anything_else(self, data):
        """Guards against a traceback instead of findings."""
        self.assertTrue(findings(data))

    def test_structural_mistakes(self):
        for text, code, line in (
            (BASE + "node: n2\n", "duplicate-key", 5),
            (BASE + "limits: 3\n", "wrong-type", 5),
            (BASE + "limits: {a: {b: 1}}\n", "unknown-key", 5),
            (BASE + "[1]: 2\n", "unknown-key", 5),
            (BASE + "drain_timeout_ms: !!python/object:os.system 5\n", "wrong-type", 5),
            (BASE + "drain_timeout_ms: 1:30\n", "wrong-type", 5),
            (BASE + "drain_timeout_ms: 0x10\n", "wrong-type", 5),
            (BASE + "listen: {peer: '127.0.0.1:7400'}\n", "address-in-use", 5),
            (BASE + "listen: {internal: '127.0.0.1:7403'}\n", "address-in-use", 5),
            (BASE + "relay:\n  nodes_per_slot: 0\n", "out-of-range", 6),
            (BASE + "peers: [&a '127.0.0.1:1', *a]\n", "duplicate", 5),
            (BASE + "---\n" + BASE, "syntax", 5),
            ("a: [", "syntax", 1),
            ("[" * 100_000, "syntax", 0),
            ("# " + "x" * 300_000, "file-too-large", 0),
            ("- 1\n", "not-a-mapping", 1),
        ):
            found = findings(text)
            self.assertIn((code, line), [(item.code, item.line) for item in found], found)

    def test_an_unreadable_file_is_a_finding(self):
        error = self.assertRaises(InvalidInputError, load_settings, "/nonexistent/node.yaml")
        self.assertEqual("unreadable", error.findings[0].code)

    def test_every_key_is_documented(self):
        """Guards against a setting that operators cannot find."""
        page = Path(__file__).parents[2].joinpath("docs", "settings.md").read_text()
        self.assertEqual([], [key for key in FIELDS if f"`{key}`" not in page])
