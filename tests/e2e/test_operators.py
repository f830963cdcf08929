#!/usr/bin/env python3
"""Operators' requests: bad intents, stale plans, races, lost responses.

Guards against misread intents, plans that are applied to a state other than
the one they show, and writes that are lost or applied twice.
"""

import json
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../tools/pylib"))

from cluster import Cluster, http_call, wait_for  # noqa: E402

BAD_REQUESTS = [
    # method, path, body, status, part of the message
    ("POST", "/v1/plan", "", 400, "not JSON"),
    ("POST", "/v1/plan", "[]", 400, "object"),
    ("POST", "/v1/plan", '{"intent": "place"}', 400, "allowed: drain"),
    ("POST", "/v1/plan", '{"intent": "drain"}', 400, "domain"),
    ("POST", "/v1/plan", '{"intent": "drain", "domain": "zz"}', 404, "zz"),
    ("POST", "/v1/plan", '{"intent": "cancel", "job": "zz"}', 404, "zz"),
    ("POST", "/v1/plan", '{"intent": "set-limit", "limit": "attempts",'
     ' "value": 99}', 400, "1 to 10"),
    ("POST", "/v1/confirm", "{}", 400, "missing"),
    ("POST", "/v1/confirm", "\0\1\2", 400, "not JSON"),
    ("GET", "/v1/plan", None, 405, "does not allow"),
    ("PUT", "/v1/confirm", "{}", 405, "does not allow"),
    ("GET", "/v1/nothing", None, 404, "no such path"),
    ("GET", "/v1/explain/job/zz", None, 404, ""),
]


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def post(entry, path, body):
    status, _, response = http_call(entry.admin, "POST", path,
                                    json.dumps(body))
    return status, json.loads(response)


def make_plan(entry, **intent):
    status, response = post(entry, "/v1/plan", intent)
    check(status == 200, "plan %s: %s" % (intent, response))
    return response


def version(entry):
    return json.loads(
        http_call(entry.admin, "GET", "/v1/status")[2])["version"]


def limit(entry, name):
    config = json.loads(http_call(entry.admin, "GET", "/v1/config")[2])
    return [row["value"] for row in config["limits"] if row["name"] == name][0]


def test_bad_requests(cluster):
    entry = cluster.entries[0]
    wait_for("the owners to know the configuration", lambda: http_call(
        entry.admin, "GET", "/v1/explain/job/zz")[0] == 404)
    for method, path, body, expected, part in BAD_REQUESTS:
        status, _, response = http_call(entry.admin, method, path, body)
        what = "%s %s %r: %d %r" % (method, path, body, status, response)
        check(status == expected, what)
        error = json.loads(response)
        check(set(error) == {"error", "message"}, what)
        check(part in error["message"], what)
    check(version(entry) == 0, "bad requests changed the configuration")


def test_plan_changes_nothing(cluster):
    first, second = cluster.entries
    plan = make_plan(first, intent="set-limit", limit="attempts", value=2)
    check(version(first) == 0, "a plan changed the configuration")
    check(limit(first, "attempts") == 3, "a plan changed a limit")
    status, response = post(second, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "applied", response)
    for entry in cluster.entries:
        wait_for("the limit at every entry",
                 lambda e=entry: limit(e, "attempts") == 2)
    status, response = post(first, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "in-force", response)
    check(version(first) == 1, "a second confirmation wrote a version")


def test_edited_plan(cluster):
    entry = cluster.entries[0]
    plan = make_plan(entry, intent="set-limit", limit="attempts", value=4)
    plan["intent"]["value"] = 5
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 400 and "digest" in response["message"], response)


def test_stale_plan(cluster):
    first, second = cluster.entries
    old = make_plan(first, intent="set-limit", limit="retry_floor", value=20)
    new = make_plan(second, intent="set-limit", limit="retry_floor", value=30)
    check(post(second, "/v1/confirm", new)[0] == 200, "confirm")
    status, response = post(first, "/v1/confirm", old)
    check(status == 409 and response["error"] == "conflict", response)
    check("set-limit retry_floor 30" in response["message"], response)
    check(limit(first, "retry_floor") == 30, "the stale plan took effect")


