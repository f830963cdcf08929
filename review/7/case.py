"""One scheduled job that can never be done uses up the memory of each
scheduler in turn; the other jobs are hardly run any more."""

import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../rig-2"))

from rig import main, worker_rows  # noqa: E402

MEMORY_MB = 128        # memoryMb of the machines beside workers
RESTART_S = 0.5
TRAFFIC_S = 30
JOBS_PER_S = 7
POISON_AT_S = 5
FINISH_S = 14
NOTHING_RUNS_S = 3
TIMES = 86400          # one a second, the first of them a day ago
TASKS = 24
CPU = 70000            # more than any worker has


def memory_mb(daemon):
    with open("/proc/%d/statm" % daemon.process.pid) as text:
        return (int(text.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") /
                (1 << 20))


async def platform(rig, ends):
    """Kills a process over its memory and starts one that has ended."""
    while True:
        await asyncio.sleep(0.05)
        for daemon in rig.runners:
            if not daemon.is_running():
                rig.record.add("process", name=daemon.name, event="ended",
                               code=daemon.process.returncode)
            elif memory_mb(daemon) > MEMORY_MB:
                rig.record.add("process", name=daemon.name,
                               event="over-memory",
                               mb=round(memory_mb(daemon)))
                daemon.process.kill()
                daemon.process.wait()
            else:
                continue
            ends[daemon.name] += 1
            await asyncio.sleep(RESTART_S)
            daemon.start()


async def submit_poison(rig):
    step = {"count": TASKS, "cpu": CPU, "memMb": 1000, "estimateMs": 500,
            "maxPerServer": 4}
    await rig.request(rig.gateways[0], "POST", "/slow/" + rig.new_job(), {
        "spec": "500", "steps": [step], "repeatCount": TIMES,
        "firstMs": (int(time.time()) - TIMES) * 1000, "intervalMs": 1000})


async def submit_ordinary(rig, jobs):
    job = rig.new_job()
    if await rig.submit(job, "fast", "500", [
            {"count": 4, "cpu": 900, "memMb": 64,
             "estimateMs": 500}]) in (200, 202):
        jobs.append(job)


def at_work(rig):
    """Jobs with a task at work now, and the tasks that work."""
    running = {}
    for _, row in worker_rows(rig.record):
        key = (row["worker"], row["born"], row["task"], row["run"])
        if row["event"] == "start":
            running[key] = row["task"]
        elif row["event"] in ("end", "lost"):
            running.pop(key, None)
    return set(task[:16] for task in running.values()), len(running)


async def idle_jobs(rig, jobs):
    """Jobs that aren't complete and have had nothing running for 3 s, with
    under an eighth of the workers' room in use."""
    idle = set(jobs)
    end = time.monotonic() + NOTHING_RUNS_S + 0.2
    while time.monotonic() < end:
        busy, tasks = at_work(rig)
        idle -= busy
        if tasks * 900 > 3 * 64000 / 8:
            return {}
        await asyncio.sleep(0.02)
    states = {}
    for job in sorted(idle):
        state = await rig.state(job, "fast")
        if state != "complete":
            states[job] = state
    return states


async def scenario(rig):
    ends = collections.Counter()
    watch = asyncio.create_task(platform(rig, ends))
    jobs, sends = [], []
    for i in range(TRAFFIC_S * JOBS_PER_S):
        if rig.trouble and i == POISON_AT_S * JOBS_PER_S:
            sends.append(asyncio.create_task(submit_poison(rig)))
        sends.append(asyncio.create_task(submit_ordinary(rig, jobs)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*sends)
    await asyncio.sleep(FINISH_S)
    states = await idle_jobs(rig, jobs)
    watch.cancel()
    for job, state in states.items():
        rig.record.add("idle", job=job, state=state)
    print("of %d accepted jobs %d have had nothing running for 3 s" %
          (len(jobs), len(states)))
    often = sorted(name for name in ends if ends[name] >= 3)
    if len(often) < max(2, len(rig.daemons) / 10):
        return []
    return [("%s ended by itself %d times" % (name, ends[name]),)
            for name in often]


if __name__ == "__main__":
    main(FOLDER, scenario, gateways=2, runners=3)
