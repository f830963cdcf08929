#!/usr/bin/env python3
"""Batch runs at one agent: grants, fencing, ends of runs, restarts."""

import signal
import sys
import time

import agent_rig

LONG_RUN = "steps=100000 step_ms=10"


def resume_once(rig):
    """Guards against steps repeated or skipped after an eviction."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.start_task("j", 1, "steps=150 step_ms=5")
    entry.wait_task("j", 1, "running")
    rig.wait_until(lambda: len(rig.effects("j")) > 5, "steps")
    entry.stop_task("j", 1)
    checkpoint = entry.wait_task("j", 1, "stopped")["checkpoint"]
    # A duplicate start command must not start the run again.
    entry.start_task("j", 1, "steps=150 step_ms=5")
    entry.start_task("j", 2, "steps=150 step_ms=5", checkpoint=checkpoint)
    entry.wait_task("j", 2, "finished")
    assert rig.effects("j") == list(range(150))
    entry.start_task("k", 1, "fail")
    entry.wait_task("k", 1, "failed")
    entry.start_task("l", 1, LONG_RUN)
    entry.wait_task("l", 1, "running")
    entry.stop_task("l", 1, mode="cancel")
    entry.wait_task("l", 1, "stopped")


def no_start_without_ack(rig):
    """Guards against a start by a delayed command: only the owner's
    acknowledgement of a report shows that the run is still current."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, grant_ms=2000, task_lease_ms=1000)
    entry.set(ack_reports=False)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "starting")
    refused = entry.wait_task("j", 1, "refused")
    assert refused["detail"] == "no-grant"
    assert not rig.effects("j")
    entry.set(ack_reports=True)
    position = entry.position()
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "refused", position)
    entry.start_task("j", 2, LONG_RUN)
    entry.wait_task("j", 2, "running")


def grant_expires(rig):
    """Guards against a run that continues after its grant has expired."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, grant_ms=2000, task_lease_ms=1000)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    time.sleep(3)
    assert rig.record()["now"]["mem_mb"] == 100
    entry.set(ack_reports=False)
    stopped = entry.wait_task("j", 1, "stopped")
    assert stopped["detail"] == "grant-expired"
    assert stopped["checkpoint"] == "step-%d" % len(rig.effects("j"))


def agent_paused(rig):
    """Guards against an agent that renews a task lease after a pause longer
    than its grant, when the owner may have started the run elsewhere."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, grant_ms=2000, task_lease_ms=1000)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    rig.agent.send_signal(signal.SIGSTOP)
    rig.wait_until(lambda: rig.record()["now"]["mem_mb"] == 0, "expiry")
    time.sleep(2)
    steps = len(rig.effects("j"))
    rig.agent.send_signal(signal.SIGCONT)
    stopped = entry.wait_task("j", 1, "stopped")
    assert stopped["checkpoint"] == "step-%d" % steps
    assert len(rig.effects("j")) == steps


def late_start(rig):
    """Guards against a start request that a paused VM executes after the
    owner has counted the run as stopped and started it elsewhere."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, grant_ms=2000, task_lease_ms=1000)
    rig.worker.send_signal(signal.SIGSTOP)
    entry.start_task("j", 1, LONG_RUN)
    # The agent sends the start when its first report is acknowledged.
    entry.wait_for(lambda: len([m for m in entry.messages
                                if m.get("tasks")]) > 1, "second report")
    rig.agent.send_signal(signal.SIGSTOP)
    # The owner's wait: grant + 2 task leases + margin.
    time.sleep(2 + 2 * 1 + 2)
    rig.worker.send_signal(signal.SIGCONT)
    rig.wait_until(lambda: rig.record().get("late") or rig.effects("j"),
                   "start request")
    assert not rig.effects("j")
    position = entry.position()
    rig.agent.send_signal(signal.SIGCONT)
    entry.wait_for(lambda: [t for m in entry.messages[position:]
                            for t in m.get("tasks", [])
                            if t["state"] in ("refused", "lost")], "end")
    assert not [r for r in rig.record()["history"]
                if r["kind"] == "task-start"]


def fencing(rig):
    """Guards against commands of a former owner or for earlier runs."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.set(epoch=5)
    entry.start_task("j", 3, LONG_RUN, epoch=5)
    entry.wait_task("j", 3, "running")
    entry.stop_task("j", 3, epoch=4)
    entry.start_task("j", 4, LONG_RUN, epoch=4)
    entry.stop_task("j", 2, epoch=5)
    entry.start_task("j", 2, LONG_RUN, epoch=5)
    rig.wait_until(lambda: rig.metric("catkinhill_agent_fenced_total") == 4,
                   "fenced commands")
    assert rig.record()["now"]["mem_mb"] == 100
    # A stop of an unknown run reports it as lost and blocks its start.
    entry.stop_task("k", 1, epoch=5)
    entry.wait_task("k", 1, "lost")
    position = entry.position()
    entry.start_task("k", 1, LONG_RUN, epoch=5)
    entry.wait_task("k", 1, "lost", position)
    # A new owner gets the ends that the former one may not have stored.
    position = entry.position()
    entry.set(epoch=6)
    entry.send("owner", partition=0, epoch=6)
    entry.wait_task("k", 1, "lost", position)


