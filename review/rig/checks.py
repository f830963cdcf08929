"""Checks of what the workers have seen against the rules."""

import collections

CONTACT_S = 4.0  # contactMs
CALM_S = 4.0  # before the idle time
IDLE_MAX_S = 3.0


def runs_of(rows):
    """Runs at the workers as [task, run, worker, start, end or None, how]."""
    open_runs = {}
    runs = []
    for row in rows:
        if row["event"] not in ("start", "end"):
            continue
        name = (row["task"], row["run"], row["worker"])
        if row["event"] == "start":
            open_runs[name] = [*name, row["at"], None, ""]
            runs.append(open_runs[name])
        else:
            open_runs[name][4:] = [row["at"], row["how"]]
    return runs


def overlaps(rows, now):
    """TWICE: pairs of runs of one task that work at the same time."""
    by_task = collections.defaultdict(list)
    for run in runs_of(rows):
        by_task[run[0]].append(run)
    found = []
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda run: run[3])
        for i, first in enumerate(runs):
            for second in runs[i + 1:]:
                end = now if first[4] is None else first[4]
                if second[3] < end:
                    found.append((task, first, second))
    return found


def started_again(rows):
    """TWICE: starts of a task after a run of it has ended as done and the
    worker was told that this end is stored. No lease lapses in the test."""
    noted, found = {}, []
    for row in rows:
        if row["event"] == "noted" and row["how"] == "done":
            noted.setdefault(row["task"], row)
        elif row["event"] == "start" and row["task"] in noted:
            found.append((noted[row["task"]], row))
    return found


def longest_idle(rows, job, begin, end):
    """Longest time in [begin, end] in which no task of the job runs, as
    (start, length)."""
    runs = sorted((run[3], end if run[4] is None else run[4])
                  for run in runs_of(rows) if run[0].startswith(job + "."))
    best, free = (begin, 0), begin
    for start, stop in runs + [(end, end)]:
        if start > free and min(start, end) - free > best[1]:
            best = (free, min(start, end) - free)
        free = max(free, stop)
    return best


def lost(deployment, gateway, accepted, calm_from):
    """LOST: accepted jobs with nothing running for 3 s while their turn has
    come. That time and the CALM_S before it are without disruption, and all
    machines are in touch in them. No test uses half of the capacity."""
    end = deployment.now()
    found = []
    for job, since in accepted:
        state = deployment.state(gateway, job)
        starts = [row["at"] for row in deployment.events("start")
                  if row["task"].startswith(job + ".")]
        until = end
        if state == "complete" and starts:
            until = max(starts)
        begin = max(since, calm_from + CONTACT_S + CALM_S)
        if begin >= until:
            continue
        start, length = longest_idle(deployment.rows, job, begin, until)
        if length > IDLE_MAX_S:
            found.append("LOST: %s, accepted at %.1f s, has nothing running "
                         "from %.1f s on for %.1f s; it is %s at the end" %
                         (job, since, start, length, state))
    return found
