#!/usr/bin/env python3
"""Runs the curl examples of docs/API.md against `lycheestep local`.

Usage: run.py PROGRAM API_PAGE

Each example is a block of shell whose first line is a comment with the
statuses that its answer may have.
"""
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time

TOKEN = "operator-token-of-the-test"
READY_LIMIT_S = 30
STOP_LIMIT_S = 40


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def examples(page):
    text = open(page, encoding="utf-8").read()
    for block in re.findall(r"```sh\n(.*?)```", text, re.S):
        comment, command = block.split("\n", 1)
        yield comment.lstrip("# ").split(), command


def wait_until_ready(url, process):
    end = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < end and process.poll() is None:
        probe = subprocess.run(
            ["curl", "-sf", "-o", "/dev/null", url + "/readyz"], check=False)
        if probe.returncode == 0:
            return
        time.sleep(0.05)
    sys.exit("lycheestep local did not become ready")


def check(allowed, command, environment):
    """Returns what is wrong with the answer to one example, or None."""
    run = subprocess.run(["bash", "-c", command], env=environment,
                         capture_output=True, check=False, timeout=90)
    answer = run.stdout.decode("utf-8").replace("\r\n", "\n")
    head, _, body = answer.rpartition("\n\n")
    lines = [line for line in head.split("\n") if line.startswith("HTTP/")]
    status = lines[-1].split()[1] if lines else "none"
    if status not in allowed:
        return "status %s, not %s: %s" % (status, allowed, answer)
    if "application/json" in head:
        json.loads(body)
    return None


def main():
    program, page = sys.argv[1:]
    port = free_port()
    url = "http://127.0.0.1:%d" % port
    environment = dict(os.environ, URL=url, TOKEN=TOKEN,
                       LYCHEESTEP_TOKEN=TOKEN)
    process = subprocess.Popen(
        [program, "local", "--port", str(port), "--log-level", "error"],
        env=environment)
    failures = 0
    try:
        wait_until_ready(url, process)
        for allowed, command in examples(page):
            problem = check(allowed, command, environment)
            failures += problem is not None
            print("FAILED" if problem else "ok", command.split("\n")[0])
            if problem:
                print(problem)
    finally:
        process.send_signal(signal.SIGTERM)
        code = process.wait(timeout=STOP_LIMIT_S)
    if code != 0:
        sys.exit("lycheestep local exited with %d" % code)
    sys.exit(1 if failures else 0)


main()
