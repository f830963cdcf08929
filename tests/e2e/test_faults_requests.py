#!/usr/bin/env python3
"""Requests while agents, upstreams, entries or the store fail."""

import random
import socket
import threading

from faults import (Load, NotSent, expect, run_all, wait_for, with_options)

# Larger than the windows and socket buffers between a worker and a caller.
LONG_RESPONSE_PATH = "/bytes?n=30000000"


def check_outcomes(outcomes, *allowed):
    """Checks that no other (status, outcome) pair occurred."""
    expect(set(outcomes) <= set(allowed), "only outcomes %s, not %s" %
           (allowed, outcomes))


def check_truncated(system, responses, *vms):
    """Checks that only responses of these VMs, which failed, are truncated,
    and that no caller timed out waiting for the rest."""
    truncated = {a.id: a.error for a in responses if a.is_truncated()}
    expect("timed out" not in "".join(truncated.values()),
           "no caller to time out")
    vm_by_id = {r["id"]: vm for vm in system.workers
                for r in system.worker_records(vm)
                if r["kind"] == "execute" and r["id"] in truncated}
    expect(set(vm_by_id) == set(truncated) and
           set(vm_by_id.values()) <= set(vms),
           "truncated responses of %s only, not %s of %s" %
           (vms, vm_by_id, truncated))
    return truncated


class HeldResponse(threading.Thread):
    """A caller that reads the body of a long response only after finish()."""

    def __init__(self, system, entry):
        super().__init__(daemon=True)
        self.may_read_body = threading.Event()
        self.headers_received = threading.Event()
        self.system, self.entry = system, entry
        self.start()

    def run(self):
        self.response = self.system.send_request(
            self.entry, LONG_RESPONSE_PATH, prefix="held",
            after_headers=self.wait)

    def wait(self):
        self.headers_received.set()
        self.may_read_body.wait(60)

    def finish(self):
        self.may_read_body.set()
        self.join(60)
        return self.response


def finish_all(held):
    """All bodies are read at once, within the deadline of each request."""
    for caller in held:
        caller.may_read_body.set()
    return [caller.finish() for caller in held]


def hold_responses(system, vm):
    """Starts responses until at least one is from this VM."""
    held = []
    while len(held) < 60 and not any(
            r["kind"] == "execute" and r["id"].startswith("held")
            for r in system.worker_records(vm)):
        held.append(HeldResponse(system, system.entries[0]))
        expect(held[-1].headers_received.wait(30), "response headers")
    return held


def agent_killed(system):
    """Guards against a request that is lost, run twice or gets the response
    to another one when an agent is killed."""
    load = Load(system, callers=8,
                request_mix=Load.REQUEST_MIX +
                [("POST", "/work?ms=200", 9)] * 4)
    load.wait_responses(150)
    held = hold_responses(system, "vm1")
    system.kill_daemon(system.agents["vm1"])
    responses = finish_all(held)
    expect(check_truncated(system, responses, "vm1"),
           "a truncated response of vm1")
    load.wait_responses(300)
    system.restart(system.agents["vm1"])
    system.wait_usable(len(system.vms))
    load.wait_responses(100)
    system.kill_vm("vm3")
    load.wait_responses(200)
    outcomes = load.stop()
    # Response headers may have been sent before the agent or VM was killed.
    check_outcomes(outcomes, (200, "done"), (200, "cut"), (502, "unknown"),
                   (504, "unknown"), (503, "not-run"))
    check_truncated(system, load.responses, "vm1", "vm3")
    expect(outcomes[200, "done"] > 600, "service to continue: %s" % outcomes)


