#!/usr/bin/env python3
"""Checks the answers to callers against the execution logs of the endpoints.

Usage: demo_verdict.py NEWEST CALLER_HISTORY ENDPOINT_HISTORY...

NEWEST holds lines "ADAPTER VERSION": the version that serves a request without
a version. Prints every contradiction, then one line of totals. Exits with 1
when there is a contradiction, or a request without a complete answer.
"""

import collections
import json
import sys

LEAVING_MAX_MS = 4000  # a leaving endpoint may get new work for this long


def read_events(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


def read_newest_versions(path):
    with open(path, encoding="utf-8") as lines:
        return dict(line.split() for line in lines if line.strip())


class AnswerChecker:
    """Collects contradictions between answers and executions, and totals."""

    def __init__(self, newest_versions, caller, endpoints):
        self.newest_versions = newest_versions
        self.errors = []
        self.invokes = {e["tag"]: e for e in caller if e["ev"] == "invoke"}
        self.returns = {e["tag"]: e for e in caller if e["ev"] == "return"}
        self.runs = collections.defaultdict(list)
        self.ends = {}
        self.execs = collections.defaultdict(list)
        self.filed = collections.Counter()
        self.leaving_since = {e["who"]: e["t"] for e in endpoints
                              if e["ev"] == "leaving"}
        for event in endpoints:
            self.add_event(event)

    def add_event(self, event):
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
            self.add_error(f"{event['who']} slot {event['slot']}: replaced "
                           f"with {event['running']} requests in progress")

    def check_leaving(self, event):
        late_ms = event["t"] - self.leaving_since.get(event["who"], event["t"])
        if late_ms > LEAVING_MAX_MS:
            self.add_error(f"{event['who']}: new work {late_ms} ms after it "
                           "began to leave")

    def add_error(self, text):
        self.errors.append(text)

    def check_return(self, tag):
        invoke = self.invokes[tag]
        answer = self.returns.get(tag)
        if answer is None:
            self.add_error(f"{tag}: no answer")
            return
        if answer["outcome"] == "NOT_RUN" and (self.runs[tag] or
                                               self.execs[tag]):
            self.add_error(f"{tag}: told NOT_RUN, but it ran")
        if answer["outcome"] != "DONE":
            return
        if not answer["whole"]:
            self.add_error(f"{tag}: told DONE, the answer is not whole")
        if invoke["class"] in ("draft", "interactive"):
            self.check_runs(tag, invoke)
        elif not self.execs[tag] and not answer.get("replayed"):
            self.add_error(f"{tag}: told DONE, no endpoint ran it")

    def check_runs(self, tag, invoke):
        version = (invoke["version"] or
                   self.newest_versions.get(invoke["adapter"]) or
                   self.returns[tag].get("version"))
        found = False
        for run in self.runs[tag]:
            end = self.ends.get(run["id"], {})
            names = [(run["adapter"], run["version"]),
                     (run["slot_adapter"], run["slot_version"]),
                     (end.get("slot_adapter"), end.get("slot_version"))]
            matches = all(n == (invoke["adapter"], version) for n in names)
            found = found or (matches and end.get("ok", False))
        if not found:
            self.add_error(f"{tag}: told DONE, no run of {invoke['adapter']}"
                           f"@{version} to its end")

    def check_filings(self):
        """Returns the number of keys answered DONE that ran exactly once."""
        done = set()
        for tag, answer in self.returns.items():
            invoke = self.invokes[tag]
            if invoke["class"] == "filing" and answer["outcome"] == "DONE":
                done.add(invoke["key"])
        for key, count in self.filed.items():
            if count != 1:
                self.add_error(f"filing {key}: run {count} times")
        for key in done:
            if self.filed[key] == 0:
                self.add_error(f"filing {key}: told DONE, never run")
        return sum(1 for key in done if self.filed[key] == 1)

    def totals(self):
        """Returns the number of requests, of those with a complete answer, and
        of the generations among the latter."""
        requests = {tag.rsplit(".", 1)[0] for tag in self.invokes}
        whole = set()
        generations = set()
        for tag, answer in self.returns.items():
            if answer["outcome"] == "DONE" and answer["whole"]:
                name = tag.rsplit(".", 1)[0]
                whole.add(name)
                if self.invokes[tag]["class"] in ("draft", "interactive"):
                    generations.add(name)
        return len(requests), len(whole), len(generations)


def main(args):
    endpoints = []
    for path in args[2:]:
        endpoints += read_events(path)
    checker = AnswerChecker(read_newest_versions(args[0]),
                            read_events(args[1]), endpoints)
    for tag in checker.invokes:
        checker.check_return(tag)
    filings = checker.check_filings()
    requests, whole, generations = checker.totals()
    for text in checker.errors:
        print(f"wrong: {text}")
    if whole < requests:
        print(f"not answered whole: {requests - whole} of {requests}")
    print(f"demo: {requests} requests, {generations} whole from the right "
          f"adapter and version, {filings} filings run once, "
          f"{len(checker.errors)} wrong")
    return 0 if not checker.errors and whole == requests else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
