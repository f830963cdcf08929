"""Batch runs while owners, agents, VMs and connections fail: a run is never
in two places, and no effect is missing or duplicated.

If a run is lost with its worker or agent, the steps after its last checkpoint
are repeated; these scenarios use the ledger of docs/worker-interface.md.
In all others a repeated step is a violation.
"""

import threading
import time

from faults import (SHORT_LIMITS, expect, log_fields, now_ms, wait_for,
                    with_options)

JOB_COUNT = 4
# The design's limit from the submission of an urgent job to its start.
URGENT_START_MAX_MS = 3500


def submit_all(system, steps=500, step_ms=10, count=JOB_COUNT):
    jobs = ["job%d" % i for i in range(count)]
    for job in jobs:
        system.submit(job, steps, step_ms)
    for job in jobs:
        system.wait_steps(job, 5)
    return jobs


def finish(system, jobs):
    for job in jobs:
        system.wait_job(job, "done")


def agent_of(system, job):
    return system.agents[system.wait_job(job, "running")["agent"]]


def owner_killed(system):
    """Guards against a new owner that starts a job again while its run still
    exists."""
    jobs = submit_all(system)
    killed = system.owner_of(jobs[0])
    system.kill_daemon(killed)
    wait_for("a new owner", lambda: system.get("own/0") and all(
        (system.get("own/%d" % n) or {}).get("entry") not in
        (None, killed.who) for n in range(2)))
    system.restart(killed)
    finish(system, jobs)


def owner_frozen(system):
    """Guards against an owner that resumes after its lease has expired and
    continues to act as the owner."""
    jobs = submit_all(system, 900)
    frozen = system.owner_of(jobs[0])
    epochs = {n: system.get("own/%d" % n)["epoch"] for n in range(2)}
    owned_partitions = [n for n in range(2)
                        if system.get("own/%d" % n)["entry"] == frozen.who]
    system.freeze(frozen)
    wait_for("a new owner", lambda: all(
        (system.get("own/%d" % n) or {"epoch": 0})["epoch"] > epochs[n]
        for n in owned_partitions))
    # Both owners have queued jobs when the old one resumes.
    other_entry = [e for e in system.entries if e is not frozen][0]
    for i in range(4):
        system.submit("late%d" % i, 50, entry=other_entry)
    system.resume(frozen)
    finish(system, jobs + ["late%d" % i for i in range(4)])
    expect(frozen.lines(3011), "the old owner to be fenced")


def owner_frozen_twice(system):
    """Guards against the same as owner_frozen, with both entries frozen in
    turn during drains."""
    jobs = submit_all(system, 1200)
    for turn, domain in enumerate(("a1", "a2")):
        frozen = system.entries[turn]
        other_entry = system.entries[1 - turn]
        system.change(frozen, intent="drain", domain=domain)
        system.freeze(frozen)
        wait_for("the other entry to own all partitions", lambda: all(
            (system.get("own/%d" % n) or {}).get("entry") == other_entry.who
            for n in range(2)))
        system.resume(frozen)
        system.wait_in_force(system.get("cfg")["version"])
        system.change(frozen, intent="undrain", domain=domain)
    finish(system, jobs)


def agent_killed_task_runs_on(system):
    """Guards against a run that is started on another VM while the worker
    still runs it, and against one that a restarted agent loses or repeats."""
    jobs = submit_all(system, 600)
    agent = agent_of(system, jobs[0])
    system.kill_daemon(agent)
    system.restart(agent)
    finish(system, jobs)
    expect(not system.skipped_steps(), "no repeated step: no run started on "
           "another VM")


@with_options(ledger=True)
def agent_killed_without_restart(system):
    """Guards against a run that starts on another VM before its worker has
    stopped it, and against one that is never started again."""
    jobs = submit_all(system, 600)
    agent = agent_of(system, jobs[0])
    system.kill_daemon(agent)
    finish(system, jobs)


@with_options(ledger=True)
def vm_killed(system):
    """Guards against effects that are duplicated or missing after a crash."""
    jobs = submit_all(system, 600)
    for _ in range(2):
        agent = agent_of(system, jobs[0])
        system.kill_vm(agent.who)
        wait_for("another run", lambda: (system.job(jobs[0]) or {}).get(
            "agent") not in (None, agent.who))
    finish(system, jobs)
    expect(system.skipped_steps() > 0, "steps after the last checkpoint to be "
           "repeated, so that the ledger is needed")


@with_options(links=True)
def agent_disconnected_and_reconnected(system):
    """Guards against a run that continues at a disconnected agent while its
    owner starts it elsewhere, and against commands from before the network
    partition that arrive late."""
    jobs = submit_all(system, 900)
    for turn in range(2):
        agent = agent_of(system, jobs[turn])
        system.fault(agent.who)
        for relay in system.relays.values():
            relay.set_blocked(agent.who)
        if turn == 0:
            # Until the grant has expired and the run has moved.
            wait_for("another run", lambda: (system.job(jobs[0]) or {}).get(
                "agent") not in (None, agent.who))
        else:
            time.sleep(1.5)
        for relay in system.relays.values():
            relay.set_blocked()
    finish(system, jobs)


agent_disconnected_and_reconnected.options["ledger"] = True


@with_options(links=True)
def commit_responses_lost(system):
    """Guards against a run that is started twice, or an end that is lost,
    when the response to a commit is lost."""
    links = list(system.store_links.values())

    def lose_next_response(prefix):
        """Returns the count of responses lost so far."""
        system.fault("store")
        for link in links:
            link.lose_matching = lambda key, value: key.startswith(prefix)
        return sum(len(link.lost) for link in links)

    lose_next_response("inbox/")
    jobs = ["job%d" % i for i in range(8)]
    for job in jobs:
        system.submit(job, 150, 10)
        # The lost response may be that of any commit of a start or an end.
        lost_before = lose_next_response("part/")
        wait_for("a response to be lost", lambda: sum(
            len(link.lost) for link in links) > lost_before)
    finish(system, jobs)
    reread_commits = sum(len(e.lines(3014)) for e in system.entries)
    expect(reread_commits, "commits to be read back")