def upstream_fails_mid_response(system):
    """Guards against a truncated response that looks complete, and against
    "not run" for a request whose upstream was killed while it ran."""
    load = Load(system, request_mix=Load.REQUEST_MIX + [
        ("GET", "/cut", 0), ("POST", "/work?ms=300", 5)])
    load.wait_responses(80)
    system.set_worker_faults("vm2", lose=10)
    load.wait_responses(150)
    system.kill_worker("vm1")
    load.wait_responses(150)
    load.stop()
    truncated = [a for a in load.responses if not a.complete]
    expect(truncated, "truncated responses")
    again = system.send_request(system.entries[0], "/echo")
    expect(again.status == 200, "service to continue")


def entry_killed(system):
    """Guards against a keyed request that runs again through the other entry,
    and against slots that a killed entry's requests never release."""
    load = Load(system, callers=3)
    keyed = Load(system, callers=3, keyed=True, seed=2,
                 request_mix=[("POST", "/publish?ms=30", 5)])
    load.wait_responses(50)
    keyed.wait_responses(30)
    killed = system.entries[0]
    system.kill_daemon(killed)
    keyed.wait_responses(30)
    system.restart(killed)
    keyed.wait_responses(30)
    load.stop()
    outcomes = keyed.stop()
    check_outcomes(outcomes, (200, "done"), (200, "cut"), (409, "unknown"),
                   (0, "unknown"), (503, "unknown"), (504, "unknown"),
                   (502, "unknown"), (503, "not-run"))
    expect({a.entry for a in load.responses + keyed.responses
            if a.is_truncated()} <= {killed.who},
           "truncated responses of the killed entry only")
    expect(outcomes[200, "done"] > 60, "more successes: %s" % outcomes)


def keyed_and_agent_killed(system):
    """Guards against a second run of a keyed request when the agent of the
    first one is killed."""
    keyed = Load(system, callers=4, keyed=True, seed=3,
                 request_mix=[("POST", "/publish?ms=100", 5)])
    keyed.wait_responses(40)
    system.kill_daemon(system.agents["vm1"])
    system.set_worker_faults("vm2", lose=5)
    keyed.wait_responses(60)
    system.kill_vm("vm3")
    keyed.wait_responses(40)
    outcomes = keyed.stop()
    check_outcomes(outcomes, (200, "done"), (200, "cut"), (409, "unknown"),
                   (502, "unknown"), (504, "unknown"), (503, "unknown"),
                   (503, "not-run"))
    check_truncated(system, keyed.responses, "vm1", "vm2", "vm3")
    expect(outcomes[200, "done"] > 60, "more successes: %s" % outcomes)
    expect((409, "unknown") in outcomes, "a claim with an unknown outcome")


@with_options(links=True)
def store_outage(system):
    """Guards against keyed requests that run twice around an outage of the
    store, also when responses to claims are lost, and against requests
    without a key that wait for the store."""
    keyed = Load(system, callers=3, keyed=True, seed=4, pause_s=0.02,
                 request_mix=[("POST", "/publish?ms=10", 5)])
    keyed.wait_responses(30)
    for link in system.store_links.values():
        link.lose = 6
    keyed.wait_responses(60)
    system.set_store_faults(lose_answers=10)
    keyed.wait_responses(60)
    system.set_store_faults(mode="hang")
    unkeyed = [system.send_request(entry, "/echo")
               for entry in system.entries * 10]
    expect({a.status for a in unkeyed} == {200}, "service during the outage")
    keyed.wait_responses(9)
    system.set_store_faults(mode="refuse")
    keyed.wait_responses(60)
    first = system.send_request(system.entries[0], "/publish", "POST", b"n",
                                "outage")
    expect((first.status, first.outcome) == (503, "unknown"),
           "no first run of a keyed request without the store")
    system.set_store_faults(mode="ok")
    wait_for("the store", lambda: system.send_request(
        system.entries[1], "/publish", "POST", b"n", "outage").status == 200)
    outcomes = keyed.stop()
    check_outcomes(outcomes, (200, "done"), (409, "unknown"), (503, "unknown"),
                   (504, "unknown"))
    expect(all(link.lost for link in system.store_links.values()),
           "responses of the store to be lost")


