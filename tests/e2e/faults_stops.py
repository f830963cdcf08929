"""Graceful stops under load: no request is aborted, watches move, and a
leaving upstream gets no new work after 2 s."""

import signal
import threading
import time

from faults import (Load, Watch, expect, http_call, wait_for,
                    with_options)

STOP_REQUEST_MIX = Load.REQUEST_MIX + [("POST", "/work?ms=700", 5)]


def check_load(load, *allowed):
    outcomes = load.stop()
    expect(set(outcomes) <= {(200, "done"), (503, "not-run")} | set(allowed),
           "no request aborted: %s" % outcomes)
    expect(outcomes[200, "done"] > 200, "service to continue: %s" % outcomes)


class LongRequests:
    """Requests in flight that run for 5 s; all must succeed."""

    def __init__(self, system, entries, name):
        """Sends requests until one runs at the named upstream."""
        self.system = system
        self.responses = []
        self.threads = []
        for i in range(15):
            for k in range(4):
                self.threads.append(threading.Thread(
                    target=self.send_one, args=(entries[k % len(entries)],)))
                self.threads[-1].start()
            round_end = time.monotonic() + 1
            while time.monotonic() < round_end:
                if self.runs_at(name):
                    self.exclude_refused()
                    return
                time.sleep(0.02)
        wait_for("a long request at " + name, lambda: self.runs_at(name))
        self.exclude_refused()

    def exclude_refused(self):
        """Ignores requests that the gates refused at once because of other
        load, before the stop under test."""
        time.sleep(0.5)
        self.refused = {a.id for a in self.responses
                        if (a.status, a.outcome) == (503, "not-run")}

    def send_one(self, entry):
        # Some wait in the queue of a gate until others are done. A GET
        # would be retried after an abort, which would hide the abort.
        self.responses.append(self.system.send_request(
            entry, "/work?ms=5000", "POST", b"x", prefix="long",
            headers={"Catkinhill-Deadline-Ms": "30000"}))

    def runs_at(self, name):
        return any(r["kind"] == "execute" and r["id"].startswith("long") and
                   not any(a.id == r["id"] for a in self.responses)
                   for r in self.system.worker_records(name))

    def join(self):
        for thread in self.threads:
            thread.join(60)
        expect(all(a.status == 200 for a in self.responses
                   if a.id not in self.refused),
               "long requests to succeed: %s" %
               [(a.status, a.outcome) for a in self.responses])


def watches_at(system, names):
    """Opens watches until each named agent serves one, without other load."""
    watches = []

    def has_stream(name):
        return system.agents[name].metric(
            "catkinhill_agent_connections_used") > 0

    def all_have():
        if all(has_stream(name) for name in names):
            return True
        watches.extend(Watch(system, entry, "w%d" % len(watches))
                       for entry in system.entries)
        time.sleep(1.5)  # The agent sets its gauges once a second.
        return False

    wait_for("watches at %s" % (names,), all_have)
    return watches


def agent_stopped(system):
    """Guards against requests and watches aborted by the graceful stop of
    their agent, and against work sent to it afterwards."""
    watches = watches_at(system, ("vm1", "vm2"))
    load = Load(system, request_mix=STOP_REQUEST_MIX)
    load.wait_responses(100)
    for name in ("vm1", "vm2"):
        # The requests last longer than an idle agent takes to stop.
        long = LongRequests(system, system.entries, name)
        system.stop_gracefully(system.agents[name])
        load.wait_responses(60)
        long.join()
        system.restart(system.agents[name])
        system.wait_usable(len(system.vms))
    for watch in watches:
        watch.wait_events(20)
    check_load(load)
    expect(sum(e.metric("catkinhill_streams_moved_total")
               for e in system.entries) > 0, "watches to be moved")
    for watch in watches:
        watch.close()


def entry_stopped(system):
    """Guards against requests aborted by the graceful stop of their entry,
    and against events lost when a watch moves to the other entry."""
    load = Load(system, request_mix=STOP_REQUEST_MIX)
    leaving, staying = system.entries
    watches = [Watch(system, entry, "w%d" % i)
               for i in range(3) for entry in system.entries]
    load.wait_responses(100)
    system.stop_gracefully(leaving)
    load.wait_responses(60)
    system.restart(leaving)
    system.wait_usable(len(system.vms))
    load.wait_responses(60)
    for watch in watches:
        watch.wait_events(20)
    check_load(load)
    expect(sum(w.planned_ends for w in watches) >= 3,
           "watches to be ended by notice")
    for watch in watches:
        watch.close()


