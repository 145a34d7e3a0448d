"""Requests of callers and changes of operators in a scenario.

Sends them and checks the answers; records requests and outcomes in a history.
"""

import json
import threading
import time

from fghttp import request_json
import fghttp
from fgsystem import now_ms
from xxh64 import hash8

PATHS = {"filing": "/v1/filings", "status": "/v1/status",
         "draft": "/v1/generate", "interactive": "/v1/generate"}
RETRY_WAIT_MAX_S = 1.0
EXTRA_WAIT_S = 5
EARLY_DIVISOR = 10  # "early": answered within deadline / EARLY_DIVISOR


class History:
    """Appends events to a file, as docs/PROTOCOL.md, section 6, defines
    them."""

    def __init__(self, path, who):
        self.who = who
        self.lock = threading.Lock()
        self.file = open(path, "a", encoding="utf-8", buffering=1)
        self.add("open")

    def add(self, ev, **fields):
        with self.lock:
            event = {"t": now_ms(), "who": self.who, "ev": ev, **fields}
            self.file.write(json.dumps(event, separators=(",", ":")) + "\n")

    def close(self):
        with self.lock:
            self.file.close()


class Request:
    """A request of a scenario and, after run(), its outcome."""

    def __init__(self, tag, cls, target, options):
        self.tag = tag
        self.cls = cls
        self.target = target  # adapter or plain service
        self.key = options.get("key", "")
        self.version = options.get("version", "")
        self.prompt = options.get("prompt", f"prompt of {tag}")
        self.tokens = int(options.get("tokens", 8))
        self.deadline_ms = int(options.get("deadline", 30000))
        self.caller = options.get("caller", "kitchen")
        self.note = options.get("note", "")
        self.read_after_s = int(options.get("read_after", 0)) / 1000
        self.stream = "stream" in options
        self.retry = "retry" in options
        self.outcome = "UNKNOWN"
        self.reason = "connection_lost"
        self.whole = False
        self.replayed = False
        self.answered_version = ""
        self.early = False
        self.retry_after = False
        self.thread = None

    def is_generation(self):
        return self.cls in ("draft", "interactive")

    def body(self):
        if not self.is_generation():
            content = {"key": self.key}
            if self.note:
                content["note"] = self.note
            return {"service": self.target, "body": content,
                    "deadline_ms": self.deadline_ms}
        body = {"adapter": self.target, "prompt": self.prompt,
                "max_tokens": self.tokens, "class": self.cls,
                "deadline_ms": self.deadline_ms, "stream": self.stream}
        if self.version:
            body["version"] = self.version
        return body

    def headers(self, tag):
        headers = {"X-Caller": self.caller, "X-Request-Id": tag,
                   "Content-Type": "application/json"}
        if self.cls == "filing" and self.key:
            headers["Idempotency-Key"] = self.key
        return headers

    def expected_text(self, version):
        name = f"{self.target}@{version}"
        return "".join(f"{name}:{i}:{hash8(f'{name}|{self.prompt}|{i}')} "
                       for i in range(self.tokens))

    def is_generation_whole(self, last, streamed):
        version = last.get("version", "")
        if last.get("adapter") != self.target or not version:
            return False
        if self.version not in ("", version):
            return False
        if last.get("tokens") != self.tokens:
            return False
        expected = self.expected_text(version)
        texts = [last["text"]] if "text" in last else []
        if self.stream:
            texts.append(streamed)
        return bool(texts) and all(t == expected for t in texts)

    def is_plain_whole(self, last):
        body = last.get("body") or {}
        if self.cls == "filing":
            return body == {"filed": self.key, "receipt": hash8(self.key)}
        return (body.get("key") == self.key and
                isinstance(body.get("filed"), bool))

    def parse_answer(self, status, text):
        """Sets the outcome from an answer and returns its last line. Without
        that line the outcome is UNKNOWN and {} is returned."""
        last, streamed = read_lines(text)
        if status == 0 or last is None:
            self.outcome, self.reason = "UNKNOWN", "connection_lost"
            self.whole = False
            return {}
        self.outcome = last["outcome"]
        self.reason = last.get("reason", "")
        self.replayed = bool(last.get("replayed"))
        self.answered_version = last.get("version", "")
        self.whole = self.outcome == "DONE" and (
            self.is_generation_whole(last, streamed)
            if self.is_generation() else self.is_plain_whole(last))
        return last

    def attempt(self, history, tag, addr):
        generation = self.is_generation()
        history.add("invoke", tag=tag, **{"class": self.cls},
                    adapter=self.target if generation else "",
                    version=self.version,
                    key=self.key if self.cls == "filing" else "",
                    service="" if generation else self.target, entry=addr)
        begin = time.monotonic()
        status, text = fghttp.request(
            "POST", addr, PATHS[self.cls], self.body(), self.headers(tag),
            self.deadline_ms / 1000 + EXTRA_WAIT_S, self.read_after_s)
        took_ms = (time.monotonic() - begin) * 1000
        last = self.parse_answer(status, text)
        self.early = took_ms * EARLY_DIVISOR <= self.deadline_ms
        self.retry_after = last.get("retry_after_ms", 0) > 0
        history.add("return", tag=tag, outcome=self.outcome,
                    reason=self.reason, whole=self.whole,
                    replayed=self.replayed, version=self.answered_version)
        return last

    def run(self, history, choose_addr):
        """Sends the request. With the option retry, sends it again until the
        deadline after NOT_RUN, and while the first request with its key is in
        progress."""
        end = time.monotonic() + self.deadline_ms / 1000
        for n in range(1000):
            last = self.attempt(history, f"{self.tag}.{n}", choose_addr(self))
            wait_s = last.get("retry_after_ms", 0) / 1000
            send_again = (self.retry and "retry_after_ms" in last and
                          (self.outcome == "NOT_RUN" or
                           self.reason == "in_progress"))
            if not send_again or time.monotonic() + wait_s > end:
                return
            time.sleep(min(max(wait_s, 0.01), RETRY_WAIT_MAX_S))

    def start(self, history, choose_addr):
        self.thread = threading.Thread(target=self.run, daemon=True,
                                       args=(history, choose_addr))
        self.thread.start()

    def finish(self):
        self.thread.join(self.deadline_ms / 1000 + 2 * EXTRA_WAIT_S)
        return not self.thread.is_alive()

    def result_words(self):
        """Returns the words that an expectation may name."""
        words = {self.outcome, self.reason}
        if self.whole:
            words.add("whole")
        if self.replayed:
            words.add("replayed")
        if self.early:
            words.add("early")
        if self.retry_after:
            words.add("retry_after")
        if self.answered_version:
            words.add("version=" + self.answered_version)
        return words - {""}


class Change:
    """A change of an operator."""

    def __init__(self, tag, body):
        self.tag = tag
        self.body = body
        self.status = "unknown"
        self.revision = 0
        self.thread = None

    def run(self, addr):
        timeout_s = self.body.get("wait_ms", 0) / 1000 + EXTRA_WAIT_S
        _, answer = request_json("POST", addr, "/v1/admin/change", self.body,
                                 timeout_s=timeout_s)
        self.status = answer.get("status", "unknown")
        self.revision = answer.get("revision", 0)

    def start(self, addr):
        self.thread = threading.Thread(target=self.run, args=(addr,),
                                       daemon=True)
        self.thread.start()

    def finish(self):
        self.thread.join(60)
        return not self.thread.is_alive()

    def result_words(self):
        return {self.status, f"revision={self.revision}"}


def read_lines(text):
    """Returns the last line of an answer, or None, and the text streamed
    before it."""
    streamed = ""
    for line in text.splitlines():
        try:
            obj = json.loads(line)
        except ValueError:
            return None, streamed
        if not isinstance(obj, dict):
            return None, streamed
        if "outcome" in obj:
            return obj, streamed
        streamed += obj.get("t", "")
    return None, streamed
