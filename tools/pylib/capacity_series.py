"""Steady states of tools/capacity, by the size around each role."""

import os
import threading
import time

from cluster import Cluster, ClusterError, wait_for
from measure import Store, Window, port, start_fleet, wait_agents_usable

SETTLE_S = 3
WINDOW_S = 6


def names(first, count):
    return ["reconcile-2026-49-%06d" % i for i in range(first, first + count)]


def write_all(store, write, jobs, threads=4):
    """Calls store.submit or store.cancel for all jobs."""
    def run(part):
        connection = store.connect()
        for job in part:
            write(connection, job)
        connection.close()
    started = [threading.Thread(target=run, args=(jobs[i::threads],))
               for i in range(threads)]
    for thread in started:
        thread.start()
    for thread in started:
        thread.join()


def wait_running(fleet, count):
    wait_for("%d running tasks" % count,
             lambda: fleet.sample()["running"] == count)


def entry_by_agents(build, emit):
    for agents in (0, 10, 30, 100, 300):
        with Cluster(build) as cluster:
            store = Store(cluster)
            entry = cluster.start_entry("entry-a", "a", "a1")
            fleet = start_fleet(cluster, max(agents, 1), 0)
            if agents:
                wait_agents_usable([entry], agents)
            else:
                fleet.kill()
                cluster.processes.remove(fleet)
                fleet = None
            time.sleep(SETTLE_S)
            window = Window(entry, fleet, store,
                            "sport = :%d" % port(entry.peers))
            row = window.measure(WINDOW_S)
            store.relay.close()
        if agents:
            emit({"series": "entry_by_agents", "agents": agents, **row})
        else:
            emit({"series": "entry_alone", **row})


def agent_window(agent, entries):
    condition = " or ".join("dport = :%d" % port(entry.peers)
                            for entry in entries)
    return Window(agent, condition="( %s )" % condition)


def agent_by_entries(build, emit):
    for count in (1, 2, 4, 8):
        with Cluster(build) as cluster:
            store = Store(cluster)
            cluster.start_entries(count)
            worker = cluster.start_worker("worker", "--id", "vm-1")
            agent = cluster.start_agent("vm-1", worker, "a", "a1")
            wait_agents_usable(cluster.entries, 1)
            time.sleep(SETTLE_S)
            row = agent_window(agent, cluster.entries).measure(WINDOW_S)
            store.relay.close()
        emit({"series": "agent_by_entries", "entries": count, **row})


def agent_by_tasks(build, emit):
    with Cluster(build) as cluster:
        store = Store(cluster)
        entry = cluster.start_entry("entry-a", "a", "a1")
        worker = cluster.start_worker("worker", "--id", "vm-1")
        agent = cluster.start_agent("vm-1", worker, "a", "a1")
        wait_agents_usable([entry], 1)
        done = 0
        for tasks in (0, 13, 50, 100, 200):
            write_all(store, store.submit, names(done, tasks - done))
            done = tasks
            wait_for("%d tasks at the agent" % tasks,
                     lambda count=tasks: entry.metric(
                         'catkinhill_batch_jobs{state="running"}') == count)
            time.sleep(2 * SETTLE_S)
            row = agent_window(agent, [entry]).measure(WINDOW_S)
            emit({"series": "agent_by_tasks", "tasks": tasks, **row})
        store.relay.close()


class Trickle(threading.Thread):
    """Submits jobs at an even rate until close()."""

    def __init__(self, store, first, rate):
        super().__init__(daemon=True)
        self.store, self.first, self.rate = store, first, rate
        self.count = 0
        self.closing = threading.Event()
        self.start()

    def run(self):
        connection = self.store.connect()
        begin = time.monotonic()
        while not self.closing.is_set():
            due = int((time.monotonic() - begin) * self.rate)
            while self.count < due:
                self.store.submit(connection,
                                  names(self.first + self.count, 1)[0])
                self.count += 1
            time.sleep(0.01)
        connection.close()

    def close(self):
        self.closing.set()
        self.join()
        return self.count


