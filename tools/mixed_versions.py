#!/usr/bin/env python3
"""Checks that processes of two builds of `rainlug` serve together: replaces a store and a gateway of a small tier while it is in use.

    mixed_versions.py OLD NEW [--dir FOLDER] [--base-port PORT]

OLD founds a tier of three gateways, three stores and three workers (`rainlug local`), all at loopback addresses, and its processes are
started from the settings files that it wrote. While clients ask and batch jobs run, one store and then one gateway are ended in order
and started again as NEW, with the same settings and data. Exit code 0 where all holds:

- every request of the live clients is answered, at the first gateway or at another one;
- all batch jobs complete, each item once, those of before, between and after the replacements;
- they are all there still once another store, of OLD, has ended: what is left needs the NEW one's state;
- the listings of both programs answer at each gateway, and name all processes;
- the configuration that was put before is there, to the byte; a new one is accepted from each program and read from the other.
"""
import argparse
import http.client
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HOST = "local.example"  # of the configuration that `rainlug local` puts
ROOT = pathlib.Path(__file__).resolve().parent.parent
CONFIGURATION = ROOT / "deploy/local/configuration.json"
COUNTS = {"gateways": 3, "stores": 3, "workers": 3}
ITEMS = 40  # of one batch job
UP_S = 40  # within which a tier, and a process that was replaced, must serve
ANSWER_S = 6  # within which a live request must be answered, by any gateway
JOBS_S = 90  # within which all batch jobs must be complete
LISTINGS = ["members", "workers", "parts", "stores", "figures"]


class Tier:
    """The processes, each of a program of its own."""

    def __init__(self, folder, base_port):
        self.folder, self.base_port = folder, base_port
        self.processes = {}
        self.settings = {}

    def found(self, program):
        """Lets `rainlug local` write settings and put the first configuration, and ends it again."""
        counts = [word for name, count in COUNTS.items() for word in (f"--{name}", str(count))]
        command = [program, "local", "--dir", self.folder, "--base-port", str(self.base_port), *counts]
        local = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        try:
            is_up = any(line.startswith("Ctrl-C ends") for line in local.stdout)
        finally:
            local.send_signal(signal.SIGINT)
            local.communicate(timeout=UP_S)
        if not is_up:
            sys.exit("mixed_versions: `rainlug local` of OLD did not come up")
        for path in sorted((self.folder / "settings").glob("*.toml")):
            self.settings[path.stem] = tomllib.loads(path.read_text())

    def fronts(self):
        return [self.settings[f"gateway-{n + 1}"]["listen"]["front"] for n in range(COUNTS["gateways"])]

    def controls(self):
        return [self.settings[f"gateway-{n + 1}"]["listen"]["control"] for n in range(COUNTS["gateways"])]

    def start(self, program, name):
        role = name.split("-")[0]
        if role == "worker":
            at = f"127.0.0.{100 + int(name.split('-')[1])}:{self.base_port + 3}"
            arguments = ["--name", name, "--service", "model", "--at", at]
            arguments += [word for control in self.controls() for word in ("--control", control)]
        else:
            arguments = ["--settings", self.folder / "settings" / f"{name}.toml"]
        # Tied: it ends by itself should this script be killed.
        log = open(self.folder / "logs" / f"{name}.log", "a")
        command = [program, role, *arguments, "--tied"]
        self.processes[name] = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=log, stderr=log)

    def start_all(self, program):
        for name in [*self.settings, *(f"worker-{n + 1}" for n in range(COUNTS["workers"]))]:
            self.start(program, name)

    def replace(self, program, name):
        """Ends a process in order, and starts it again as another program."""
        self.end(name)
        self.start(program, name)

    def end(self, name):
        process = self.processes.pop(name)
        process.terminate()
        try:
            process.wait(20)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def end_all(self):
        for name in sorted(self.processes, reverse=True):  # workers, stores, gateways
            self.end(name)

    def dead(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]


