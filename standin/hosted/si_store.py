"""Stand-in of the users' store: rows, transactions and change feeds."""

import base64
import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

from si_http import Server, reset_connection


class Store:
    def __init__(self):
        self.cond = threading.Condition()
        self.rows = {}     # (table, key) -> (value bytes, version)
        self.history = []  # (version, table, key, value or None)
        self.version = 0
        self.mode = "up"   # up, busy, limited, reset, silent, endless_head,
                           # endless_body, endless_informational: bytes
                           # until the caller closes; status_000: an answer
                           # with that status; raw: `raw_answer`
        self.raw_answer = b""
        self.turned_away = {}  # address of a view -> (mode, table or None)
        self.calls = 0
        self.feed_delay_s = 0  # before each answer to a feed call
        self.unanswered_feeds = {}  # table -> feed calls not to answer
        self.lost_tx_answers = 0  # transactions to carry out but not answer
        self.tx_delay_s = 0  # before a transaction with a lost answer
        self.late_key = None  # the next transaction that writes it is not
        self.late_s = 0       # answered, and carried out this much later
        self.late_statuses = []
        self.era = 0         # stated in all answers; None: not stated
        self.copies = []     # (time, rows, version), oldest first
        self.views = []
        self.server = Server(self.handle)
        self.addr = self.server.addr

    def add_view(self, addresses=None):
        """Returns an address at which the store shows other addresses of
        replicas: {registered address: address shown}; None: the same. Its
        callers can be turned away."""
        def handle(req):
            req.shown = addresses
            req.view = view.addr
            return self.handle(req)
        view = Server(handle)
        self.views.append(view)
        return view.addr

    def turn_away(self, view, mode, table=None):
        """From now on the callers of this view get no other answers than those
        of `mode`, also to reads in progress: busy (503), limited (429), reset,
        silent, or up to end this. With `table`, only reads of that table are
        turned away."""
        with self.cond:
            self.turned_away[view] = (mode, table)
            self.cond.notify_all()

    def _mode_for_view(self, req):
        mode, table = self.turned_away.get(getattr(req, "view", None),
                                           ("up", None))
        if table is not None and f"table={table}" not in req.target:
            return "up"
        return mode

    def _mode_for(self, req):
        mode = self._mode_for_view(req)
        return self.mode if mode == "up" else mode

    # Changes made by operators and replicas.

    def put(self, table, key, value):
        with self.cond:
            self._write(table, key, json.dumps(value).encode())
            self.cond.notify_all()

    def put_raw(self, table, key, raw):
        with self.cond:
            self._write(table, key, raw)
            self.cond.notify_all()

    def put_in_part(self, table, part, key, raw):
        """Writes, or with raw None removes, a row of another part: only the feed
        of a table covers all of its parts."""
        with self.cond:
            self.version += 1
            self.history.append((self.version, table, (part, key), raw))
            self.cond.notify_all()

    def remove(self, table, key):
        with self.cond:
            self._write(table, key, None)
            self.cond.notify_all()

    def keep_copy(self):
        """Copies the rows, for a later restore()."""
        with self.cond:
            self.copies.append((time.monotonic(), dict(self.rows),
                                self.version))
            del self.copies[:-100]

    def restore(self, age_s=0.0, away_s=0.2):
        """The store is away for a moment and returns from its newest copy of
        at least that age, in the next era. Returns False when there is none.
        """
        until = time.monotonic() - age_s
        old = [c for c in self.copies if c[0] <= until]
        if not old:
            return False
        mode, self.mode = self.mode, "busy"
        with self.cond:
            self.cond.notify_all()
        time.sleep(away_s)
        with self.cond:
            _, rows, self.version = old[-1]
            self.rows = dict(rows)
            self.history = []
            self.copies = []
            self.era += 1
        self.mode = mode
        return True

    def drop_history(self):
        with self.cond:
            self.history.clear()

    def keys(self, table, prefix=""):
        with self.cond:
            return {k: v[0].decode() for (t, k), v in self.rows.items()
                    if t == table and k.startswith(prefix)}

    def _write(self, table, key, raw):
        self.version += 1
        if raw is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (raw, self.version)
        self.history.append((self.version, table, key, raw))

    # Calls. get(), feed() and transact() return (status, body).

    def handle(self, req):
        self.calls += 1
        mode = self._mode_for(req)
        if mode != "up":
            return self._handle_unserved(req, mode)
        url = urlsplit(req.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/api/rows-feed":
            time.sleep(self.feed_delay_s)
        calls = {"/api/rows-get": self.get,
                 "/api/rows-feed": lambda q: self.feed(
                     q, lambda: self._mode_for(req))}
        if (url.path == "/api/rows-feed" and
                self.unanswered_feeds.get(query["table"], 0)):
            self.unanswered_feeds[query["table"]] -= 1
            req.sock.recv(1)  # until the caller closes the connection
            return False
        if url.path == "/api/rows-tx":
            if self.late_key is not None and self.late_key in [
                    w["key"] for w in json.loads(req.body)["writes"]]:
                self.late_key = None
                threading.Timer(self.late_s, self._transact_late,
                                [json.loads(req.body)]).start()
                req.sock.recv(1)  # until the caller closes the connection
                return False
            if self.lost_tx_answers > 0:
                self.lost_tx_answers -= 1
                time.sleep(self.tx_delay_s)
                self.transact(json.loads(req.body))
                reset_connection(req.sock)
                return False
            status, body = self.transact(json.loads(req.body))
        elif url.path in calls:
            status, body = calls[url.path](query)
        else:
            status, body = 404, {}
        mode = self._mode_for_view(req)
        if mode != "up" and url.path != "/api/rows-tx":
            return self._handle_unserved(req, mode)
        self._show_addresses(body, getattr(req, "shown", None))
        req.answer(status, json.dumps(body).encode(), self._headers())
        return True

    def _transact_late(self, body):
        self.late_statuses.append(self.transact(body)[0])

    def _handle_unserved(self, req, mode):
        if mode in ("busy", "limited"):
            req.answer(503 if mode == "busy" else 429,
                       headers=self._headers())
            return True
        if mode == "reset":
            reset_connection(req.sock)
            return False
        if mode == "silent":
            time.sleep(30)
            return False
        if mode == "raw":
            req.sock.sendall(self.raw_answer)
            return True
        if mode.startswith("status_"):
            req.sock.sendall(f"HTTP/1.1 {mode[7:]} X\r\nContent-Length: 11\r\n\r\n"
                             '{"rows":[]}'.encode())
            return True
        while mode == "endless_informational":
            req.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
        req.sock.sendall(b"HTTP/1.1 200 OK\r\n" + (
            b"" if mode == "endless_head" else b"\r\n"))
        while True:
            req.sock.sendall(b"X: " + b"1" * 60 + b"\r\n")

    def _show_addresses(self, body, shown):
        for row in body.get("rows", []) if shown is not None else []:
            if row["table"] != "servers" or "value" not in row:
                continue
            entry = json.loads(base64.b64decode(row["value"]))
            entry["addr"] = shown.get(entry["addr"], entry["addr"])
            row["value"] = base64.b64encode(
                json.dumps(entry).encode()).decode()

    def _headers(self):
        return [] if self.era is None else [("Store-Era", str(self.era))]

    def _row(self, table, key, raw, version):
        part, key = key if isinstance(key, tuple) else ("", key)
        row = {"table": table, "part": part, "key": key, "ver": version}
        if raw is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(raw).decode()
        return row

    def get(self, query):
        with self.cond:
            keys = sorted(k for t, k in self.rows if t == query["table"]
                          and k >= query.get("from", ""))
            limit = int(query.get("limit", "500"))
            rows = [self._row(query["table"], k,
                              *self.rows[(query["table"], k)])
                    for k in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit,
                         "ver": self.version}

    def feed(self, query, mode=lambda: "up"):
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        with self.cond:
            while True:
                if after > self.version:
                    return 410, {}
                if after < self.version and (
                        not self.history or self.history[0][0] > after + 1):
                    return 410, {}
                newest = {}
                for version, table, key, raw in self.history:
                    if version > after and table == query["table"]:
                        newest[key] = (raw, version)
                left = until - time.monotonic()
                if newest or left <= 0 or mode() != "up":
                    rows = [self._row(query["table"], k, *v)
                            for k, v in newest.items()]
                    return 200, {"rows": rows, "ver": self.version}
                self.cond.wait(left)

    def transact(self, tx):
        with self.cond:
            for row in tx.get("expected", []):
                at = self.rows.get((row["table"], row["key"]))
                if (at[1] if at else 0) != row["ver"]:
                    return 412, {"ver": self.version, "rows": [
                        self._row(r["table"], r["key"],
                                  *self.rows[(r["table"], r["key"])])
                        for r in tx["expected"]
                        if (r["table"], r["key"]) in self.rows]}
            version = self.version + 1
            for row in tx.get("writes", []):
                raw = base64.b64decode(row["value"])
                self.rows[(row["table"], row["key"])] = (raw, version)
                self.history.append((version, row["table"], row["key"], raw))
            for row in tx.get("remove", []):
                self.rows.pop((row["table"], row["key"]), None)
                self.history.append((version, row["table"], row["key"], None))
            self.version = version
            self.cond.notify_all()
            return 200, {"ver": version}