def domain_drained(system):
    """Guards against requests, watches and runs aborted by a drain, and
    against work for the drained domain more than 2 s after it is in force."""
    load = Load(system, request_mix=STOP_REQUEST_MIX)
    watches = [Watch(system, entry, "w%d" % i)
               for i in range(4) for entry in system.entries]
    for i in range(4):
        system.submit("job%d" % i, 400, 10)
    for i in range(4):
        system.wait_steps("job%d" % i, 10)
    load.wait_responses(100)
    for domain, names in (("a1", ("vm1", "vm2")), ("a2", ("vm3",))):
        response = system.change(system.entries[0], intent="drain",
                                 domain=domain)
        agents = [system.agents[name] for name in names]
        system.wait_in_force(response["version"])
        for name in names:
            system.record("leaving", who=name)
        load.wait_responses(100)
        wait_for("the domain to be empty", lambda: all(
            agent.metric("catkinhill_agent_connections_used") == 0 and
            agent.metric("catkinhill_agent_tasks") == 0 or
            not is_busy(agent) for agent in agents))
        load.wait_responses(150)
        if domain == "a1":
            # A history may have one "leaving" for each upstream, so it is
            # checked before these take work again.
            system.check_history()
            system.records = [r for r in system.records
                              if r["kind"] != "leaving"]
            system.change(system.entries[1], intent="undrain", domain=domain)
            system.wait_usable(len(system.vms))
    check_load(load)
    for i in range(4):
        system.wait_job("job%d" % i, "done")
    # The renewal interval must follow the lease in the settings, here 2 s.
    for entry in system.entries:
        expect(not entry.lines(1013), "no lease of an entry to be lost")
    for watch in watches:
        watch.wait_events(20)
        watch.close()


def is_busy(agent):
    text = http_call(agent.admin, "GET", "/metrics")[2].decode()
    return any(line.startswith("catkinhill_agent_tasks{") and
               "running" in line and not line.endswith(" 0")
               for line in text.splitlines()) or \
        agent.metric("catkinhill_agent_connections_used")


def stop_slowly(system, agent, long, while_leaving):
    """Stops an agent that waits for long requests; calls while_leaving() when
    the agent may get no new work any more."""
    agent.signal(signal.SIGTERM)
    wait_for("the agent to leave", lambda: agent.lines(2003))
    time.sleep(2.3)
    expect(agent.popen.poll() is None, "the agent to be still stopping")
    while_leaving()
    expect(agent.popen.wait(40) == 0, "the agent to exit with 0")
    system.record("process-end", who=agent.who)
    long.join()


def stop_with_frozen_entry(system):
    """Guards against an entry that resumes and sends work to an agent that
    left while the entry was frozen."""
    frozen, running_entry = system.entries
    load = Load(system, entries=[running_entry], request_mix=STOP_REQUEST_MIX)
    frozen_load = Load(system, entries=[frozen], callers=24, seed=7,
                       request_mix=[("GET", "/work?ms=100", 0)])
    frozen_load.wait_responses(100)
    long = LongRequests(system, [running_entry], "vm1")
    system.freeze(frozen)

    def resume_entry():
        system.resume(frozen)
        frozen_load.wait_responses(100)

    stop_slowly(system, system.agents["vm1"], long, resume_entry)
    load.wait_responses(50)
    load.stop()
    frozen_load.stop()


@with_options(links=True)
def stop_with_lost_announcement(system):
    """Guards against work sent to a leaving upstream by an entry that has not
    received its announcement; data in flight arrives late."""
    isolated, other = system.entries
    load = Load(system, entries=[isolated], callers=24, seed=8,
                request_mix=[("GET", "/work?ms=100", 0)])
    load.wait_responses(100)
    long = LongRequests(system, [other], "vm1")
    system.fault("vm1")
    system.relays[isolated.who].set_blocked("vm1")

    def reconnect():
        system.relays[isolated.who].set_blocked()
        load.wait_responses(100)

    stop_slowly(system, system.agents["vm1"], long, reconnect)
    load.wait_responses(50)
    load.stop()
