#!/usr/bin/env python3
"""Compares what a caller was told with what the endpoints did.

Usage: demo_verdict.py NEWEST CALLER_HISTORY ENDPOINT_HISTORY...

NEWEST holds lines "ADAPTER VERSION": the version that a request without one
must get. Prints every contradiction, then one line of totals; exits with 1
when there was one, or when a request was left without a whole answer.
"""

import collections
import json
import sys

LEAVING_MAX_MS = 4000  # work may still reach a leaving endpoint this long


def read_events(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


def read_newest(path):
    with open(path, encoding="utf-8") as lines:
        return dict(line.split() for line in lines if line.strip())


class Verdict:
    """Collects contradictions and totals."""

    def __init__(self, newest, caller, endpoints):
        self.newest = newest
        self.wrong = []
        self.invokes = {e["tag"]: e for e in caller if e["ev"] == "invoke"}
        self.returns = {e["tag"]: e for e in caller if e["ev"] == "return"}
        self.runs = collections.defaultdict(list)
        self.ends = {}
        self.execs = collections.defaultdict(list)
        self.filed = collections.Counter()
        self.left = {e["who"]: e["t"] for e in endpoints
                     if e["ev"] == "leaving"}
        for event in endpoints:
            self.take(event)

    def take(self, event):
        kind = event["ev"]
        if kind in ("run_start", "exec"):
            self.check_leaving(event)
        if kind == "run_start":
            self.runs[event["tag"]].append(event)
        elif kind == "run_end":
            self.ends[event["id"]] = event
        elif kind == "exec":
            self.execs[event["tag"]].append(event)
            if event["op"] == "file":
                self.filed[event["key"]] += 1
        elif kind in ("load_start", "evict") and event["running"] > 0:
            self.fail(f"{event['who']} slot {event['slot']}: replaced with "
                      f"{event['running']} requests in progress")

    def check_leaving(self, event):
        late_ms = event["t"] - self.left.get(event["who"], event["t"])
        if late_ms > LEAVING_MAX_MS:
            self.fail(f"{event['who']}: new work {late_ms} ms after it began "
                      "to leave")

    def fail(self, text):
        self.wrong.append(text)

    def check_return(self, tag):
        invoke = self.invokes[tag]
        ret = self.returns.get(tag)
        if ret is None:
            self.fail(f"{tag}: no answer")
            return
        if ret["outcome"] == "NOT_RUN" and (self.runs[tag] or
                                            self.execs[tag]):
            self.fail(f"{tag}: told NOT_RUN, but it ran")
        if ret["outcome"] != "DONE":
            return
        if not ret["whole"]:
            self.fail(f"{tag}: told DONE, the answer is not whole")
        if invoke["class"] in ("draft", "interactive"):
            self.check_runs(tag, invoke)
        elif not self.execs[tag] and not ret.get("replayed"):
            self.fail(f"{tag}: told DONE, no endpoint ran it")

    def check_runs(self, tag, invoke):
        version = (invoke["version"] or self.newest.get(invoke["adapter"]) or
                   self.returns[tag].get("version"))
        ok = False
        for run in self.runs[tag]:
            end = self.ends.get(run["id"], {})
            names = [(run["adapter"], run["version"]),
                     (run["slot_adapter"], run["slot_version"]),
                     (end.get("slot_adapter"), end.get("slot_version"))]
            right = all(n == (invoke["adapter"], version) for n in names)
            ok = ok or (right and end.get("ok", False))
        if not ok:
            self.fail(f"{tag}: told DONE, no run of {invoke['adapter']}"
                      f"@{version} to its end")

    def check_filings(self):
        """Returns the number of keys filed exactly once."""
        done = set()
        for tag, ret in self.returns.items():
            invoke = self.invokes[tag]
            if invoke["class"] == "filing" and ret["outcome"] == "DONE":
                done.add(invoke["key"])
        for key, count in self.filed.items():
            if count != 1:
                self.fail(f"filing {key}: run {count} times")
        for key in done:
            if self.filed[key] == 0:
                self.fail(f"filing {key}: told DONE, never run")
        return sum(1 for key in done if self.filed[key] == 1)

    def totals(self):
        """Returns (requests, whole answers, whole generations)."""
        requests = {tag.rsplit(".", 1)[0] for tag in self.invokes}
        whole = set()
        generations = set()
        for tag, ret in self.returns.items():
            if ret["outcome"] == "DONE" and ret["whole"]:
                name = tag.rsplit(".", 1)[0]
                whole.add(name)
                if self.invokes[tag]["class"] in ("draft", "interactive"):
                    generations.add(name)
        return len(requests), len(whole), len(generations)


def main(args):
    endpoints = []
    for path in args[2:]:
        endpoints += read_events(path)
    verdict = Verdict(read_newest(args[0]), read_events(args[1]), endpoints)
    for tag in verdict.invokes:
        verdict.check_return(tag)
    filings = verdict.check_filings()
    requests, whole, generations = verdict.totals()
    for text in verdict.wrong:
        print(f"wrong: {text}")
    if whole < requests:
        print(f"not answered whole: {requests - whole} of {requests}")
    print(f"demo: {requests} requests, {generations} whole from the right "
          f"adapter and version, {filings} filings run once, "
          f"{len(verdict.wrong)} wrong")
    return 0 if not verdict.wrong and whole == requests else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
