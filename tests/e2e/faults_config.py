"""The live configuration under faults: its version never goes back and is in
force everywhere within 15 s. Also restarts of all processes at once."""

import random
import threading
import time

from faults import (Load, expect, http_call, wait_for, with_options)


def set_limit(entry, system, name, value):
    return system.change(entry, intent="set-limit", limit=name, value=value)


def limit_of(system, name):
    return system.get("cfg")["limits"].get(name)


def concurrent_operators(system):
    """Guards against two plans based on the same version that are both
    accepted, and against an accepted one that is lost."""
    rng = random.Random(11)
    accepted = {}
    lock = threading.Lock()

    def apply_changes(index):
        for i in range(8):
            entry = system.entries[(index + i) % 2]
            value = rng.randrange(1000, 60000)
            plan = system.plan(entry, {"intent": "set-limit",
                                       "limit": "deadline_default_ms",
                                       "value": value})
            status, response = system.confirm(
                system.entries[(index + i + 1) % 2], plan)
            expect(status in (200, 409), "%s" % response)
            if status == 200 and response["result"] == "applied":
                with lock:
                    accepted.setdefault(response["version"], []).append(value)

    threads = [threading.Thread(target=apply_changes, args=(i,))
               for i in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(50)
    last = system.get("cfg")["version"]
    expect(sorted(accepted) == list(range(2, last + 1)),
           "versions without gaps, each accepted once: %s" % accepted)
    expect(all(len(values) == 1 for values in accepted.values()),
           "each version accepted once: %s" % accepted)
    expect(limit_of(system, "deadline_default_ms") == accepted[last][0],
           "the last accepted value in force")
    system.wait_in_force(last)


@with_options(links=True)
def accepted_response_lost(system):
    """Guards against a change that is refused although it took effect, and
    against one that is applied twice, when the store's response is lost."""
    for turn, entry in enumerate(system.entries * 2):
        system.fault("store")
        system.store_links[entry.who].lose_matching = \
            lambda key, value: key == "cfg"
        before = system.get("cfg")["version"]
        response = set_limit(entry, system, "entry_queue", 100 + turn)
        expect(response["version"] == before + 1, "%s" % response)
        expect(system.get("cfg")["version"] == before + 1, "one write")
        system.wait_in_force(before + 1)
    expect(all(link.lost == ["cfg", "cfg"]
               for link in system.store_links.values()),
           "two lost responses at each entry")


@with_options(links=True)
def restart_in_outage(system):
    """Guards against an entry that starts in an outage of the store and
    serves an old configuration, or none; and against agents that accept
    the old one from it."""
    version = set_limit(system.entries[0], system, "attempts", 2)["version"]
    system.wait_in_force(version)
    system.set_store_faults(mode="refuse")
    entry, other = system.entries
    system.kill_daemon(entry)
    again = system.restart(entry)
    expect(system.version(again) >= version, "the version accepted before")
    for agent in list(system.agents.values())[:2]:
        system.kill_daemon(agent)
        system.restart(agent)
    system.wait_in_force(version, seconds=15)
    # Now both entries have restarted; only agents still hold the version.
    system.kill_daemon(other)
    system.restart(other)
    system.wait_in_force(version, seconds=15)
    system.wait_usable(len(system.vms))
    response = system.send_request(again, "/echo")
    expect(response.status == 200, "service in the outage")
    system.set_store_faults(mode="ok")
    version = wait_for("the store to take a change", lambda: (
        lambda status, response: status == 200 and response["version"])(
            *system.confirm(again, system.plan(again, {
                "intent": "set-limit", "limit": "attempts", "value": 4}))))
    system.wait_in_force(version)


def frozen_during_changes(system):
    """Guards against a process that resumes after a freeze with an old
    configuration and distributes it."""
    frozen = [system.entries[0], system.agents["vm1"], system.agents["vm4"]]
    for process in frozen:
        system.freeze(process)
    running_entry = system.entries[1]
    for value in (5, 6, 7):
        version = set_limit(running_entry, system, "attempts",
                            value)["version"]
    drained = system.change(running_entry, intent="drain", domain="a2")
    system.wait_in_force(drained["version"],
                         [running_entry, system.agents["vm2"],
                          system.agents["vm3"]])
    # Longer than an agent's and an entry's timeout for a silent peer.
    time.sleep(6)
    # The agents first: they hear from both entries, one of them outdated.
    for process in frozen[1:] + frozen[:1]:
        system.resume(process)
    system.wait_in_force(drained["version"])
    expect(drained["version"] == version + 1, "no other change")


@with_options(links=True)
def delayed_messages(system):
    """Guards against an agent that returns to an earlier version when it
    arrives from one entry after a later version from another entry."""
    delayed, other = system.entries
    system.fault("vm1")
    system.relays[delayed.who].set_blocked("vm1", to_agents=True)
    for value in (2, 3, 4, 5):
        version = set_limit(other, system, "attempts", value)["version"]
        system.wait_in_force(version)
    system.relays[delayed.who].set_blocked()
    # When a new announcement arrives, the delayed ones before it have, too.
    version = set_limit(delayed, system, "attempts", 6)["version"]
    system.wait_in_force(version)


@with_options(links=True)
def region_disconnected_from_store(system):
    """Guards against a region that misses changes while it is disconnected
    from the store: its entry learns the version from agents' responses."""
    isolated = system.entries[1]
    system.fault("store")
    system.store_links[isolated.who].down = True
    # An open watch ends within its poll of 0.2 s.
    time.sleep(1)
    version = set_limit(system.entries[0], system, "attempts", 5)["version"]
    system.wait_in_force(version)
    plan = system.plan(isolated, {"intent": "set-limit", "limit": "attempts",
                                  "value": 6})
    status, response = system.confirm(isolated, plan)
    expect(status in (503, 504), "no change without the store: %s" % response)
    system.store_links[isolated.who].down = False
    version = set_limit(system.entries[0], system, "attempts", 7)["version"]
    system.wait_in_force(version)
    expect(limit_of(system, "attempts") == 7, "the change of the first entry")


@with_options(ledger=True)
def all_restarted(system):
    """Guards against state that is only in memory: a configuration, jobs,
    claims or runs that are lost or duplicated when all restart at once."""
    version = system.change(system.entries[0], intent="set-quota", team="t",
                            cpu_milli=64000, mem_mb=64000,
                            accel=0)["version"]
    system.wait_in_force(version)
    for i in range(4):
        system.submit("job%d" % i, 500, 10)
    for i in range(4):
        system.wait_steps("job%d" % i, 5)
    keyed = system.send_request(system.entries[0], "/publish", "POST", b"n",
                                "before")
    expect(keyed.status == 200, "published")
    system.wait_outcomes_stored()
    daemons = system.entries + list(system.agents.values())
    for daemon in daemons:
        system.kill_daemon(daemon)
    # On half of the VMs the worker and its tasks restart too.
    for name in ("vm1", "vm4"):
        system.kill_worker(name)
        system.restart_worker(name)
    for daemon in daemons:
        system.restart(daemon, wait=False)
    for daemon in system.entries + list(system.agents.values()):
        daemon.wait_ready()
    system.wait_in_force(version)
    system.wait_usable(len(system.vms))
    again = system.send_request(system.entries[1], "/publish", "POST", b"n",
                                "before")
    expect((again.status, again.body) == (200, keyed.body),
           "the same response")
    text = http_call(system.entries[0].admin, "GET", "/v1/config")[2]
    expect(b"64000" in text, "the quota, not %s" % text)
    for i in range(4):
        system.wait_job("job%d" % i, "done")


def mass_cancellation(system):
    """Guards against cancelled jobs that continue, start again, or delay the
    others."""
    jobs = ["wave%d" % i for i in range(40)]
    for job in jobs:
        system.submit(job, 3000, 10, cpu_milli=100)
    for i in range(2):
        system.submit("keep%d" % i, 300, 10)
    for job in jobs[:8]:
        system.wait_steps(job, 1)
    errors = []

    def cancel(index):
        try:
            for job in jobs[index::4]:
                system.change(system.entries[index % 2], intent="cancel",
                              job=job)
        except Exception as error:
            errors.append(repr(error))

    threads = [threading.Thread(target=cancel, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(50)
    expect(not errors, "all cancelled: %s" % errors)
    for job in jobs:
        system.wait_job(job, "cancelled")
    for i in range(2):
        system.wait_job("keep%d" % i, "done")

    def idle():
        running = {}
        for row in system.all_worker_records():
            if row["kind"] == "task-start":
                running[row["id"], row["run"]] = 1
            if row["kind"] == "task-stop":
                running.pop((row["id"], row["run"]), None)
        return not running
    wait_for("all tasks to end", idle)


@with_options(ledger=True)
def worker_fails_everything(system):
    """Guards against a worker that fails all work immediately and therefore
    attracts all of it: requests and jobs must succeed at other workers."""
    system.set_worker_faults("vm1", fail=True)
    load = Load(system, request_mix=[("GET", "/echo", 0)])
    for i in range(12):
        system.submit("job%d" % i, 100, 10)
    load.wait_responses(300)
    vm1_requests = sum(r["kind"] == "execute"
                       for r in system.worker_records("vm1"))
    expect(vm1_requests < len(load.responses) / 10,
           "few requests for vm1, not %d" % vm1_requests)
    for i in range(12):
        system.wait_job("job%d" % i, "done")
    for i in range(3):
        system.submit("bad%d" % i, 100, 10, options="fail_at=5")
    for i in range(3):
        system.wait_job("bad%d" % i, "failed")
        text = http_call(system.entries[0].admin, "GET",
                         "/v1/explain/job/bad%d" % i)[2]
        expect(b'"reason"' in text, "a reason, not %s" % text)
    before = dict(load.outcomes)
    load.wait_responses(300)
    outcomes = load.stop()
    success_count = outcomes[200, "done"] - before[200, "done"]
    expect(success_count >= 280, "successful responses: %s, then %s" %
           (before, outcomes))