def commit_row(window, store, first, tasks):
    trickle = Trickle(store, first, 1)
    commits = -window.process.metric("catkinhill_batch_commits_total")
    row = window.measure(WINDOW_S)
    commits += window.process.metric("catkinhill_batch_commits_total")
    count = trickle.close()
    row["commits"] = commits
    row["bytes_per_commit"] = round(row["store_to_bytes_per_s"] * WINDOW_S /
                                    max(commits, 1), 1)
    return count, {"series": "commit_by_tasks", "tasks": tasks, **row}


def owner_by_tasks(build, emit):
    with Cluster(build) as cluster:
        store = Store(cluster)
        entry = cluster.start_entry("entry-a", "a", "a1")
        fleet = start_fleet(cluster, 50, 0)
        wait_agents_usable([entry], 50)
        window = Window(entry, fleet, store)
        done = 0
        for tasks in (0, 200, 500, 1000, 2000, 4000):
            write_all(store, store.submit, names(done, tasks - done))
            done = tasks
            wait_running(fleet, tasks)
            time.sleep(SETTLE_S)
            emit({"series": "owner_by_tasks", "tasks": tasks,
                  **window.measure(WINDOW_S)})
            more, row = commit_row(window, store, done, tasks)
            done += more
            emit(row)
        store.relay.close()


def owner_by_starts(build, emit):
    with Cluster(build) as cluster:
        store = Store(cluster)
        entry = cluster.start_entry("entry-a", "a", "a1")
        fleet = start_fleet(cluster, 50, 2000)
        wait_agents_usable([entry], 50)
        window = Window(entry, fleet, store)
        done = 0
        for rate in (0, 10, 25, 50, 100):
            trickle = Trickle(store, done, rate)
            time.sleep(SETTLE_S + 2)
            row = window.measure(WINDOW_S)
            done += trickle.close()
            emit({"series": "owner_by_starts", "starts_per_s":
                  row["fleet_starts_per_s"], "offered_per_s": rate, **row})
            wait_running(fleet, 0)
        store.relay.close()


def set_retry_floor(cluster, entry, value):
    """One change through plan and confirm; returns the version it made."""
    path = os.path.join(cluster.directory, "plan.json")
    for command in (("set-limit", "retry_floor", str(value), "--out", path),
                    ("confirm", path)):
        code, out, err = cluster.ctl(*command, entry=entry)
        if code:
            raise ClusterError("%s: %s%s" % (command, out, err))
    return entry.metric("catkinhill_config_version")


def change_once(cluster, fleet, entry, value):
    started = time.monotonic()
    version = set_retry_floor(cluster, entry, value)
    confirmed = time.monotonic()
    wait_for("version %d everywhere" % version,
             lambda: fleet.sample()["least_version"] >= version)
    return confirmed - started, time.monotonic() - confirmed


CHANGES = 6


def config_by_entries(build, emit):
    for count in (1, 2, 4, 8):
        with Cluster(build) as cluster:
            store = Store(cluster)
            cluster.start_entries(count)
            fleet = start_fleet(cluster, 50, 0)
            wait_agents_usable(cluster.entries, 50)
            time.sleep(SETTLE_S)
            window = Window(cluster.entries[0], fleet, store)
            emit({"series": "config_by_entries", "entries": count,
                  **window.measure(WINDOW_S * 2)})
            before, configs = store.sample(), fleet.sample()
            begin = time.monotonic()
            took = [change_once(cluster, fleet,
                                cluster.entries[i % count], 20 + i)
                    for i in range(CHANGES)]
            after, now = store.sample(), fleet.sample()
            emit({"series": "config_change", "entries": count,
                  "changes": CHANGES, "seconds":
                  round(time.monotonic() - begin, 2),
                  "confirm_ms_most": round(1000 * max(t[0] for t in took)),
                  "spread_ms_least": round(1000 * min(t[1] for t in took)),
                  "spread_ms_most": round(1000 * max(t[1] for t in took)),
                  "config_messages_per_change":
                  (now["configs"] - configs["configs"]) / CHANGES,
                  **{key + "_per_change": (after[key] - before[key]) / CHANGES
                     for key in before if key != "watches"}})
            store.relay.close()
