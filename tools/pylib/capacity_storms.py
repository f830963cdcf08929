"""Storms of tools/capacity: messages and time until quiet."""

import signal
import threading
import time

from capacity_series import names, wait_running, write_all
from cluster import Cluster, http_call, wait_for
from measure import Store, cpu_seconds, start_fleet, wait_agents_usable

SETTLE_S = 4


def rate_between(first, last, key):
    return (last[key] - first[key]) * 1000 / (last["ms"] - first["ms"])


def count_messages(sample):
    return sample["messages_in"] + sample["messages_out"]


def peak_rate(samples, since_ms):
    """Most messages in any window of about a second."""
    rows = [row for row in samples if row["ms"] >= since_ms]
    peak = 0
    for first, last in zip(rows, rows[4:]):
        peak = max(peak, (count_messages(last) - count_messages(first)) *
                   1000 / (last["ms"] - first["ms"]))
    return peak


def baseline(fleet, seconds=3):
    first = fleet.sample()
    time.sleep(seconds)
    last = fleet.sample()
    return (count_messages(last) - count_messages(first)) * 1000 / (
        last["ms"] - first["ms"])


def quiet_after(fleet, usual, since):
    """Waits for a second with at most 1.2 times the usual messages."""
    def quiet():
        rows = fleet.samples()[-5:]
        took = rows[-1]["ms"] - rows[0]["ms"]
        rate = (count_messages(rows[-1]) - count_messages(rows[0])) * 1000
        return time.monotonic() - since > 1.5 and rate / took <= 1.2 * usual
    wait_for("quiet", quiet, 120)
    return time.monotonic() - since


def start(build, cluster, entries, agents, task_ms, jobs, partitions=4):
    store = Store(cluster, partitions)
    cluster.start_entries(entries)
    fleet = start_fleet(cluster, agents, task_ms)
    wait_agents_usable(cluster.entries, agents)
    write_all(store, store.submit, names(0, jobs))
    wait_running(fleet, jobs)
    time.sleep(SETTLE_S)
    return store, fleet


def restart(cluster, fleet, usual, jobs, emit):
    first = fleet.sample()
    cpu = [cpu_seconds(entry.popen.pid) for entry in cluster.entries]
    since = time.monotonic()
    wanted = first["acks"] + 300 * len(cluster.entries)
    fleet.restart_agents()
    wait_for("an answer to every agent from every entry",
             lambda: fleet.sample()["acks"] >= wanted)
    known = time.monotonic() - since
    quiet = quiet_after(fleet, usual, since)
    used = [cpu_seconds(entry.popen.pid) - before
            for entry, before in zip(cluster.entries, cpu)]
    last = fleet.sample()
    wait_for("the lost runs to run again",
             lambda: fleet.sample()["running"] == jobs, 120)
    emit({"series": "storm_restart", "agents": 300,
          "entries": len(cluster.entries), "usual_messages_per_s":
          round(usual), "peak_messages_per_s":
          round(peak_rate(fleet.samples(), first["ms"])),
          "all_known_s": round(known, 2), "quiet_s": round(quiet, 2),
          "messages": count_messages(last) - count_messages(first),
          "entry_cpu_s_most": round(max(used), 3),
          "lost_runs": jobs, "runs_back_s":
          round(time.monotonic() - since, 1)})


def partitions_of(entries):
    return [entry.metric("catkinhill_batch_partitions") for entry in entries]


def death(cluster, fleet, usual, emit):
    owned = partitions_of(cluster.entries)
    victim = cluster.entries[owned.index(max(owned))]
    living = [entry for entry in cluster.entries if entry is not victim]
    first = fleet.sample()
    since = time.monotonic()
    victim.signal(signal.SIGKILL)
    wait_for("the partitions to be owned again",
             lambda: sum(partitions_of(living)) == sum(owned))
    moved = time.monotonic() - since
    wait_for("all reports to be answered",
             lambda: fleet.sample()["unanswered"] == 0)
    answered = time.monotonic() - since
    quiet = quiet_after(fleet, usual, since)
    last = fleet.sample()
    emit({"series": "storm_entry_death", "agents": 300,
          "partitions_moved": max(owned),
          "moved_s": round(moved, 2), "answered_s": round(answered, 2),
          "quiet_s": round(max(quiet, answered), 2),
          "owner_messages": last["owners"] - first["owners"],
          "report_messages": last["reports"] - first["reports"],
          "peak_messages_per_s":
          round(peak_rate(fleet.samples(), first["ms"])),
          "usual_messages_per_s": round(usual)})