@with_options(limits=dict(SHORT_LIMITS, grant_ms=2000, holdover_ms=12000))
def store_outage(system):
    """Guards against runs that stop, move or are duplicated in an outage of
    the store that is longer than grants and leases but shorter than the
    holdover."""
    jobs = submit_all(system, 1200)
    system.set_store_faults(mode="hang")
    time.sleep(6)
    for agent in system.agents.values():
        expect(not agent.lines(2026), "runs to continue")
    system.set_store_faults(mode="ok")
    system.submit("after", 20)
    system.set_store_faults(lose_answers=6)
    finish(system, jobs + ["after"])


@with_options(limits=dict(SHORT_LIMITS, task_lease_ms=4000))
def eviction_races_completion(system):
    """Guards against a job that ends twice, or starts again after its end,
    when it is evicted while its run finishes."""
    domains = {name: domain for name, _, domain in system.vms}
    # Delayed stops take effect after the run has finished.
    for name in system.workers:
        system.set_worker_faults(name, slow_tasks_ms=900)
    jobs = ["race%d" % i for i in range(8)]
    for i, job in enumerate(jobs):
        system.submit(job, 150 + 25 * i, 20)
    drain_count = 0
    for job in jobs:
        wait_for(job + " to be near its end", lambda: len(
            system.effect_steps(job)) >= system.jobs[job] - 30)
        row = system.job(job)
        if row["state"] != "running" or drain_count == 3:
            continue
        domain = domains[row["agent"]]
        system.change(system.entries[0], intent="drain", domain=domain)
        drain_count += 1
        time.sleep(0.5)
        system.change(system.entries[1], intent="undrain", domain=domain)
    finish(system, jobs)
    late_stops = sum(count_late_stops(agent)
                     for agent in system.agents.values())
    expect(late_stops, "a stop of a run that finished first")


def count_late_stops(agent):
    stopping = {log_fields(line)["job"] + "/" + log_fields(line)["run"]
                for line in agent.lines(2025)}
    return sum(log_fields(line)["job"] + "/" +
               log_fields(line)["run"] in stopping and
               log_fields(line)["state"] == "finished"
               for line in agent.lines(2026))


@with_options(vm_limits=(8, 64, 4000, 1000, 0),
              limits=dict(SHORT_LIMITS, partitions=4))
def owners_compete_for_one_vm(system):
    """Guards against more tasks at a VM than its capacity when several owners
    choose it at the same time; the agent decides."""
    jobs = ["crowd%d" % i for i in range(16)]
    threads = [threading.Thread(target=system.submit, args=(job, 40, 10),
                                kwargs={"mem_mb": 600, "entry":
                                        system.entries[i % 2]})
               for i, job in enumerate(jobs)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    finish(system, jobs)
    expect(sum(len(agent.lines(2021)) for agent in system.agents.values()),
           "runs that an agent refused")


@with_options(vm_limits=(8, 64, 4000, 1000, 0),
              limits=dict(SHORT_LIMITS, partitions=1))
def urgent_work_evicts(system):
    """Guards against more tasks at a VM than its capacity, and against
    evicted work that does not resume exactly once."""
    jobs = ["low%d" % i for i in range(4)]
    for job in jobs:
        system.submit(job, 800, 10, mem_mb=800)
    for job in jobs:
        system.wait_steps(job, 5)
    urgent = ["urgent%d" % i for i in range(2)]
    for job in urgent:
        system.submit(job, 100, 10, mem_mb=800, urgent=True)
    finish(system, urgent + jobs)
    expect(sum(e.metric("catkinhill_batch_evictions_total")
               for e in system.entries) > 0, "evictions")


@with_options(vm_limits=(8, 64, 4000, 1000, 0))
def urgent_work_of_two_owners(system):
    """Guards against urgent work that waits because the capacity it needs is
    reserved by runs of a partition that another entry owns."""
    wait_for("each entry to own a partition", lambda: len(
        {(system.get("own/%d" % n) or {}).get("entry")
         for n in range(2)} - {None}) == 2)
    jobs = ["low%d" % i for i in range(8)]
    for job in jobs:
        system.submit(job, 400, 10, mem_mb=400)
    wait_for("the VMs to be full", lambda: sum(
        len(system.effect_steps(job)) >= 5 for job in jobs) >= 4)
    urgent = ["urgent%d" % i for i in range(2, 6)]
    submitted_at_ms = {}
    for job in urgent:
        submitted_at_ms[job] = now_ms()
        system.submit(job, 100, 10, mem_mb=800, urgent=True)
    finish(system, urgent + jobs)
    # The partition of a job is derived from its name, so this is fixed.
    for kind in (jobs, urgent):
        expect(len({system.job(job)["partition"] for job in kind}) == 2,
               "jobs in both partitions")
    start_delay_ms = {job: started_at_ms(system, job) - submitted_at_ms[job]
                      for job in urgent}
    print("ms from submission to start: %s" % start_delay_ms, flush=True)
    expect(max(start_delay_ms.values()) <= URGENT_START_MAX_MS,
           "starts within %d ms" % URGENT_START_MAX_MS)


def started_at_ms(system, job):
    return min(row["t"] for name in system.workers
               for row in system.worker_records(name)
               if row["kind"] == "task-start" and row["id"] == job)
