"""Load peaks of tools/capacity: messages, and time until normal load."""

import signal
import threading
import time

from capacity_series import job_names, wait_running, write_all
from cluster import Cluster, http_call, wait_for
from measure import (FakeStoreClient, cpu_seconds, start_fleet,
                     wait_agents_usable)

SETTLE_S = 4


def rate_between(first, last, key):
    return (last[key] - first[key]) * 1000 / (last["ms"] - first["ms"])


def count_messages(sample):
    return sample["messages_in"] + sample["messages_out"]


def peak_rate(samples, since_ms):
    """Highest message rate in any window of about one second."""
    rows = [row for row in samples if row["ms"] >= since_ms]
    peak = 0
    for first, last in zip(rows, rows[4:]):
        peak = max(peak, (count_messages(last) - count_messages(first)) *
                   1000 / (last["ms"] - first["ms"]))
    return peak


def measure_baseline(fleet, seconds=3):
    first = fleet.sample()
    time.sleep(seconds)
    last = fleet.sample()
    return (count_messages(last) - count_messages(first)) * 1000 / (
        last["ms"] - first["ms"])


def wait_until_quiet(fleet, baseline, since):
    """Waits for a second with at most 1.2 times the baseline."""
    def quiet():
        rows = fleet.samples()[-5:]
        elapsed_ms = rows[-1]["ms"] - rows[0]["ms"]
        rate = (count_messages(rows[-1]) - count_messages(rows[0])) * 1000
        return (time.monotonic() - since > 1.5 and
                rate / elapsed_ms <= 1.2 * baseline)
    wait_for("the message rate to return to the baseline", quiet, 120)
    return time.monotonic() - since


def start(build, cluster, entries, agents, task_ms, jobs, partitions=4):
    store = FakeStoreClient(cluster, partitions)
    cluster.start_entries(entries)
    fleet = start_fleet(cluster, agents, task_ms)
    wait_agents_usable(cluster.entries, agents)
    write_all(store, store.submit, job_names(0, jobs))
    wait_running(fleet, jobs)
    time.sleep(SETTLE_S)
    return store, fleet


def restart_all_agents(cluster, fleet, baseline, jobs, emit):
    first = fleet.sample()
    cpu = [cpu_seconds(entry.popen.pid) for entry in cluster.entries]
    since = time.monotonic()
    target_acks = first["acks"] + 300 * len(cluster.entries)
    fleet.restart_agents()
    wait_for("an acknowledgement to every agent from every entry",
             lambda: fleet.sample()["acks"] >= target_acks)
    known_s = time.monotonic() - since
    quiet = wait_until_quiet(fleet, baseline, since)
    cpu_used_s = [cpu_seconds(entry.popen.pid) - before
                  for entry, before in zip(cluster.entries, cpu)]
    last = fleet.sample()
    wait_for("the lost runs to run again",
             lambda: fleet.sample()["running"] == jobs, 120)
    emit({"series": "storm_restart", "agents": 300,
          "entries": len(cluster.entries), "usual_messages_per_s":
          round(baseline), "peak_messages_per_s":
          round(peak_rate(fleet.samples(), first["ms"])),
          "all_known_s": round(known_s, 2), "quiet_s": round(quiet, 2),
          "messages": count_messages(last) - count_messages(first),
          "entry_cpu_s_most": round(max(cpu_used_s), 3),
          "lost_runs": jobs, "runs_back_s":
          round(time.monotonic() - since, 1)})


def partitions_of(entries):
    return [entry.metric("catkinhill_batch_partitions") for entry in entries]


def kill_entry(cluster, fleet, baseline, emit):
    owned = partitions_of(cluster.entries)
    killed = cluster.entries[owned.index(max(owned))]
    survivors = [entry for entry in cluster.entries if entry is not killed]
    first = fleet.sample()
    since = time.monotonic()
    killed.signal(signal.SIGKILL)
    wait_for("the partitions to be owned again",
             lambda: sum(partitions_of(survivors)) == sum(owned))
    moved = time.monotonic() - since
    wait_for("all reports to be acknowledged",
             lambda: fleet.sample()["unanswered"] == 0)
    answered = time.monotonic() - since
    quiet = wait_until_quiet(fleet, baseline, since)
    last = fleet.sample()
    emit({"series": "storm_entry_death", "agents": 300,
          "partitions_moved": max(owned),
          "moved_s": round(moved, 2), "answered_s": round(answered, 2),
          "quiet_s": round(max(quiet, answered), 2),
          "owner_messages": last["owners"] - first["owners"],
          "report_messages": last["reports"] - first["reports"],
          "peak_messages_per_s":
          round(peak_rate(fleet.samples(), first["ms"])),
          "usual_messages_per_s": round(baseline)})


