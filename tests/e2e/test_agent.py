#!/usr/bin/env python3
"""Requests, streams, stop and drain at one agent."""

import signal
import sys
import time

import agent_rig


def ready_only_with_worker(rig):
    """Guards against an agent that accepts work while its worker is down."""
    rig.entry.wait("announce", count=3, state="not-ready")
    assert not rig.entry.find("announce", state="ready")
    rig.entry.request(1, "/echo")
    assert rig.entry.wait("refused", request=1)[0]["reason"] == "not-ready"
    rig.start_worker()
    rig.entry.wait_state("ready")
    position = rig.entry.position()
    rig.worker.kill()
    rig.entry.wait_state("not-ready", position)


ready_only_with_worker.no_worker = True


def bodies_and_window(rig):
    """Guards against lost or reordered bytes, and against a response that
    exceeds the flow-control window."""
    entry = rig.entry
    entry.wait_state("ready")
    body = "".join("%07d" % i for i in range(30000))
    entry.request(1, "/echo", method="POST", body=body)
    entry.end(1)
    assert entry.body(1) == body
    entry.set(credit=False)
    entry.request(2, "/bytes?n=1000000")
    entry.request(3, "/echo")
    entry.end(3)
    entry.wait_for(lambda: len(entry.body(2)) >= 256 * 1024, "window")
    time.sleep(0.3)
    assert len(entry.body(2)) == 256 * 1024
    entry.set(credit=True)
    entry.send("credit", request=2, bytes=256 * 1024)
    end = entry.end(2)
    assert (end["outcome"], end["total"]) == ("done", 1000000)
    assert len(entry.body(2)) == 1000000
    # A request number may be reused once its request has ended.
    entry.request(1, "/bytes?n=5")
    entry.wait("response_end", request=1, total=5)


def limits(rig):
    """Guards against more than 8 requests in flight at the worker, including
    those that were cancelled or whose deadline has passed."""
    entry = rig.entry
    entry.wait_state("ready")
    for i in range(30):
        entry.request(i, "/work?ms=400")
    entry.wait("response_end", count=16, outcome="done")
    refused = entry.wait("refused", count=14)
    assert {m["reason"] for m in refused} == {"full"}
    position = entry.position()
    # Longer than 1.2 s, the maximum interval between announcements.
    for i in range(100, 108):
        entry.request(i, "/work?ms=1600")
    entry.wait("announce", position, in_flight=8)
    for i in range(100, 108):
        entry.send("cancel", request=i)
    for i in range(110, 114):
        entry.request(i, "/work?ms=100")
    entry.request(114, "/echo", remaining_ms=100)
    assert entry.wait("refused", request=114)[0]["reason"] == "deadline"
    for i in range(110, 114):
        assert entry.end(i)["outcome"] == "done"
    entry.request(120, "/work?ms=1500", remaining_ms=200)
    assert entry.end(120)["outcome"] == "unknown"
    assert rig.record()["max"]["slots"] == 8
    assert not entry.find("response", request=100)


def incomplete_responses(rig):
    """Guards against an aborted response that looks complete, and against a
    request that is reported as not run although it may have run."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.request(1, "/cut")
    end = entry.end(1)
    assert (end["outcome"], end["total"]) == ("unknown", 500)
    rig.control(lose=1)
    entry.request(2, "/publish", method="POST", body="x")
    assert entry.end(2)["outcome"] == "unknown"
    assert rig.record()["published"] == 1
    entry.request(3, "/publish", method="POST", body="x", with_body=False)
    entry.send("cancel", request=3)
    assert entry.wait("refused", request=3)[0]["reason"] == "cancelled"
    assert rig.record()["published"] == 1
    rig.worker.kill()
    rig.worker.wait()
    entry.request(4, "/publish", method="POST", body="x")
    assert entry.wait("refused", request=4)[0]["reason"] == "not-ready"


def silent_entry(rig):
    """Guards against work that continues for an entry that is silent."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.request(1, "/watch")
    entry.wait("response", request=1, stream=1)
    assert rig.record()["now"]["slots"] == 0
    entry.process.send_signal(signal.SIGSTOP)
    rig.wait_until(lambda: rig.record()["now"]["connections"] == 0,
                   "the stream to end")
    position = entry.position()
    entry.process.send_signal(signal.SIGCONT)
    entry.wait_state("ready", position)