def test_racing_operators(cluster):
    """Exactly one of the plans that share a basis is confirmed."""
    before = version(cluster.entries[0])
    wait_for("both entries at one version",
             lambda: version(cluster.entries[1]) == before)
    plans = [make_plan(cluster.entries[i % 2], intent="set-limit",
                       limit="entry_queue", value=100 + i) for i in range(6)]
    responses = [None] * len(plans)

    def confirm(i):
        responses[i] = post(cluster.entries[i % 2], "/v1/confirm", plans[i])

    threads = [threading.Thread(target=confirm, args=(i,))
               for i in range(len(plans))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [i for i, response in enumerate(responses) if response[0] == 200]
    conflicts = [response for response in responses if response[0] == 409]
    check(len(winners) == 1 and len(conflicts) == len(plans) - 1, responses)
    for entry in cluster.entries:
        wait_for("the confirmed value", lambda e=entry:
                 limit(e, "entry_queue") == 100 + winners[0])
        check(version(entry) == before + 1, "more than one version")


def test_lost_response(cluster):
    """A write whose response is lost is looked up, not applied twice."""
    entry = cluster.entries[0]
    before = version(entry)
    plan = make_plan(entry, intent="set-quota", team="returns", cpu_milli=8000,
                     mem_mb=4096, accel=0)
    # Other writes run too; a single lost response might not be this one.
    cluster.control_store(lose_answers=3, lose_kind="txn")
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "applied", response)
    check(version(entry) == before + 1, "applied twice")


def confirm_in_background(entry, plan):
    """Returns a function that waits for the response."""
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(post(entry, "/v1/confirm", plan)))
    thread.start()

    def join():
        thread.join()
        return responses[0]
    return join


def test_lost_response_then_other_write(cluster):
    """A write without response is recognized although another followed."""
    first, second = cluster.entries
    before = version(first)
    plan = make_plan(first, intent="set-limit", limit="job_tries", value=5)
    cluster.control_store(lose_answers=1, lose_kind="txn")
    join = confirm_in_background(first, plan)
    wait_for("the lost write", lambda: cluster.store_state()[
        "lose_answers"] == 0)
    while True:
        next_plan = make_plan(second, intent="set-limit", limit="entry_queue",
                              value=77)
        if post(second, "/v1/confirm", next_plan)[0] == 200:
            break
    status, response = join()
    check(status == 200 and response["result"] == "applied", response)
    check(limit(second, "job_tries") == 5, "the first write is gone")
    wait_for("two versions", lambda: version(first) == before + 2)


def test_unknown_outcome(cluster):
    """An outcome that cannot be determined is reported as unknown."""
    entry = cluster.entries[0]
    before = version(entry)
    plan = make_plan(entry, intent="set-limit", limit="attempts", value=6)
    cluster.control_store(lose_answers=1, lose_kind="txn")
    join = confirm_in_background(entry, plan)
    try:
        wait_for("the lost write", lambda: cluster.store_state()[
            "lose_answers"] == 0)
        cluster.control_store(mode="refuse")
        status, response = join()
    finally:
        cluster.control_store(mode="ok")
    # Applied if the outage began too late, as may be on a slow machine.
    check((status, response.get("result")) == (200, "applied") or
          (status, response.get("error")) == (504, "unknown"), response)
    if status == 504:
        check("catkinhillctl confirm" in response["message"], response)
    wait_for("the entry to update", lambda: version(entry) == before + 1)
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "in-force", response)
    check(version(entry) == before + 1, "applied twice")


