"""Scenarios of tests/gateway.py: numbers in what callers send."""

import socket
import threading
import time

from hosted import (
    HOST, MODEL, check, find_log_line, has_all_events, http_get, next_id, send, send_draft,
    wait_for)

NUMBERS = ["0", "-1", "1e9", "4294967295", "4294967296", "99999999999",
           "9223372036854775808", "18446744073709551615", "18446744073709551616",
           "9" * 400, "0x10", " 7", "7 ", "+7", "NaN", "", ",", "1.5"]
# More prompt tokens than any engine holds.
TOO_LARGE = ["150001", "4294967295", "4294967296", "99999999999",
             "18446744073709551616", "9" * 400]


def hold_streams(s, n):
    """Streams whose prompts are pending at the engines; returns a function that lets
    them go on and checks them."""
    go_on = threading.Event()
    answers = []

    def serve(replica, req, rid):
        go_on.wait(3)
        return replica.answer_stream(req, rid)

    for engine in s.engines:
        engine.answer_with = serve
    threads = [threading.Thread(target=lambda: answers.append(send_draft(s.gw)))
               for _ in range(n)]
    for thread in threads:
        thread.start()

    def finish():
        go_on.set()
        for thread in threads:
            thread.join()
        for engine in s.engines:
            engine.answer_with = None
        check(s.gw.popen.poll() is None, "the instance ended")
        check(all(has_all_events(a) for a in answers), "streams of others are lost")
    return finish


def large_token_counts(s):
    """A request that states more tokens than an engine holds is refused at once and not
    run, and ends neither the instance nor the requests of others."""
    wait_for("served", lambda: has_all_events(send_draft(s.gw)))
    for number in TOO_LARGE:
        finish = hold_streams(s, 6)
        time.sleep(0.1)
        for _ in range(3):
            for text in (f"{number},24", number, f"{number},{number}"):
                rid = next_id()
                begin = time.monotonic()
                a = send_draft(s.gw, rid=rid, headers={"Token-Count": text})
                check(a.status == 503 and s.run_count(rid) == 0,
                      f"{text}: {a.status}, ran {s.run_count(rid)} times")
                check(time.monotonic() - begin < 1, f"{text}: not at once")
                check("Retry-After" in a.headers, f"{text}: no time")
                line = find_log_line(s, rid, "refused")
                check(line["reason"] == "larger_than_engine", f"{line}")
        finish()
    a = send_draft(s.gw, headers={"Token-Count": "1000,99999999999"})
    check(has_all_events(a), f"a large limit of output: {a.status}")


large_token_counts.system_options = {"plains": 0}


def numbers_in_requests(s):
    """Odd numbers in all fields of requests end no instance and no request of others."""
    wait_for("served", lambda: has_all_events(send_draft(s.gw)))
    finish = hold_streams(s, 4)
    time.sleep(0.1)
    fields = ("Token-Count", "Deadline-Ms", "Last-Event-Id", "Length-Hint", "Pin-Ms",
              "Request-Urgency", "Expect-Version", "Keep-Alive")
    for number in NUMBERS:
        for field in fields:
            for path in ("/lookup/1", "/brief/1"):
                fields_of = {"Model": f"{MODEL}/a1", field: number}
                threading.Thread(target=send, daemon=True, args=(s.gw.front, path), kwargs={
                    "headers": fields_of, "timeout_s": 5}).start()
        send(s.gw.front, "/lookup/1", headers={
            "Prompt-Prefix": f"{number}:{number},a:{number},{number}"})
        host, port = s.gw.front.split(":")
        for head in (f"Content-Length: {number}", f"Transfer-Encoding: chunked\r\n\r\n{number}"):
            sock = socket.create_connection((host, int(port)), 2)
            sock.sendall(f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n{head}\r\n\r\n".encode())
            sock.close()
        http_get(s.gw.mesh, f"/rows/{number.strip() or 0}/{number.strip()}")
        http_get(s.gw.directory, f"/api/resolve?name=x&region={number.strip()}&zone=dc1")
    finish()
    check(send(s.gw.front, "/lookup/1", method="GET").status == 200, "not served")


numbers_in_requests.system_options = {"plains": 2}


SCENARIOS = [large_token_counts, numbers_in_requests]