def restart_and_death(build, emit):
    jobs = 100
    with Cluster(build) as cluster:
        store, fleet = start(build, cluster, 3, 300, 0, jobs)
        restart_all_agents(cluster, fleet, measure_baseline(fleet), jobs,
                           emit)
        time.sleep(SETTLE_S)
        kill_entry(cluster, fleet, measure_baseline(fleet), emit)
        store.relay.close()


def count_store_calls(sample):
    return (sample["store_reads"] + sample["store_writes"] +
            sample["store_keepalives"])


def calls_per_second(store, seconds):
    counts = [count_store_calls(store.sample())]
    for _ in range(seconds):
        time.sleep(1)
        counts.append(count_store_calls(store.sample()))
    return [last - first for first, last in zip(counts, counts[1:])]


OUTAGE_S = 20


def store_outage(build, emit):
    with Cluster(build) as cluster:
        # Runs end during the outage, so that there is something to commit.
        store, fleet = start(build, cluster, 3, 100, 0, 0)
        baseline = calls_per_second(store, 5)
        fleet.kill()
        cluster.processes.remove(fleet)
        fleet = start_fleet(cluster, 100, 10000)
        wait_agents_usable(cluster.entries, 100)
        write_all(store, store.submit, job_names(0, 200))
        wait_running(fleet, 200)
        store.set_faults(mode="refuse")
        during = calls_per_second(store, OUTAGE_S)
        waiting = fleet.sample()["unrecorded"]
        store.set_faults(mode="ok")
        since = time.monotonic()
        after = []
        sampler = threading.Thread(
            target=lambda: after.extend(calls_per_second(store, 12)))
        sampler.start()
        wait_for("all ends to be recorded",
                 lambda: fleet.sample()["unrecorded"] == 0)
        recorded = time.monotonic() - since
        sampler.join()
        limit = 1.2 * max(baseline)
        quiet = next((i for i in range(len(after))
                      if max(after[i:]) <= limit), len(after))
        emit({"series": "storm_store_outage", "outage_s": OUTAGE_S,
              "entries": 3, "usual_calls_per_s": baseline,
              "during_calls": sum(during), "after_calls_per_s": after,
              "ends_waiting": waiting, "ends_recorded_s": round(recorded, 2),
              "quiet_s": quiet})
        store.relay.close()


class HealthProbe(threading.Thread):
    """Records the longest response time of GET /health of an entry."""

    def __init__(self, entry):
        super().__init__(daemon=True)
        self.entry, self.max_s, self.closing = entry, 0, False
        self.start()

    def run(self):
        while not self.closing:
            begin = time.monotonic()
            http_call(self.entry.admin, "GET", "/health")
            self.max_s = max(self.max_s, time.monotonic() - begin)
            time.sleep(0.02)

    def close(self):
        self.closing = True
        self.join()
        return self.max_s


CANCELLED_JOBS = 10000


def cancellations(build, emit):
    with Cluster(build) as cluster:
        store, fleet = start(build, cluster, 1, 100, 0, CANCELLED_JOBS, 16)
        entry = cluster.entries[0]
        baseline = measure_baseline(fleet)
        probe = HealthProbe(entry)
        time.sleep(2)
        baseline_max_s = probe.max_s
        cpu, before = cpu_seconds(entry.popen.pid), store.sample()
        first, since = fleet.sample(), time.monotonic()
        write_all(store, store.cancel, job_names(0, CANCELLED_JOBS))
        written = time.monotonic() - since
        wait_for("all runs to be stopped",
                 lambda: fleet.sample()["running"] == 0)
        stopped = time.monotonic() - since

        def kept_count():
            return entry.metric(
                'catkinhill_batch_jobs{state="cancelled"}')
        wait_for("all ends to be recorded",
                 lambda: fleet.sample()["unrecorded"] == 0)
        recorded = time.monotonic() - since
        last, after = fleet.sample(), store.sample()
        emit({"series": "storm_cancellations", "cancelled": CANCELLED_JOBS,
              "written_s": round(written, 2), "stopped_s": round(stopped, 2),
              "recorded_s": round(recorded, 2),
              "kept_as_cancelled": kept_count(),
              "stops": last["stops"] - first["stops"],
              "messages": count_messages(last) - count_messages(first),
              "usual_messages_per_s": round(baseline),
              "entry_cpu_s": round(cpu_seconds(entry.popen.pid) - cpu, 2),
              "health_ms_most": round(1000 * probe.close()),
              "health_ms_usual_most": round(1000 * baseline_max_s),
              "store_calls":
              count_store_calls(after) - count_store_calls(before),
              "store_mb_to": round((after["store_to_bytes"] -
                                    before["store_to_bytes"]) / 1e6, 1)})
        store.relay.close()