def call(at, method, path, headers, body=b""):
    """One request: status and body; status 0 where there is no answer."""
    connection = http.client.HTTPConnection(at, timeout=ANSWER_S)
    try:
        connection.request(method, path, body, {"Host": HOST, **headers})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class LiveClient(threading.Thread):
    """Sends one request after the other at its gateway, and again at the next one where that does not answer, as clients do."""

    def __init__(self, number, fronts):
        super().__init__(daemon=True)
        self.number, self.fronts = number, fronts[number:] + fronts[:number]
        self.answered, self.elsewhere, self.unanswered, self.slowest = 0, 0, [], 0.0
        self.is_over = threading.Event()

    def run(self):
        count = 0
        while not self.is_over.wait(0.02):
            count += 1
            self.ask(f"live-{self.number}-{count}")

    def ask(self, request):
        begun, tries, status = time.monotonic(), 0, 0
        while time.monotonic() < begun + ANSWER_S:
            front = self.fronts[tries % len(self.fronts)]
            status, _ = call(front, "GET", "/ask/me", {"X-Rainlug-Attempt-Id": f"{request}-{tries}"})
            tries += 1
            if status == 200:
                self.answered += 1
                self.elsewhere += tries > 1
                self.slowest = max(self.slowest, time.monotonic() - begun)
                return
            time.sleep(0.05)
        self.unanswered.append((request, status))


class Check:
    """What was seen, a line for each thing; and whether all of it holds."""

    def __init__(self):
        self.begun, self.failures = time.monotonic(), []

    def saw(self, holds, what):
        print(f"{time.monotonic() - self.begun:6.1f} s  {'ok    ' if holds else 'FAILED'}  {what}", flush=True)
        if not holds:
            self.failures.append(what)


def until(what, seconds):
    """Asks again until it is so; whether it came to be."""
    end = time.monotonic() + seconds
    while not what():
        if time.monotonic() > end:
            return False
        time.sleep(0.2)
    return True


def operator(program, at, *arguments):
    """A subcommand: its output; none where it failed."""
    done = subprocess.run([program, *map(str, arguments), "--at", at], capture_output=True, text=True, timeout=120)
    return done.stdout if done.returncode == 0 else None


def standing(program, at):
    """How each process stands by the list of members at a gateway."""
    told = operator(program, at, "members", "--json")
    return {m["name"]: m["standing"] for m in json.loads(told)["members"]} if told else {}


def is_whole(program, tier):
    """Whether each gateway sees all processes alive, all workers ready, and every part led."""
    for at in tier.controls():
        members, told = standing(program, at), operator(program, at, "workers", "--json")
        ready = [w for w in json.loads(told)["workers"] if w["phase"] == "ready"] if told else []
        if set(members) != set(tier.settings) or set(members.values()) != {"alive"} or len(ready) < COUNTS["workers"]:
            return False
    return all(call(front, "GET", "/v1/lots/none", {})[0] == 404 for front in tier.fronts())


def submit(check, tier, name):
    """Hands in a batch job at any gateway; each item takes a worker a second or two."""
    headers = {"X-Rainlug-Model": "m", "X-Rainlug-Token-Count": "300,80"}
    item = {"path": "/batch/x", "headers": headers, "body": "aGVsbG8=", "token_count": 380}
    body = json.dumps({"requests": [{"id": f"{name}-item-{n}", **item} for n in range(ITEMS)]}).encode()
    headers = {"X-Rainlug-Attempt-Id": name, "Content-Type": "application/json"}
    taken = lambda: any(call(at, "POST", f"/batch/{name}", headers, body)[0] == 202 for at in tier.fronts())
    check.saw(until(taken, UP_S), f"batch job {name} of {ITEMS} items is taken")
    return name


def check_jobs(check, program, tier, jobs):
    for number, name in enumerate(jobs):
        front = tier.fronts()[number % COUNTS["gateways"]]
        told = operator(program, front, "lot", name, "--host", HOST, "--wait-s", JOBS_S, "--json")
        outputs = json.loads(told)["outputs"] if told else []
        ids = sorted(output["id"] for output in outputs)
        complete = sum(output["state"] == "complete" for output in outputs)
        holds = complete == ITEMS and ids == sorted(f"{name}-item-{n}" for n in range(ITEMS))
        check.saw(holds, f"{name}: {len(ids)} results, {len(set(ids))} items, {complete} complete, at {front}")


