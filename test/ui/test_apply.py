"""Tests of the ``apply`` command: races, lost responses, outages and repeats."""

import json
from datetime import timedelta

from almondshore.core.messages import Veto
from almondshore.moves.veto import encode_veto, veto_key
from almondshore.rules.compile import decode_service, encode_part
from almondshore.versions.publish import Publisher
from standins.object_store import Fault
from test.ui.tooltest import RULES, START, ScriptedPlatform, ToolTest

OTHER_RULES = RULES.replace("timeout 2s  # Marco: fault reads", "timeout 3s  # Ugo: slow line")
RULES_WITH_MOVE = (
    RULES + "move counter-app to v2 by 2026-12-08 06:00 Europe/Rome  # Livia: market\n"
)
# The first publication writes the rules, the parts and the head; later ones also write a record.
FIRST_HEAD_WRITE = 3


class ApplyTest(ToolTest):
    def setUp(self):
        super().setUp()
        self.publisher = Publisher(platform=self.platform)

    def head(self):
        return self.publisher.current().unwrap().head

    def publish_as_coordinator(self, state):
        """Publish the current rules with another state of the move, as its coordinator does."""
        current = self.publisher.current().unwrap()
        parts = self.publisher.parts(current.head.version).unwrap()
        part = decode_service(parts["service/counter-app"])
        part["move"]["state"] = state
        self.publisher.publish(
            base=current,
            base_parts=parts,
            parts={**parts, "service/counter-app": encode_part(part)},
            rules=self.publisher.rules_text(current.head.version).unwrap(),
            author="coordinator",
            reason=state,
            at=self.clock.now(),
        ).unwrap()

    def test_output_names_the_version_and_its_changes(self):
        """Guards against output that does not show the operator what a file changes or removes."""
        self.assertEqual("published version 1", self.apply()[1].splitlines()[0])
        code, out, _ = self.apply(OTHER_RULES)
        route = "route GET /schedule/* to counter-app class urgent timeout"
        expected = [
            "published version 2",
            f"  - line 2: {route} 2s  # Marco: fault reads",
            f"  + line 2: {route} 3s  # Ugo: slow line",
        ]
        self.assertEqual((0, expected), (code, out.splitlines()))

    def test_repeat_publishes_nothing(self):
        """Guards against a second version when the same file is applied again."""
        self.apply()
        self.assertEqual((0, "version 1 already holds these rules\n", ""), self.apply())
        self.assertEqual(1, self.head().version)

    def test_file_with_findings_is_refused(self):
        """Guards against publishing parts of a file that has findings."""
        code, _, err = self.apply(RULES + "rout x\n")
        self.assertEqual(1, code)
        self.assertIn("Livia.txt:4:1: unknown-rule", err)
        self.assertEqual({}, self.store.objects)

    def test_outage_is_reported_on_one_line(self):
        """Guards against a traceback when the platform is down."""
        self.store.fault = Fault.DOWN
        code, _, err = self.apply()
        self.assertEqual(1, code)
        self.assertEqual("almondshore: the platform does not answer: the platform is down\n", err)

    def test_outage_or_lost_response_at_each_write(self):
        """Guards against a change that is lost or published twice, whichever write fails."""
        self.apply()
        for number in range(1, FIRST_HEAD_WRITE + 2):
            for fault in ("lost", "down"):
                before = self.head().version
                platform = ScriptedPlatform(store=self.store)
                getattr(platform, fault).add(number)
                text = RULES.replace("2s", f"{before + 2}s")
                self.assertEqual(0, self.apply(text, platform=platform)[0])
                self.assertEqual(before + 1, self.head().version)
                self.assertEqual(text.encode(), self.publisher.rules_text(before + 1).unwrap())

    def test_response_of_every_write_lost(self):
        """Guards against an apply that does not get past the first lost response."""
        self.apply()
        platform = ScriptedPlatform(store=self.store)
        platform.lost = set(range(1, 100))
        self.assertEqual(0, self.apply(OTHER_RULES, platform=platform)[0])
        self.assertEqual((FIRST_HEAD_WRITE + 1, 2), (platform.writes, self.head().version))

    def test_outage_after_any_write_then_repeated(self):
        """Guards against reporting an unknown result as known, and against a duplicate version."""
        for number in range(1, FIRST_HEAD_WRITE + 2):
            platform = ScriptedPlatform(store=self.store)
            platform.lost.add(number)
            platform.after[number] = lambda: setattr(self.store, "fault", Fault.DOWN)
            text = RULES.replace("2s", f"{number + 2}s")
            started = self.clock.now()
            code, _, err = self.apply(text, platform=platform)
            self.assertEqual(1, code)
            self.assertIn("can safely be repeated", err)
            # Three waits between four attempts: 0.2 s, 0.4 s and 0.8 s.
            self.assertEqual(timedelta(seconds=1.4), self.clock.now() - started)
            self.store.fault = Fault.NONE
            self.assertEqual(0, self.apply(text)[0])
            self.assertEqual(number, self.head().version)

    def test_race_refuses_and_names_the_other_change(self):
        """Guards against overwriting the change of another operator."""
        self.apply()
        platform = ScriptedPlatform(store=self.store)
        platform.before[FIRST_HEAD_WRITE + 1] = lambda: self.apply(OTHER_RULES, "Ugo")
        code, out, err = self.apply(RULES.replace("50/s", "60/s"), platform=platform)
        self.assertEqual((1, ""), (code, out))
        self.assertIn("version 2 by Ugo at 2026-12-04T09:00:00+00:00:", err)
        self.assertIn("+ line 2: route GET /schedule/* to counter-app", err)
        self.assertIn("# Ugo: slow line", err)
        self.assertEqual(OTHER_RULES.encode(), self.publisher.rules_text(2).unwrap())

    def test_outdated_base_is_refused(self):
        self.apply()
        self.apply(OTHER_RULES, "Ugo")
        change = RULES.replace("50/s", "60/s")
        code, _, err = self.apply(change, "Livia", "--base", "1")
        self.assertEqual(1, code)
        self.assertIn("version 2 by Ugo", err)
        self.assertEqual(1, self.apply(change, "Livia", "--base", "9")[0])
        self.assertEqual(0, self.apply(change, "Livia", "--base", "2")[0])

    def test_response_lost_and_another_version_on_top(self):
        """Guards against reporting one's own published version as a conflict."""
        platform = ScriptedPlatform(store=self.store)
        platform.lost.add(FIRST_HEAD_WRITE)
        platform.after[FIRST_HEAD_WRITE] = lambda: self.apply(OTHER_RULES, "Ugo")
        code, out, _ = self.apply(platform=platform)
        self.assertEqual((0, "published version 1"), (code, out.splitlines()[0]))
        self.assertEqual((2, "Ugo"), (self.head().version, self.head().author))

    def test_repeat_does_not_undo_a_later_version(self):
        """Guards against a repeat after a lost response that reverts the changes of others."""
        self.apply()
        self.apply(OTHER_RULES, "Ugo")
        code, _, err = self.apply()
        self.assertEqual(1, code)
        self.assertIn("use --base 2", err)
        self.assertIn("# Ugo: slow line", err)
        self.assertEqual(0, self.apply(RULES, "Livia", "--base", "2")[0])

    def test_versions_of_the_coordinator_are_no_conflict(self):
        """Guards against refusing a change because the coordinator published move progress."""
        self.apply(RULES_WITH_MOVE)
        platform = ScriptedPlatform(store=self.store)
        platform.before[FIRST_HEAD_WRITE + 1] = lambda: self.publish_as_coordinator("done")
        self.assertEqual(
            0, self.apply(RULES_WITH_MOVE.replace("50/s", "60/s"), platform=platform)[0]
        )
        part = decode_service(self.publisher.parts(3).unwrap()["service/counter-app"])
        self.assertEqual(("done", "v2"), (part["move"]["state"], part["version"]))

    def test_finished_move_past_its_deadline(self):
        """Guards against refusing all changes after a deadline, and against undoing the move."""
        self.apply(RULES_WITH_MOVE)
        self.publish_as_coordinator("done")
        self.clock.advance(timedelta(days=30))
        self.assertEqual(0, self.apply(RULES_WITH_MOVE.replace("50/s", "60/s"))[0])
        code, _, err = self.apply(RULES.replace("50/s", "70/s"))
        self.assertEqual(1, code)
        self.assertIn("Livia.txt:1:29: serving-version", err)
        moved = RULES.replace("version v1", "version v2").replace("50/s", "70/s")
        self.assertEqual(0, self.apply(moved)[0])

    def test_new_move_past_its_deadline_is_refused(self):
        self.clock.advance(timedelta(days=30))
        self.assertIn("deadline-past", self.apply(RULES_WITH_MOVE)[2])

    def test_move_to_a_vetoed_version(self):
        """Guards against publishing a move that the veto would revert immediately."""
        self.apply()
        veto = Veto("counter-app", "v2", 1, "errors", "n1", START)
        self.store.put(veto_key(*veto[:2]), encode_veto(veto), 0, "w")
        self.assertIn("Livia.txt:4:21: vetoed-version", self.apply(RULES_WITH_MOVE)[2])
        allow = "allow counter-app v2  # Livia: fixed outside\n"
        self.assertEqual(0, self.apply(RULES_WITH_MOVE + allow)[0])
        newer = veto._replace(config_version=2)
        self.store.put(veto_key(*veto[:2]), encode_veto(newer), 1, "w2")
        again = RULES_WITH_MOVE.replace("12-08", "12-09")
        self.assertIn("the allow rule is older", self.apply(again + allow)[2])
        self.assertEqual(0, self.apply(RULES_WITH_MOVE.replace("50/s", "60/s") + allow)[0])

    def test_wait_until_in_effect(self):
        """Guards against reporting a version as in effect before every zone has it."""
        steps = [
            lambda: self.report("a", {"1": 2}),
            lambda: setattr(self.store, "fault", Fault.DOWN),
            lambda: setattr(self.store, "fault", Fault.NONE),
            lambda: self.report("b", {"1": 1, "0": 1}),
            lambda: self.report("b", {"1": 2}),
        ]

        def wait(duration):
            self.clock.advance(duration)
            if steps:
                steps.pop(0)()

        self.report("a", {"0": 2})
        self.store.put("lease/relay/b/0", b"", 0, "w")
        tokens = ("apply", self.write_rules(), "--author", "Livia", "--wait", "10")
        code, out, _ = self.run_tool(*tokens, wait=wait)
        self.assertEqual((0, []), (code, steps))
        self.assertEqual("version 1 is in effect in 2 of 2 zones", out.splitlines()[-1])

    def test_wait_ends_at_the_timeout(self):
        """Guards against waiting forever, and against success although no zone is known."""
        code, out, _ = self.apply(RULES, "Livia", "--wait", "7.5", "--json")
        result = {"version": 1, "created": True, "in_effect": False}
        self.assertEqual((1, result), (code, json.loads(out)))
        self.assertEqual(START + timedelta(seconds=7.5), self.clock.now())