def restarted_entry(rig):
    """Guards against a stream that is held for ever for an entry that was
    killed, because its next process answers."""
    rig.entry.wait_state("ready")
    rig.entry.request(1, "/watch")
    rig.entry.wait("response", request=1, stream=1)
    rig.entry.process.kill()
    rig.entry.process.wait()
    rig.entry = agent_rig.Entry(rig.build, rig.addresses["entry"])
    rig.processes.append(rig.entry.process)
    rig.entry.wait_state("ready")
    rig.wait_until(lambda: rig.record()["now"]["connections"] == 0,
                   "the stream to end")
    rig.entry.request(2, "/echo")
    assert rig.entry.end(2)["outcome"] == "done"


def graceful_stop(rig):
    """Guards against a graceful stop that aborts a request, keeps a stream
    open, loses a task's progress or accepts new work."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.request(1, "/watch")
    entry.wait("response", request=1, stream=1)
    entry.request(2, "/work?ms=3500")
    entry.start_task("j", 1, "steps=100000 step_ms=10")
    entry.wait_task("j", 1, "running")
    rig.agent.send_signal(signal.SIGTERM)
    leaving = entry.wait_state("leaving")
    stopped = entry.wait_task("j", 1, "stopped")
    assert stopped["checkpoint"] == "step-%d" % len(rig.effects("j"))
    moved = entry.end(1)
    assert moved["moved"] == 1 and moved["at"] - leaving["at"] < 2
    entry.request(3, "/echo")
    assert entry.wait("refused", request=3)[0]["reason"] == "leaving"
    assert entry.end(2)["outcome"] == "done"
    assert rig.agent.wait(agent_rig.WAIT_S) == 0


def drain(rig):
    """Guards against a drained domain that keeps work, or that does not
    become ready again after the drain."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.request(1, "/watch")
    entry.wait("response", request=1, stream=1)
    entry.start_task("j", 1, "steps=100000 step_ms=10")
    entry.wait_task("j", 1, "running")
    position = entry.position()
    entry.config(1, drained=["d1"])
    entry.wait_state("not-ready", position)
    entry.wait_task("j", 1, "stopped")
    assert entry.end(1)["moved"] == 1
    entry.start_task("k", 1, "steps=1")
    assert entry.wait_task("k", 1, "refused")["detail"] == "drained"
    position = entry.position()
    entry.config(2)
    entry.wait_state("ready", position)
    entry.request(2, "/echo")
    assert entry.end(2)["outcome"] == "done"
    # An entry that starts without a configuration gets the agent's.
    position = entry.position()
    entry.set(config_version=0)
    assert entry.wait("config", position)[0]["version"] == 2


def directory(rig):
    """Guards against an agent that uses only its seed entries, or that finds
    no entry in the store once all entries that it knows are down."""
    rig.entry.wait_state("ready")
    second, address = rig.add_entry()
    rig.entry.set(other=address)
    second.wait_state("ready")
    rig.entry.process.kill()
    second.process.kill()
    third, address = rig.add_entry()
    rig.start_store("entry/e3", '{"address": "%s"}' % address)
    third.wait_state("ready")
    third.request(1, "/echo")
    assert third.end(1)["outcome"] == "done"


agent_rig.run_scenarios([ready_only_with_worker, bodies_and_window, limits,
                         incomplete_responses, silent_entry, restarted_entry,
                         graceful_stop, drain, directory], sys.argv[1])
