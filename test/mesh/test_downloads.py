"""Tests of downloads through complete nodes: idempotent requests with large responses."""

import eventlet
from eventlet.event import Event
from eventlet.green import socket
from testtools import TestCase

from almondshore.http.messages import Response, encode_request, encode_response
from almondshore.http.parsing import ResponseParser
from almondshore.http.server import MAX_UNREAD_BYTES
from standins.mesh_deployment import stored_config
from test.http.loopback import wait_until
from test.mesh.test_node import new_mesh

# The largest responses of the sites that have downloads.
LARGE_BODY = b"d" * 540_000
SENT_BYTES = 500_000
DOWNLOADS = 12
# Requests that earn enough retries for a test.
EARLIER_REQUESTS = 100


class DownloadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.mesh = new_mesh(self)
        config = stored_config(3, ("s", "small"), route_type="download", timeout_s=4.0)
        config["routes"]["r-small"]["route_type"] = "idempotent"
        self.mesh.store.put("config", "main", config)
        self.mesh.add_node("n1", service="small")
        for name in ("n2", "n3"):
            self.mesh.add_node(name)
            self.mesh.target_standins[name].make_response = self.large_response
        wait_until(lambda: len(self.mesh.nodes["n1"].directory.targets) == 3)

    def large_response(self, exchange):
        attempt = exchange.request.header(b"attempt-id")
        return Response(200, ((b"Attempt-Id", attempt), (b"Response-Signature", b"s")), LARGE_BODY)

    def broken_response(self, exchange):
        """Send most of a large response and close the connection."""
        data = encode_response(self.large_response(exchange), head=False, close=False)
        stream = exchange.connection.stream
        stream.write(data[:SENT_BYTES])
        wait_until(lambda: not stream.unsent)
        stream.close()

    def test_response_that_breaks_off_is_requested_again(self):
        """Guards against a large response that the caller gets in part, or not at all."""
        self.mesh.target_standins["n2"].make_response = self.broken_response
        for _ in range(EARLIER_REQUESTS):
            self.mesh.nodes["n1"].budget.deposit("s")
        for number in range(4):
            response = self.mesh.request("n1", request_id=f"a{number}", deadline_ms=4000).response
            self.assertEqual((200, len(LARGE_BODY)), (response.status, len(response.body)))
        self.assertNotEqual([], self.mesh.target_standins["n2"].executed)

    def test_response_that_breaks_off_everywhere_is_a_failure(self):
        """Guards against a part of a large response that counts as the whole."""
        for name in ("n2", "n3"):
            self.mesh.target_standins[name].make_response = self.broken_response
        response = self.mesh.request("n1", deadline_ms=4000).response
        self.assertEqual((502, b""), (response.status, response.body))

    def test_small_request_is_not_held_up_by_downloads(self):
        """Guards against small requests that wait until the large responses before them end."""
        ended = []

        def run(path, name):
            response = self.mesh.request("n1", path=path, request_id=name, deadline_ms=4000)
            ended.append((name, response.response.status))

        # Polling for the first download would often see it only when all have ended.
        began = Event()
        for name in ("n2", "n3"):
            self.mesh.target_standins[name].on_run = lambda _exchange: (
                None if began.ready() else began.send()
            )
        downloads = [eventlet.spawn(run, "/s/x", f"d{number}") for number in range(DOWNLOADS)]
        began.wait()
        run("/small/x", "small")
        for download in downloads:
            download.wait()
        self.assertEqual({200}, {status for _, status in ended})
        self.assertTrue(ended.index(("small", 200)) < DOWNLOADS, ended)

    def test_caller_that_reads_slowly_gets_the_whole_response(self):
        """Guards against a response that is cut, and small ones that wait, on a slow link."""
        node = self.mesh.nodes["n1"]
        headers = ((b"Host", b"h.example"), (b"Attempt-Id", b"a1"), (b"Deadline-Ms", b"4000"))
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self.addCleanup(client.close)
        client.connect(node.settings.outbound)
        client.sendall(encode_request(b"GET", b"/s/x", headers, b""))
        parser, held = ResponseParser(), []
        while not parser.complete:
            parser.feed(client.recv(32_768))
            held.extend(len(item.stream.unsent) for item in node.outbound_server.connections)
            if self.mesh.request_status("n1", path="/small/x") != 200:
                self.fail("a small request failed during the download")
        self.assertEqual(LARGE_BODY, parser.complete[0].body)
        self.assertTrue(max(held) <= len(LARGE_BODY) + MAX_UNREAD_BYTES, max(held))