def test_store_down(cluster):
    entry = cluster.entries[0]
    plan = make_plan(entry, intent="set-limit", limit="job_tries", value=2)
    cluster.control_store(mode="refuse")
    try:
        status, response = post(entry, "/v1/confirm", plan)
        check(status == 503 and response["error"] == "unavailable", response)
        check("nothing was changed" in response["message"], response)
    finally:
        cluster.control_store(mode="ok")
    wait_for("the confirmation after the outage",
             lambda: post(entry, "/v1/confirm", plan)[0] == 200)


def test_submit_twice(cluster):
    entry = cluster.entries[0]
    job = {"job": "j1", "team": "returns", "urgent": False, "cpu_milli": 100,
           "mem_mb": 10, "accel": 0, "command": "sleep 1"}
    plan = make_plan(entry, intent="submit", job=job)
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "submitted", response)
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 409 and response["error"] == "exists", response)
    status, response = post(entry, "/v1/plan",
                            {"intent": "submit", "job": job})
    check(status == 409 and response["error"] == "exists", response)
    wait_for("the owner to take the job", lambda: "partition" in json.loads(
        http_call(entry.admin, "GET", "/v1/explain/job/j1")[2]))
    status, response = post(entry, "/v1/plan",
                            {"intent": "submit", "job": job})
    check(status == 409 and response["error"] == "exists", response)


def test_cancel_twice(cluster):
    entry = cluster.entries[1]
    plan = make_plan(entry, intent="cancel", job="j1")
    check(not plan["warnings"] and not plan["in_force"], plan)
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "cancelling", response)
    wait_for("the job to be cancelled", lambda: make_plan(
        entry, intent="cancel", job="j1")["in_force"])
    status, response = post(entry, "/v1/confirm", plan)
    check(status == 200 and response["result"] == "in-force", response)


def test_command_line(cluster):
    path = os.path.join(cluster.directory, "plan.json")
    cases = [
        # arguments, exit code, part of the output
        (["--help"], 0, "EXIT CODES"),
        (["drain", "--help"], 0, "catkinhillctl drain DOMAIN"),
        ([], 2, "command is missing"),
        (["place"], 2, "unknown command place"),
        (["drain"], 2, "usage: catkinhillctl drain DOMAIN"),
        (["set-limit", "attempts", "x"], 2, "not a whole number"),
        (["set-limit", "attempts", "99"], 2, "1 to 10"),
        (["drain", "zz"], 3, "'zz'"),
        (["confirm", path], 2, "cannot be read"),
        (["set-limit", "attempts", "5", "--out", path], 0,
         "Nothing has been changed"),
        (["confirm", path], 0, "applied"),
        (["confirm", path], 0, "in-force"),
        (["unset-limit", "attempts", "--out", path], 0, "confirm " + path),
        (["config"], 0, "attempts"),
        (["status"], 0, "DOMAIN"),
        (["watch", "--count", "1"], 0, "configuration version"),
        (["explain", "nothing", "x"], 2, "request ID or job ID"),
    ]
    for args, expected, part in cases:
        code, out, err = cluster.ctl(*args)
        check(code == expected and part in out + err,
              "%s: %d %s %s" % (args, code, out, err))
    unreachable = type("Nobody", (), {"admin": cluster.address()})
    code, _, err = cluster.ctl("status", entry=unreachable)
    check(code == 4 and "cannot reach the entry" in err, err)
    code, out, err = cluster.ctl("status", "--entry",
                                 cluster.entries[1].admin, entry=unreachable)
    check(code == 0 and "entry e2" in out, err)


def main(build):
    with Cluster(build) as cluster:
        cluster.start_store()
        cluster.start_entry("e1", "a", "a1")
        cluster.start_entry("e2", "b", "b1")
        for name, test in list(globals().items()):
            if name.startswith("test_"):
                print(name, flush=True)
                test(cluster)
        for entry in cluster.entries:
            check(entry.stop() == 0, entry.name + " did not stop cleanly")


main(sys.argv[1])