def memory_capacity(rig):
    """Guards against tasks that exceed the memory, declared or observed."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.start_task("a", 1, LONG_RUN + " usage_mem_mb=700", mem_mb=400)
    entry.wait_task("a", 1, "running")
    entry.start_task("b", 1, LONG_RUN, mem_mb=1001)
    assert entry.wait_task("b", 1, "refused")["detail"] == \
        "larger-than-worker"
    entry.wait("announce", mem_mb=700)
    entry.start_task("c", 1, LONG_RUN, mem_mb=400)
    assert entry.wait_task("c", 1, "refused")["detail"] == "no-room"
    entry.start_task("d", 1, LONG_RUN, mem_mb=300)
    entry.wait_task("d", 1, "running")
    assert rig.record()["max"]["mem_mb"] == 700


def urgent_eviction(rig):
    """Guards against an urgent run that waits for runs of another partition,
    evicts urgent or recently evicted runs, or shares the freed capacity."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.start_task("paused", 2, LONG_RUN, mem_mb=300, pause_ms=600000)
    entry.start_task("first", 1, LONG_RUN, mem_mb=300, urgent=1)
    entry.start_task("victim", 1, LONG_RUN, mem_mb=300, partition=1)
    for job, run in (("paused", 2), ("first", 1), ("victim", 1)):
        entry.wait_task(job, run, "running")
    entry.start_task("plain", 1, LONG_RUN, mem_mb=300)
    assert entry.wait_task("plain", 1, "refused")["detail"] == "no-room"
    # The stop takes effect late; until then the capacity is reserved.
    rig.control(slow_tasks_ms=500)
    entry.start_task("urgent", 1, LONG_RUN, mem_mb=400, urgent=1)
    entry.start_task("plain", 2, LONG_RUN, mem_mb=100)
    assert entry.wait_task("plain", 2, "refused")["detail"] == "no-room"
    stopped = entry.wait_task("victim", 1, "stopped")
    assert stopped["detail"] == "urgent-room"
    entry.wait_task("urgent", 1, "running")
    assert stopped["checkpoint"] == "step-%d" % len(rig.effects("victim"))
    entry.start_task("late", 1, LONG_RUN, mem_mb=400, urgent=1)
    assert entry.wait_task("late", 1, "refused")["detail"] == "no-room"
    for job in ("paused", "first"):
        assert not [t for m in entry.messages for t in m.get("tasks", [])
                    if t["job"] == job and t["state"] == "stopped"]
    assert rig.record()["max"]["mem_mb"] <= 1000


def lost_responses(rig):
    """Guards against taking a lost response of the worker for an end."""
    entry = rig.entry
    entry.wait_state("ready")
    rig.control(lose_tasks=2)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    rig.control(lose_tasks=3)
    position = entry.position()
    entry.stop_task("j", 1)
    entry.wait_task("j", 1, "stopping", position)
    stopped = entry.wait_task("j", 1, "stopped", position)
    assert stopped["checkpoint"] == "step-%d" % len(rig.effects("j"))
    starts = [r for r in rig.record()["history"] if r["kind"] == "task-start"]
    assert len(starts) == 1