def check_listings(check, programs, tier):
    for label, program in programs.items():
        for at in tier.controls():
            answers = {what: operator(program, at, what, "--json") for what in LISTINGS}
            plain = all((operator(program, at, what) or "").count("\n") >= 2 for what in LISTINGS)
            holds = plain and all(told and json.loads(told) for told in answers.values())
            check.saw(holds, f"listings by {label} at {at}: {', '.join(LISTINGS)}")


def check_configuration(check, programs, tier, version, label, at, reader, read_at):
    """Puts a version by one program, and reads it by the other one elsewhere."""
    text = CONFIGURATION.read_text().replace('"version": 1', f'"version": {version}')
    file = tier.folder / f"configuration-{version}.json"
    file.write_text(text)
    put = operator(programs[label], at, "configuration", "put", file)
    check.saw(put is not None, f"configuration {version} is put by {label} at {at}")
    read = lambda: operator(programs[reader], read_at, "configuration", "get") == text
    check.saw(until(read, 10), f"configuration {version} is read by {reader} at {read_at}")


def check_state_of_new_store(check, program, tier, jobs):
    """Ends an OLD store: of each part's three members the two that are left must both have the state, and agree on more."""
    tier.end("store-3")
    jobs = [*jobs, submit(check, tier, "without-store-3")]
    check.saw(True, "store-3, of OLD, has ended; all batch jobs are read again")
    check_jobs(check, program, tier, jobs)


def run(check, programs, tier):
    old, new = programs["OLD"], programs["NEW"]
    tier.found(old)
    tier.start_all(old)
    check.saw(until(lambda: is_whole(old, tier), UP_S), "OLD serves: all processes alive, all workers ready")
    controls, text = tier.controls(), CONFIGURATION.read_text()
    clients = [LiveClient(n, tier.fronts()) for n in range(len(tier.fronts()))]
    for client in clients:
        client.start()
    jobs = [submit(check, tier, f"before-{n}") for n in range(3)]

    for name in ["store-2", "gateway-2"]:
        tier.replace(new, name)
        jobs.append(submit(check, tier, f"with-{name}-away"))
        check.saw(until(lambda: is_whole(new, tier), UP_S), f"{name} is NEW, and all are alive again")
        kept = [operator(new, at, "configuration", "get") == text for at in controls]
        check.saw(all(kept), "the configuration of before is there, at each gateway")
        jobs.append(submit(check, tier, f"after-{name}"))

    check_listings(check, programs, tier)
    check_configuration(check, programs, tier, 2, "NEW", controls[1], "OLD", controls[0])
    check_configuration(check, programs, tier, 3, "OLD", controls[2], "NEW", controls[1])
    check_jobs(check, new, tier, jobs)
    check_state_of_new_store(check, new, tier, jobs)
    for client in clients:
        client.is_over.set()
        client.join()
        holds = client.answered > 0 and not client.unanswered
        check.saw(holds, f"live client {client.number}: {client.answered} requests answered, {client.elsewhere} of them not at "
                  f"the first try, slowest {client.slowest:.2f} s, unanswered {client.unanswered[:5]}")
    check.saw(not tier.dead(), f"processes that ended by themselves: {tier.dead()}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old", type=pathlib.Path)
    parser.add_argument("new", type=pathlib.Path)
    parser.add_argument("--dir", type=pathlib.Path, help="kept afterwards; by default a folder that is removed if all holds")
    parser.add_argument("--base-port", type=int, default=9100)
    options = parser.parse_args()
    programs = {"OLD": options.old.resolve(), "NEW": options.new.resolve()}
    folder = (options.dir or pathlib.Path(tempfile.mkdtemp(prefix="mixed-versions-"))).resolve()
    check, tier = Check(), Tier(folder, options.base_port)
    try:
        run(check, programs, tier)
    finally:
        tier.end_all()
    if check.failures:
        print(f"{len(check.failures)} things do not hold; settings, data and logs: {folder}")
        return 1
    if not options.dir:
        shutil.rmtree(folder)
    print("all holds")
    return 0


if __name__ == "__main__":
    sys.exit(main())
