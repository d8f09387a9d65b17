"""Links between entries, which can be cut.

Each entry has a view of the store of its own, in which the other entries have
the addresses of links. A link passes datagrams on unless it is cut.
"""

import base64
import json
import select
import socket
import threading
import urllib.parse

import harness

standins = harness.standins
_STATUS_TOPIC = "keyed.status"
_ENTRY_PREFIX = "entry."


class Links:
    """The links between all entries.

    Attributes:
        cut: Names of the entries that reach no other entry at present.
    """

    def __init__(self):
        self.cut = set()
        self._addresses = {}  # Of the entries, by name.
        self._sockets = {}  # By who sends and who receives.
        self._ends = {}
        self._lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def announce(self, name, address):
        """Takes the address on which an entry receives."""
        with self._lock:
            self._addresses[name] = address

    def address(self, sender, receiver):
        """Returns the address at which one entry reaches another."""
        with self._lock:
            for pair in ((sender, receiver), (receiver, sender)):
                if pair not in self._sockets:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    sock.bind((harness.HOST, 0))
                    self._sockets[pair] = sock
                    self._ends[sock] = pair
            return self._sockets[sender, receiver].getsockname()

    def _run(self):
        while True:
            with self._lock:
                sockets = list(self._ends)
            for sock in select.select(sockets, [], [], 0.05)[0]:
                self._pass_on(sock)

    def _pass_on(self, sock):
        data, _ = sock.recvfrom(65536)
        sender, receiver = self._ends[sock]
        with self._lock:
            address = self._addresses.get(receiver)
            back = self._sockets[receiver, sender]
        if address is None or self.cut & {sender, receiver}:
            return
        try:
            back.sendto(data, address)
        except OSError:
            pass


class StoreView(standins.Server):
    """The store as one entry sees it."""

    def __init__(self, store, links, name):
        self._store = store
        self._links = links
        self._name = name
        super().__init__()

    def answer(self, request, sock):
        """Serves a call, with the links in place of the other entries."""
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        is_status = query.get("topic") == _STATUS_TOPIC
        if parts.path == "/log-append" and is_status:
            self._note(request.body)
        if parts.path != "/log-newest" or not is_status:
            return self._store.answer(request, sock)
        page = json.loads(self._store._newest(query, b"", None))
        page["items"] = [self._rewritten(each) for each in page["items"]]
        sock.sendall(standins.format_answer(200, json.dumps(page).encode()))
        return True

    def _note(self, body):
        length = body[4]
        key = body[5 : 5 + length].decode()
        if key.startswith(_ENTRY_PREFIX):
            value = json.loads(body[5 + length :])
            self._links.announce(
                key.removeprefix(_ENTRY_PREFIX), (value["host"], value["port"])
            )

    def _rewritten(self, item):
        name = item["key"].removeprefix(_ENTRY_PREFIX)
        if name == item["key"] or name == self._name:
            return item
        host, port = self._links.address(self._name, name)
        value = json.dumps({"host": host, "port": port}).encode()
        return item | {"value": base64.b64encode(value).decode()}
