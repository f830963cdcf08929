#!/usr/bin/env python3
"""Runs every command of docs/operators.md, in order, and checks its metrics.

Guards against a page that names unknown commands or metrics.
"""

import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../tools/pylib"))

from cluster import Cluster, http_call, wait_for  # noqa: E402

DOCS = os.path.join(os.path.dirname(__file__), "../../docs")


def page(name):
    with open(os.path.join(DOCS, name)) as text:
        return text.read()


def blocks(text, language):
    return re.findall(r"```%s\n(.*?)```" % language, text, re.S)


def write_files(directory, text):
    entry, agent = blocks(page("configuration.md"), "ini")[:2]
    files = {"entry.ini": entry, "agent.ini": agent,
             "job.json": blocks(text, "json")[0]}
    for name, content in files.items():
        with open(os.path.join(directory, name), "w") as out:
            out.write(content)


def run_commands(cluster, text):
    env = dict(os.environ, CATKINHILL_ENTRY=cluster.entries[0].admin)
    count = 0
    for block in blocks(text, "sh"):
        for line in block.splitlines():
            words = line.split()
            result = subprocess.run(
                [cluster.binary(words[0])] + words[1:], env=env,
                cwd=cluster.directory, stdin=subprocess.DEVNULL,
                capture_output=True, text=True, timeout=60)
            if result.returncode:
                raise AssertionError("%s: %d %s%s" % (
                    line, result.returncode, result.stdout, result.stderr))
            count += 1
    print("%d commands" % count)
    assert count > 15


def check_metrics(cluster, text):
    served = ""
    for daemon in cluster.entries + list(cluster.agents.values()):
        served += http_call(daemon.admin, "GET", "/metrics")[2].decode()
    for name in sorted(set(re.findall(r"`(catkinhill_\w+)`", text))):
        assert "# TYPE %s " % name in served, name + " is not served"


def main(build):
    text = page("operators.md")
    with Cluster(build) as cluster:
        cluster.start_store()
        cluster.start_entry("e1", "a", "a1")
        for name, domain in (("w1", "a1"), ("w2", "a2")):
            worker = cluster.start_worker("worker-" + name)
            cluster.start_agent(name, worker, "a", domain)
        wait_for("both agents", lambda: sum(
            member["usable"] for member in
            cluster.ctl_json("status")["members"]) == 2)
        write_files(cluster.directory, text)
        run_commands(cluster, text)
        check_metrics(cluster, text)
        for daemon in list(cluster.agents.values()) + cluster.entries:
            assert daemon.stop() == 0


main(sys.argv[1])
