"""Tests of at-most-once execution across repeated requests, node deaths and outages."""

from testtools import TestCase

from almondshore.retries.claims import ClaimResult
from almondshore.retries.once import Granted, Replay, StoredResponse
from almondshore.retries.outcome import Outcome, Reason
from standins.object_store import Fault
from test.retries.helpers import RESPONSE, Fleet, denial_reason, key_of, seconds


class OnceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.key = key_of(self.fleet, "b")

    def test_repeated_request_gets_the_first_response(self):
        """Guards against a request that runs twice because its first response was lost."""
        self.fleet.send(self.key)
        self.assertEqual(Replay(RESPONSE), self.fleet.send(self.key))
        self.assertEqual({self.key: 1}, self.fleet.runs)

    def test_repeated_request_is_refused_while_the_first_runs(self):
        """Guards against two concurrent runs when a caller repeats its request early."""
        self.fleet.claim(self.key)
        result = self.fleet.send(self.key)
        self.assertEqual(Reason.KEY_RUNNING, denial_reason(result))
        self.assertEqual(Outcome.UNKNOWN, result.failure.outcome)

    def test_request_that_was_not_run_may_be_sent_again(self):
        """Guards against a key that cannot be used for a day after an overload refusal."""
        self.fleet.send(self.key, "not-run")
        self.assertIsInstance(self.fleet.send(self.key), Granted)
        self.assertEqual({self.key: 1}, self.fleet.runs)

    def test_key_of_another_request_is_refused(self):
        """Guards against replaying the response of one request to another one."""
        self.fleet.send(self.key)
        self.assertEqual(
            Reason.KEY_REUSED, denial_reason(self.fleet.claim(self.key, fingerprint=2)[1])
        )

    def test_target_death_leaves_the_key_unknown(self):
        """Guards against a second run after the target died in the first."""
        self.fleet.send(self.key, "lost")
        self.assertEqual(Reason.KEY_UNKNOWN, denial_reason(self.fleet.send(self.key)))

    def test_holder_that_died_leaves_the_key_unknown(self):
        """Guards against a key that is granted again, or stays locked, after hop 1 has died."""
        self.fleet.claim(self.key)
        self.fleet.advance(8)
        self.assertEqual(Reason.KEY_UNKNOWN, denial_reason(self.fleet.send(self.key)))

    def test_expired_grant_cannot_be_used(self):
        """Guards against a paused hop 1 that runs its request after its grant has expired."""
        records, granted = self.fleet.claim(self.key)
        self.fleet.advance(8)
        self.fleet.send(self.key)
        self.assertFalse(records.mark_running(self.key, granted.token))

    def test_owner_death_with_the_platform_up(self):
        """Guards against a second run by a new owner that has no record of the key."""
        self.fleet.send(self.key)
        self.fleet.kill("b")
        self.assertEqual(Reason.KEY_UNKNOWN, denial_reason(self.fleet.send(self.key)))
        fresh = key_of(self.fleet, self.fleet.owner(self.key), 3)
        self.assertIsInstance(self.fleet.send(fresh), Granted)

    def test_owner_death_in_an_outage(self):
        """Guards against a second run by a new owner that cannot read the claims."""
        other_key = key_of(self.fleet, "a")
        self.fleet.send(self.key)
        self.fleet.store.fault = Fault.DOWN
        self.fleet.advance(1)
        self.fleet.kill("b")
        self.assertEqual(Outcome.UNKNOWN, self.fleet.send(self.key).failure.outcome)
        self.assertIsInstance(self.fleet.send(other_key), Granted)

    def test_run_in_an_outage_whose_owner_died_before_it_ended(self):
        """Guards against a second run after an outage in which the claim could not be written."""
        self.fleet.store.fault = Fault.DOWN
        self.fleet.advance(1)
        self.fleet.send(self.key)
        self.fleet.kill("b")
        self.fleet.store.fault = Fault.NONE
        self.fleet.advance(30)
        self.assertEqual(Reason.KEY_UNKNOWN, denial_reason(self.fleet.send(self.key)))

    def test_claims_of_an_outage_are_written_when_it_ends(self):
        """Guards against a second run of a key that ran in an outage, when its owner dies later."""
        self.fleet.store.fault = Fault.DOWN
        self.fleet.advance(1)
        self.fleet.send(self.key)
        self.fleet.store.fault = Fault.NONE
        self.fleet.advance(15)
        self.fleet.kill("b")
        self.assertEqual(Reason.KEY_UNKNOWN, denial_reason(self.fleet.send(self.key)))

    def test_claim_with_a_lost_response_is_not_attributed_to_another_owner(self):
        """Guards against refusing a key because the response to the node's own claim was lost."""
        self.fleet.store.fault = Fault.LOSE_ANSWERS
        self.assertEqual(Reason.KEY_UNPROVEN, denial_reason(self.fleet.send(self.key)))
        self.fleet.store.fault = Fault.NONE
        self.assertIsInstance(self.fleet.send(self.key), Granted)
        self.assertEqual(ClaimResult.LOST, self.fleet.nodes["a"].claims.claim(self.key))

    def test_marker_warns_the_next_owner_of_runs_over_budget(self):
        """Guards against a second run after the death of an owner that ran keys without a claim."""
        fleet = Fleet(claim_rate=0.01)
        keys = [key_of(fleet, "b", n) for n in range(4)]
        for key in keys:
            self.assertIsInstance(fleet.send(key), Granted)
        fleet.kill("b")
        fleet.advance(30)
        for key in keys:
            self.assertIsNot(Granted, type(fleet.send(key)))

    def test_new_node_takes_over_the_records_of_its_keys(self):
        """Guards against a second run by a node that became the owner of a key after its run."""
        keys = [key_of(self.fleet, "b", n) for n in range(40)]
        for key in keys:
            self.fleet.send(key)
        self.fleet.store.fault = Fault.DOWN
        self.fleet.start()
        moved = [key for key in keys if self.fleet.owner(key) == "new1"]
        self.assertNotEqual([], moved)
        for key in moved:
            self.assertEqual(Reason.RESPONSE_NOT_KEPT, denial_reason(self.fleet.send(key)))

    def test_node_cut_off_from_its_peers_runs_nothing_new(self):
        """Guards against two owners of a key when one does not know that it was declared dead."""
        self.fleet.store.fault = Fault.DOWN
        self.fleet.advance(1)
        self.fleet.clock.advance(seconds(6))
        self.assertEqual(Reason.KEY_UNPROVEN, denial_reason(self.fleet.send(self.key)))

    def test_node_declared_dead_while_it_waits_for_the_platform_runs_nothing(self):
        """Guards against two owners of a key when calls to the platform end by their timeout."""
        self.fleet.store.fault = Fault.DOWN
        self.fleet.advance(1)
        platform = self.fleet.nodes["b"].claims.platform
        create = platform.create

        def slow_create(*arguments):
            self.fleet.clock.advance(seconds(6))
            return create(*arguments)

        platform.create = slow_create
        self.assertEqual(Reason.KEY_UNPROVEN, denial_reason(self.fleet.send(self.key)))

    def test_kept_responses_are_bounded(self):
        """Guards against kept responses that fill the 128 MB of a node.

        The keys of dropped responses stay known.
        """
        records = self.fleet.nodes["b"].records
        records.max_kept_bytes = 700
        keys = [key_of(self.fleet, "b", n) for n in range(3)]
        for key in keys:
            _, granted = self.fleet.claim(key)
            records.mark_running(key, granted.token)
            records.record_response(
                key, granted.token, StoredResponse(200, (("a", "b" * 40),), b"x" * 40)
            )
        self.assertTrue(0 < records.kept_bytes <= 700)
        self.assertEqual(Reason.RESPONSE_NOT_KEPT, denial_reason(self.fleet.send(keys[0])))
        self.assertIsInstance(self.fleet.send(keys[2]), Replay)

    def test_expiry_frees_the_size_of_responses(self):
        """Guards against a count of kept bytes that only grows until no response is kept."""
        self.fleet.send(self.key)
        self.fleet.clock.advance(seconds(86_400 + 10))
        self.fleet.advance(1)
        records = self.fleet.nodes["b"].records
        self.assertEqual((0, 0), (records.kept_bytes, len(records.kept_keys)))

    def test_full_table_refuses_new_keys_only(self):
        """Guards against evicting the record of a key, which would let it run again."""
        self.fleet.send(self.key)
        self.fleet.nodes["b"].records.max_records = 1
        other = key_of(self.fleet, "b", 1)
        self.assertEqual(Reason.KEY_TABLE_FULL, denial_reason(self.fleet.send(other)))
        self.assertEqual(Replay(RESPONSE), self.fleet.send(self.key))

    def test_retention_frees_records_and_claims(self):
        """Guards against records that are never dropped and keys that can never be used again."""
        self.fleet.send(self.key)
        self.fleet.clock.advance(seconds(86_400 + 10))
        self.fleet.advance(1)
        self.assertEqual(0, len(self.fleet.nodes["b"].records.records))
        self.assertIsInstance(self.fleet.send(self.key), Granted)

    def test_claim_of_a_dead_owner_ends_with_the_retention(self):
        """Guards against keys of a dead owner that can never be used again."""
        self.fleet.send(self.key)
        self.fleet.kill("b")
        self.fleet.clock.advance(seconds(86_400 + 10))
        self.fleet.advance(1)
        self.fleet.sync()
        self.assertIsInstance(self.fleet.send(self.key), Granted)
