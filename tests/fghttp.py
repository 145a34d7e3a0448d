#!/usr/bin/env python3
"""JSON over HTTP for the tests.

As a program: fghttp.py METHOD IP:PORT PATH [JSON] prints the answer's body and
exits with 0 when the status is 200.
"""

import http.client
import json
import sys

TIMEOUT_S = 10


def request(method, addr, path, body=None, headers=None, timeout_s=TIMEOUT_S):
    """Returns (status, text); status 0 when there was no whole answer."""
    host, port = addr.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, headers or {})
        res = conn.getresponse()
        return res.status, res.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        conn.close()


def request_json(method, addr, path, body=None, headers=None,
                 timeout_s=TIMEOUT_S):
    """Returns (status, object); the object is {} when it is not one."""
    status, text = request(method, addr, path, body, headers, timeout_s)
    try:
        obj = json.loads(text)
    except ValueError:
        obj = {}
    return status, obj if isinstance(obj, dict) else {}


def main(args):
    body = json.loads(args[3]) if len(args) > 3 else None
    status, text = request(args[0], args[1], args[2], body)
    print(text)
    return 0 if status == 200 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
