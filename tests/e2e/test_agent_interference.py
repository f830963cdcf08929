#!/usr/bin/env python3
"""Eviction of a task that uses too much memory, at one agent."""

import sys

import agent_rig

LONG_RUN = "steps=100000 step_ms=50"


def metric(rig, name, reason):
    return rig.metric('catkinhill_agent_%s_total{reason="%s"}' %
                      (name, reason))


def memory(rig):
    """Guards against a task that uses more memory than the VM has."""
    entry = rig.entry
    entry.wait_state("ready")
    entry.start_task("a", 1, LONG_RUN, mem_mb=300)
    entry.wait_task("a", 1, "running")
    entry.start_task("b", 1, LONG_RUN + " usage_mem_mb=4000", mem_mb=300)
    stopped = entry.wait_task("b", 1, "stopped")
    assert stopped["detail"] == "interference-memory", stopped
    assert stopped["checkpoint"] == "step-%d" % len(rig.effects("b"))
    rig.wait_until(lambda: len(rig.effects("a")) > 100, "steps of a")
    entry.wait_task("a", 1, "running", entry.position())
    assert metric(rig, "evictions", "memory") == 1


agent_rig.run_scenarios([memory], sys.argv[1])
