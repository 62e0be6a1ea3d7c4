"""Tests of the proxy through which the soak disturbs connections."""

import random
from datetime import timedelta

import eventlet
from eventlet.event import Event
from testtools import TestCase

from almondshore.core.clock import BootClock
from almondshore.http.client import ConnectionPool
from almondshore.http.messages import encode_request
from soak.proxy import FaultProxy, ProxyMode
from standins.mesh_platform import StoreStandIn, serve


class FaultProxyTest(TestCase):
    def setUp(self):
        super().setUp()
        clock = BootClock()
        server = serve(clock, StoreStandIn())
        self.addCleanup(server.close)
        self.proxy = FaultProxy(destination=server.address(), rng=random.Random(1))
        self.addCleanup(self.proxy.close)
        self.pool = ConnectionPool(clock=clock)

    def start_call(self):
        done = Event()
        data = encode_request(b"GET", b"/objects/config", ((b"Host", b"h"),), b"")
        call_timeout = timedelta(seconds=0.5)
        self.pool.call(self.proxy.address, data, timeout=call_timeout, on_done=done.send)
        return done

    def test_link_is_disturbed_until_an_endless_response_is_closed(self):
        """Guards against holding a node to a rule while a response of an ended fault hinders it."""
        self.assertTrue(self.proxy.is_undisturbed())
        self.proxy.set_mode(ProxyMode.ENDLESS)
        done = self.start_call()
        eventlet.sleep(0.1)
        self.proxy.set_mode(ProxyMode.PASS)
        self.assertFalse(self.proxy.is_undisturbed())
        self.assertEqual(200, self.start_call().wait().response.status)
        self.assertFalse(self.proxy.is_undisturbed())
        self.assertIsNone(done.wait().response)
        eventlet.sleep(0.1)
        self.assertTrue(self.proxy.is_undisturbed())

    def test_each_mode_but_passing_disturbs(self):
        """Guards against a fault of a link that the checks do not take into account."""
        for mode in ProxyMode:
            self.proxy.set_mode(mode)
            self.assertEqual(mode is ProxyMode.PASS, self.proxy.is_undisturbed(), mode)