def restart_and_death(build, emit):
    jobs = 100
    with Cluster(build) as cluster:
        store, fleet = start(build, cluster, 3, 300, 0, jobs)
        restart(cluster, fleet, baseline(fleet), jobs, emit)
        time.sleep(SETTLE_S)
        death(cluster, fleet, baseline(fleet), emit)
        store.relay.close()


def all_calls(sample):
    return (sample["store_reads"] + sample["store_writes"] +
            sample["store_keepalives"])


def calls_a_second(store, seconds):
    counts = [all_calls(store.sample())]
    for _ in range(seconds):
        time.sleep(1)
        counts.append(all_calls(store.sample()))
    return [last - first for first, last in zip(counts, counts[1:])]


OUTAGE_S = 20


def store_outage(build, emit):
    with Cluster(build) as cluster:
        # Runs end during the outage, so that there is something to commit.
        store, fleet = start(build, cluster, 3, 100, 0, 0)
        usual = calls_a_second(store, 5)
        fleet.kill()
        cluster.processes.remove(fleet)
        fleet = start_fleet(cluster, 100, 10000)
        wait_agents_usable(cluster.entries, 100)
        write_all(store, store.submit, names(0, 200))
        wait_running(fleet, 200)
        store.faults(mode="refuse")
        during = calls_a_second(store, OUTAGE_S)
        waiting = fleet.sample()["unrecorded"]
        store.faults(mode="ok")
        since = time.monotonic()
        after = []
        sampler = threading.Thread(
            target=lambda: after.extend(calls_a_second(store, 12)))
        sampler.start()
        wait_for("all ends to be recorded",
                 lambda: fleet.sample()["unrecorded"] == 0)
        recorded = time.monotonic() - since
        sampler.join()
        limit = 1.2 * max(usual)
        quiet = next((i for i in range(len(after))
                      if max(after[i:]) <= limit), len(after))
        emit({"series": "storm_store_outage", "outage_s": OUTAGE_S,
              "entries": 3, "usual_calls_per_s": usual,
              "during_calls": sum(during), "after_calls_per_s": after,
              "ends_waiting": waiting, "ends_recorded_s": round(recorded, 2),
              "quiet_s": quiet})
        store.relay.close()


class Probe(threading.Thread):
    """Longest time until the entry answers GET /health."""

    def __init__(self, entry):
        super().__init__(daemon=True)
        self.entry, self.most, self.closing = entry, 0, False
        self.start()

    def run(self):
        while not self.closing:
            begin = time.monotonic()
            http_call(self.entry.admin, "GET", "/health")
            self.most = max(self.most, time.monotonic() - begin)
            time.sleep(0.02)

    def close(self):
        self.closing = True
        self.join()
        return self.most


CANCELLED = 10000


def cancellations(build, emit):
    with Cluster(build) as cluster:
        store, fleet = start(build, cluster, 1, 100, 0, CANCELLED, 16)
        entry = cluster.entries[0]
        usual = baseline(fleet)
        probe = Probe(entry)
        time.sleep(2)
        usual_probe = probe.most
        cpu, before = cpu_seconds(entry.popen.pid), store.sample()
        first, since = fleet.sample(), time.monotonic()
        write_all(store, store.cancel, names(0, CANCELLED))
        written = time.monotonic() - since
        wait_for("all runs to be stopped",
                 lambda: fleet.sample()["running"] == 0)
        stopped = time.monotonic() - since

        def ended():
            return entry.metric(
                'catkinhill_batch_jobs{state="cancelled"}')
        wait_for("all ends to be recorded",
                 lambda: fleet.sample()["unrecorded"] == 0)
        recorded = time.monotonic() - since
        last, after = fleet.sample(), store.sample()
        emit({"series": "storm_cancellations", "cancelled": CANCELLED,
              "written_s": round(written, 2), "stopped_s": round(stopped, 2),
              "recorded_s": round(recorded, 2),
              "kept_as_cancelled": ended(),
              "stops": last["stops"] - first["stops"],
              "messages": count_messages(last) - count_messages(first),
              "usual_messages_per_s": round(usual),
              "entry_cpu_s": round(cpu_seconds(entry.popen.pid) - cpu, 2),
              "health_ms_most": round(1000 * probe.close()),
              "health_ms_usual_most": round(1000 * usual_probe),
              "store_calls": all_calls(after) - all_calls(before),
              "store_mb_to": round((after["store_to_bytes"] -
                                    before["store_to_bytes"]) / 1e6, 1)})
        store.relay.close()