def request_bodies(system):
    """Guards against bytes of a body that are lost, mixed or duplicated."""
    rng = random.Random(5)
    callers = []

    def send(entry, size):
        body = rng.randbytes(size)
        response = system.send_request(entry, "/echo", "POST", body)
        if response.status != 200 or response.body != body:
            callers.append((size, response.status, len(response.body)))

    threads = [threading.Thread(target=send, args=(
        system.entries[i % 2], size)) for i, size in enumerate(
            (0, 1, 65535, 65536, 65537, 262144, 1000003, 4 << 20, 16 << 20,
             16 << 20))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    expect(not callers, "every body unchanged, not %s" % callers)
    try:
        response = system.send_request(system.entries[0], "/echo", "POST",
                                       bytes((16 << 20) + 1))
        expect(response.status in (413, 0), "413, not %d" % response.status)
    except NotSent:
        raise AssertionError from None
    system.fault("caller")


def burst(system):
    """Guards against more requests at a worker than it has slots, when the
    load known to the entries is outdated."""
    responses = []

    def send_one(entry):
        responses.append(system.send_request(entry, "/work?ms=400"))

    threads = [threading.Thread(target=send_one, args=(system.entries[i % 2],))
               for i in range(160)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    outcomes = {}
    for a in responses:
        outcomes[a.status, a.outcome] = outcomes.get((a.status, a.outcome),
                                                     0) + 1
    check_outcomes(outcomes, (200, "done"), (503, "not-run"), (429, "not-run"))
    expect(outcomes[200, "done"] >= 32, "all 32 slots in use: %s" % outcomes)
    max_slots_used = max(r["used"][0] for r in system.all_worker_records()
                         if r["kind"] == "usage")
    expect(max_slots_used == 8, "8 slots in use, not %d" % max_slots_used)


def caller_disconnects(system):
    """Guards against slots and connections that stay in use after callers
    disconnected, and against a keyed request that is lost with its caller."""
    def resources_in_use():
        return sum(agent.metric("catkinhill_agent_" + name)
                   for agent in system.agents.values()
                   for name in ("slots_used", "connections_used"))

    sockets = []
    for i in range(60):
        sock = socket.create_connection(
            tuple(system.entries[i % 2].callers.split(":")))
        path = ("/work?ms=1500", "/bytes?n=30000000",
                "/watch?every_ms=20")[i % 3]
        sock.sendall(b"GET %s HTTP/1.1\r\nHost: stock\r\n"
                     b"Accept: text/event-stream\r\n\r\n" % path.encode())
        sockets.append(sock)
    keyed = []
    for i in range(4):
        sock = socket.create_connection(
            tuple(system.entries[0].callers.split(":")))
        sock.sendall(b"POST /publish?ms=300 HTTP/1.1\r\nHost: stock\r\n"
                     b"X-Request-Id: left%d\r\nIdempotency-Key: left%d\r\n"
                     b"Content-Length: 1\r\n\r\nx" % (i, i))
        keyed.append(sock)
    wait_for("keyed requests to run", lambda: sum(
        r["kind"] == "execute" and r["key"].startswith("left")
        for r in system.all_worker_records()) == 4)
    wait_for("slots and connections to be in use",
             lambda: resources_in_use() > 12)
    system.fault("callers")
    for sock in sockets + keyed:
        sock.close()
    wait_for("all slots to be free", lambda: not resources_in_use())
    for i in range(4):
        response = wait_for(
            "outcome of a request whose caller disconnected",
            lambda: (lambda a: a if a.status == 200 else None)(
                system.send_request(system.entries[1], "/publish?ms=300",
                                    "POST", b"x", "left%d" % i)))
        expect(response.outcome == "done", "outcome done")


run_all([agent_killed, upstream_fails_mid_response, entry_killed,
         keyed_and_agent_killed, store_outage, request_bodies, burst,
         caller_disconnects])
