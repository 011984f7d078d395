#!/usr/bin/env python3
"""Drives two entry processes and the stand-ins over loopback through faults.

Usage: run.py LYCHEESTEP STANDIN CATALOGUE

The verdict rests on the ledgers of the stand-ins and on the answers, and not
on the speed of the machine: every wait polls with a generous limit.
"""
import concurrent.futures
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

TOKEN = "operator-token-of-the-test"
TARGETS = 4
LIMIT_S = 60
# Not repeatable, and quick and repeatable.
KINDS = ("restock-plan", "stock-check")


def free_ports(count):
    """The first of so many free ports in a row."""
    for first in range(20000, 60000, 37):
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    sys.exit("no free ports")


def call(port, method, path, body=None, headers=None):
    """Status and JSON of a call; status 0 when there was no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=LIMIT_S)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8")
    except OSError:
        return 0, ""
    except http.client.HTTPException:
        return 0, ""
    finally:
        connection.close()


def wait_until(what, condition):
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("waited in vain until " + what)


class Cell:
    def __init__(self, program, standin, folder):
        self.program = program
        self.folder = folder
        self.base = free_ports(TARGETS + 5)
        self.targets = [self.base + 1 + i for i in range(TARGETS)]
        self.http = {n: self.base + TARGETS + n for n in (1, 2)}
        self.peer = {n: self.base + TARGETS + 2 + n for n in (1, 2)}
        self.processes = {}
        self.answers = {}
        self.standin = subprocess.Popen(
            [standin, "--port=%d" % self.base, "--targets=%d" % TARGETS,
             "--run-ms=30"], stdout=subprocess.PIPE)
        self.standin.stdout.readline()

    def start(self, number):
        other = 3 - number
        settings = {
            "entry": "e%d" % number, "data_centre": "dc1",
            "operator_token": TOKEN,
            "http": {"host": "127.0.0.1", "port": self.http[number]},
            "platform": {"url": "http://127.0.0.1:%d" % self.base,
                         "timeout": "1s"},
            "targets": {"timeout": "1s"},
            "peers": {"address": "tcp://127.0.0.1:%d" % self.peer[number],
                      "key": "key-of-the-process-test",
                      "members": [{"id": "e%d" % other, "data_centre": "dc1",
                                   "address": "tcp://127.0.0.1:%d"
                                              % self.peer[other]}]},
            "log": {"level": "info"},
            "scheduler": {"main_term": "3s", "term_margin": "500ms",
                          "session_period": "500ms", "reserve_term": "6s",
                          "lease_term": "6s", "lease_period": "1s",
                          "lease_margin": "1s", "heartbeat_period": "500ms",
                          "peer_timeout": "2s", "catalogue_period": "500ms",
                          "host_list_period": "500ms"}}
        path = os.path.join(self.folder, "e%d.json" % number)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, "e%d.log" % number), "ab")
        self.processes[number] = subprocess.Popen(
            [self.program, "entry", "--settings", path], stderr=log)

    def ready(self, number):
        return call(self.http[number], "GET", "/readyz")[0] == 200

    def wait_ready(self, number):
        wait_until("e%d is ready" % number, lambda: self.ready(number))

    def apply(self, catalogue):
        body = {"base_version": 0, "operator": "test", "message": "first",
                "catalogue": catalogue}
        headers = {"Authorization": "Bearer " + TOKEN}

        def accepted():
            status, _ = call(self.http[1], "PUT", "/v1/catalogue", body,
                             headers)
            return status in (200, 409)
        wait_until("the catalogue is accepted", accepted)

    def submit(self, number, request, kind):
        status, text = call(self.http[number], "POST", "/v1/requests",
                            {"id": request, "kind": kind, "deadline": "20s",
                             "first_try": True, "body": "body of " + request})
        if status:
            self.answers[request] = json.loads(text)

    def flood(self, name, numbers, count):
        """Submits so many requests to each host and waits for the answers."""
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            for index in range(count):
                for number in numbers:
                    kind = KINDS[index % len(KINDS)]
                    request = "%s-%s-%d-%d" % (kind, name, number, index)
                    pool.submit(self.submit, number, request, kind)

    def fault(self, **faults):
        call(self.base, "POST", "/control", faults)

    def target(self, index, action):
        call(self.targets[index], "POST", "/control", {"action": action})

    def ledgers(self):
        return [json.loads(call(port, "GET", "/control/ledger")[1])
                for port in self.targets]

    def stop_all(self):
        for process in list(self.processes.values()) + [self.standin]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def check(condition, text):
    if not condition:
        raise AssertionError(text)


def judge(cell):
    """What must always hold, from the ledgers and the answers alone."""
    starts = {}
    for ledger in cell.ledgers():
        for name, amount in ledger["peak"].items():
            check(amount <= ledger["capacity"].get(name, 0),
                  "%s was given more %s than it has"
                  % (ledger["target"], name))
        for task in ledger["tasks"]:
            starts.setdefault(task["request"], []).append(task)
    for request, tasks in starts.items():
        if request.startswith("restock-plan"):
            check(len(tasks) == 1, request + " ran twice")
    done = 0
    for request, answer in cell.answers.items():
        outcome = answer["outcome"]
        if outcome == "not_run":
            check(request not in starts, request + " ran: " + str(answer))
        if outcome == "done":
            done += 1
            check(request in starts, request + " did not run")
            check(answer["error"] or
                  answer["body"] == "answer to %s: body of %s"
                  % (request, request), "crossed answer " + str(answer))
    print("%d answers, %d done, %d requests started"
          % (len(cell.answers), done, len(starts)))
    return done


def scenario(cell, catalogue):
    cell.start(1)
    cell.start(2)
    cell.apply(catalogue)
    cell.wait_ready(1)
    cell.wait_ready(2)
    cell.flood("calm", (1, 2), 10)
    check(judge(cell) > 0, "nothing was done")

    print("lost replies of the table")
    cell.fault(lose_replies=True)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        flood = pool.submit(cell.flood, "lost", (1, 2), 4)
        time.sleep(2)
        cell.fault()
        flood.result()
    judge(cell)

    print("e2 paused beyond its terms, with work on its way")
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        flood = pool.submit(cell.flood, "paused", (1, 2), 6)
        time.sleep(0.05)
        cell.processes[2].send_signal(signal.SIGSTOP)
        time.sleep(4)
        cell.processes[2].send_signal(signal.SIGCONT)
        flood.result()
    judge(cell)

    print("e2 killed, with work on its way; a target fails everything")
    cell.target(0, "fail")
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        flood = pool.submit(cell.flood, "killed", (1, 2), 6)
        time.sleep(0.05)
        cell.processes[2].send_signal(signal.SIGKILL)
        flood.result()
    cell.processes[2].wait()
    cell.target(0, "heal")
    judge(cell)

    print("e2 started again")
    cell.start(2)
    cell.wait_ready(2)
    before = judge(cell)
    cell.flood("again", (1, 2), 4)
    check(judge(cell) > before, "nothing was done after the restart")

    print("e1 stopped gracefully, with work on its way")
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        flood = pool.submit(cell.flood, "stopped", (1,), 6)
        time.sleep(0.05)
        cell.processes[1].send_signal(signal.SIGHUP)
        cell.processes[1].send_signal(signal.SIGTERM)
        flood.result()
    check(cell.processes[1].wait(LIMIT_S) == 0, "e1 did not exit with 0")
    judge(cell)


def main():
    program, standin, catalogue = sys.argv[1:]
    with open(catalogue, encoding="utf-8") as file:
        document = json.load(file)
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(program, standin, folder)
        try:
            scenario(cell, document)
        except AssertionError as error:
            print("FAILED: %s" % error)
            for number in (1, 2):
                path = os.path.join(folder, "e%d.log" % number)
                if os.path.exists(path):
                    with open(path, encoding="utf-8") as file:
                        print("".join(file.readlines()[-25:]))
            sys.exit(1)
        finally:
            cell.stop_all()


main()
