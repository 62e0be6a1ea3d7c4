"""Tests of the transport over nng, with sockets on loopback."""

import io
import os
import random
import socket
from types import SimpleNamespace

import eventlet
import pynng
from testtools import TestCase

from almondshore.core.clock import ManualClock, SystemClock
from almondshore.core.codec import MAX_MESSAGE_BYTES, encode
from almondshore.core.logs import setup_logs
from almondshore.core.messages import Busy, ConfigSnapshot, Envelope, Send
from almondshore.net.nng import (
    EVICTION_MIN_IDLE,
    IDLE_TIMEOUT,
    LOG_INTERVAL,
    RECEIVE_BATCH,
    SEND_BUFFER_MESSAGES,
    NngTransport,
)
from standins.addresses import allocate_address, format_address

WAIT_SECONDS = 30


def snapshot_of_size(size):
    return ConfigSnapshot(1, b"", {"p": bytes(size)})


class NngTest(TestCase):
    def setUp(self):
        super().setUp()
        self.log = io.StringIO()
        setup_logs(stream=self.log)
        self.received = []

    def transport(self, *, address=None, clock=None, handler=None, **options):
        transport = NngTransport(
            listen=address or format_address(allocate_address()),
            zone="z1",
            clock=clock or SystemClock(),
            **options,
        )
        self.addCleanup(transport.close)
        transport.greenlet = eventlet.spawn(
            transport.receive_forever, handler or self.received.append
        )
        return transport

    def raw_push(self, transport):
        raw = pynng.Push0(send_timeout=WAIT_SECONDS * 1000)
        self.addCleanup(raw.close)
        raw.dial(f"tcp://{transport.address}", block=True)
        return raw

    def wait_for(self, condition):
        with eventlet.Timeout(WAIT_SECONDS):
            while not condition():
                eventlet.sleep(0.005)

    def test_messages_arrive_complete(self):
        sender, receiver = self.transport(), self.transport()
        large = snapshot_of_size(MAX_MESSAGE_BYTES - 1000)
        for message in (Busy(1.0), large):
            self.assertTrue(sender.send(Send(receiver.address, message)))
        self.wait_for(lambda: len(self.received) == 2)
        self.assertEqual(
            [Envelope(sender.address, "z1", Busy(1.0)), Envelope(sender.address, "z1", large)],
            self.received,
        )

    def test_a_restarted_peer_is_reached_again(self):
        """Guards against a node that stays cut off from a relay that was restarted."""
        sender, receiver = self.transport(), self.transport()
        sender.send(Send(receiver.address, Busy(1.0)))
        self.wait_for(lambda: self.received)
        receiver.close()
        receiver.greenlet.wait()
        after = []
        self.transport(address=receiver.address, handler=after.append)
        self.wait_for(lambda: sender.send(Send(receiver.address, Busy(2.0))) and after)
        self.assertEqual(Busy(2.0), after[-1].message)

    def test_a_dead_peer_fills_only_its_own_buffer(self):
        """Guards against an unreachable peer that blocks the loop or the traffic of others."""
        sender, live_peer = self.transport(), self.transport()
        dead_address = format_address(allocate_address())
        sent = [sender.send(Send(dead_address, Busy(1.0))) for _ in range(3 * SEND_BUFFER_MESSAGES)]
        self.assertEqual(sorted(sent, reverse=True), sent)
        self.assertTrue(SEND_BUFFER_MESSAGES <= sum(sent) <= SEND_BUFFER_MESSAGES + 2, sum(sent))
        self.assertTrue(sender.send(Send(live_peer.address, Busy(2.0))))
        self.wait_for(lambda: self.received)

    def test_a_message_or_address_that_cannot_be_sent_is_dropped(self):
        """Guards against an invalid message of a state machine that raises in the sender."""
        sender = self.transport()
        self.assertFalse(
            sender.send(
                Send(format_address(allocate_address()), snapshot_of_size(MAX_MESSAGE_BYTES))
            )
        )
        for address in ("", "localhost:7402", "127.0.0.1:99999999", "\x00", "::1:7402"):
            self.assertFalse(sender.send(Send(address, Busy(1.0))), address)
        self.assertEqual(5, sender.counts["send_dropped_bad_address"])
        self.assertEqual({}, dict(sender.peers))

    def test_bad_input_is_counted_and_not_fatal(self):
        """Guards against one faulty or foreign peer ending a node's control plane."""
        receiver = self.transport(clock=ManualClock())
        raw, rng = self.raw_push(receiver), random.Random(1)
        good = encode(Envelope("127.0.0.1:1", "z9", Busy(1.0)))
        bad = [b"", b"\xc1", good[:-1], good + b"x", good.replace(b"Busy", b"Bosy")]
        bad += [rng.randbytes(rng.randrange(200)) for _ in range(50)]
        for data in bad:
            raw.send(data)
        self.raw_push(receiver).send(bytes(MAX_MESSAGE_BYTES + 1))
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x00SP\x00\x00\x50\x00\x00" + b"\xff" * 64):
            foreign = socket.create_connection(host_and_port(receiver))
            foreign.sendall(data)
            self.addCleanup(foreign.close)
        raw.send(good)
        self.wait_for(lambda: self.received and receiver.counts["message_malformed"] == len(bad))
        self.assertEqual([Envelope("127.0.0.1:1", "z9", Busy(1.0))], self.received)
        self.assertEqual(1, self.log.getvalue().count("event=message_malformed"))
        receiver.clock.advance(LOG_INTERVAL)
        raw.send(b"\xc1")
        self.wait_for(lambda: f"total={len(bad) + 1}" in self.log.getvalue())

    def test_a_fault_in_the_handler_does_not_end_receiving(self):
        """Guards against one message that raises in the handler and stops all receiving."""

        def handle(envelope):
            self.received.append(envelope)
            raise KeyError("bug")

        sender, receiver = self.transport(), self.transport(handler=handle)
        for _ in range(3):
            sender.send(Send(receiver.address, Busy(1.0)))
        self.wait_for(lambda: len(self.received) == 3)
        self.assertEqual(3, receiver.counts["message_handler_failed"])

    def test_no_python_code_runs_on_the_threads_of_nng(self):
        """Guards against pynng's callbacks, whose contended green lock hangs nng's threads."""
        sender, receiver = self.transport(), self.transport()
        sender.send(Send(receiver.address, Busy(1.0)))
        self.wait_for(lambda: self.received)
        self.assertEqual(
            ((), ()), (receiver.socket.pipes, sender.peers[receiver.address].socket.pipes)
        )

    def test_many_peers_use_no_more_threads(self):
        """Guards against a relay that uses a thread per subscriber."""
        relay = self.transport()
        self.transport().send(Send(relay.address, Busy(0.0)))
        self.wait_for(lambda: self.received)
        before = len(os.listdir("/proc/self/task"))
        peers = [self.transport() for _ in range(60)]
        for peer in peers:
            self.assertTrue(peer.send(Send(relay.address, Busy(1.0))))
            self.assertTrue(relay.send(Send(peer.address, Busy(2.0))))
        self.wait_for(lambda: len(self.received) == 121)
        self.assertEqual(
            {peer.address for peer in peers} | {relay.address}, senders(self.received[1:])
        )
        self.assertEqual(before, len(os.listdir("/proc/self/task")))

    def test_the_peer_table_is_bounded(self):
        """Guards against sockets kept for departed peers, and against a reconnect on every send."""
        clock = ManualClock()
        transport = self.transport(clock=clock, max_peers=3)
        addresses = [format_address(allocate_address()) for _ in range(5)]
        sent = [transport.send(Send(address, Busy(1.0))) for address in addresses]
        self.assertEqual([True] * 3 + [False] * 2, sent)
        clock.advance(EVICTION_MIN_IDLE)
        transport.send(Send(addresses[0], Busy(1.0)))
        self.assertTrue(transport.send(Send(addresses[3], Busy(1.0))))
        self.assertEqual([addresses[i] for i in (2, 0, 3)], list(transport.peers))
        clock.advance(IDLE_TIMEOUT)
        transport.send(Send(addresses[4], Busy(1.0)))
        self.assertEqual([addresses[4]], list(transport.peers))

    def test_close_ends_receiving_and_sending(self):
        """Guards against a shutdown that hangs on an idle transport."""
        transport = self.transport()
        eventlet.sleep(0)
        transport.close()
        with eventlet.Timeout(WAIT_SECONDS):
            transport.greenlet.wait()
        self.assertFalse(transport.send(Send(format_address(allocate_address()), Busy(1.0))))

    def test_a_flood_leaves_turns_to_other_greenlets(self):
        """Guards against a peer whose continuous sending starves the handling of requests."""
        data = encode(Envelope("127.0.0.1:1", "z1", Busy(1.0)))

        def handle(_):
            receiver.closed = len(turns) >= 3 or receiver.counts["received"] >= 100 * RECEIVE_BATCH

        receiver = self.transport(handler=handle)
        turns = []
        receiver.socket.close()
        receiver.socket = SimpleNamespace(recv=lambda block: data, close=lambda: None)
        eventlet.spawn(lambda: [turns.append(eventlet.sleep(0)) for _ in range(4)])
        with eventlet.Timeout(WAIT_SECONDS):
            receiver.greenlet.wait()
        self.assertTrue(receiver.counts["received"] <= 5 * RECEIVE_BATCH, receiver.counts)


def host_and_port(transport):
    host, port = transport.address.split(":")
    return host, int(port)


def senders(envelopes):
    return {envelope.sender for envelope in envelopes}