def agent_restarts(rig):
    """Guards against a restart of the agent that loses or repeats a run, or
    keeps it beyond its lease."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, grant_ms=20000, task_lease_ms=4000)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    rig.agent.kill()
    rig.agent.wait()
    position = entry.position()
    rig.start_agent()
    ready = entry.wait_state("ready", position)
    assert ready["mem_mb"] == 100
    adopted = entry.wait_task("j", 1, "running", position)
    steps = len(rig.effects("j"))
    # Longer than the lease: the owner's response must have renewed it.
    time.sleep(5)
    assert len(rig.effects("j")) > steps
    rig.agent.kill()
    rig.agent.wait()
    entry.set(ack_reports=False)
    position = entry.position()
    rig.start_agent()
    stopped = entry.wait_task("j", 1, "stopped", position)
    assert stopped["peer"] != adopted["peer"]
    assert stopped["detail"] == "lease-expired"
    assert rig.effects("j") == list(range(len(rig.effects("j"))))


def stop_before_first_list(rig):
    """Guards against a restarted agent that reports a run as lost before it
    has read its worker's list, while the worker goes on with the run."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, grant_ms=20000, task_lease_ms=10000)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    rig.agent.kill()
    rig.agent.wait()
    rig.worker.send_signal(signal.SIGSTOP)
    position = entry.position()
    rig.start_agent()
    entry.wait("announce", position)
    entry.stop_task("j", 1)
    time.sleep(1)
    assert not any(m.get("tasks") for m in entry.messages[position:])
    rig.worker.send_signal(signal.SIGCONT)
    entry.wait_task("j", 1, "running", position)
    entry.stop_task("j", 1)
    stopped = entry.wait_task("j", 1, "stopped", position)
    steps = len(rig.effects("j"))
    assert stopped["checkpoint"] == "step-%d" % steps
    time.sleep(0.2)
    assert len(rig.effects("j")) == steps


def worker_restarts(rig):
    """Guards against a run that is reported as running after its worker has
    restarted without it."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    rig.worker.kill()
    rig.worker.wait()
    rig.history += "2"
    rig.start_worker()
    assert entry.wait_task("j", 1, "lost")["detail"] in (
        "not-listed", "unknown-to-worker")


def worker_dies(rig):
    """Guards against a run that stays in state stopping at a dead worker."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, task_lease_ms=500)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    rig.worker.kill()
    killed = time.monotonic()
    lost = entry.wait_task("j", 1, "lost")
    assert lost["detail"] == "worker-down"
    # Two leases and the margin after the last renewal before the kill.
    assert time.monotonic() - killed > 2


def worker_hangs(rig):
    """Guards against an agent that is ready while its worker hangs, and
    against a run that continues after the hang."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.config(1, task_lease_ms=2000)
    entry.start_task("j", 1, LONG_RUN)
    entry.wait_task("j", 1, "running")
    position = entry.position()
    rig.worker.send_signal(signal.SIGSTOP)
    entry.wait_state("not-ready", position)
    rig.worker.send_signal(signal.SIGCONT)
    entry.wait_state("ready", position)
    stopped = entry.wait_task("j", 1, "stopped")
    assert stopped["detail"] == "lease-expired"
    steps = len(rig.effects("j"))
    assert stopped["checkpoint"] == "step-%d" % steps
    assert rig.effects("j") == list(range(steps))


def long_checkpoint(rig):
    """Guards against a part of a long checkpoint that is taken for the whole:
    the run would resume from another point than the one it had reached."""
    entry = rig.entry
    entry.wait_state("ready")
    for run, length in enumerate((64, 256, 257, 300), start=1):
        entry.start_task("j", run, "%s checkpoint_len=%d" % (LONG_RUN, length))
        entry.wait_task("j", run, "running")
        entry.stop_task("j", run)
        checkpoint = entry.wait_task("j", run, "stopped")["checkpoint"]
        assert len(checkpoint) in (0, length), (length, checkpoint)
        assert checkpoint or length > 256, length


agent_rig.run_scenarios([resume_once, no_start_without_ack, grant_expires,
                         agent_paused, late_start, fencing, memory_capacity,
                         urgent_eviction, lost_responses, agent_restarts,
                         stop_before_first_list, worker_restarts, worker_dies, worker_hangs,
                         long_checkpoint],
                        sys.argv[1])
