#!/usr/bin/env python3
"""Counts across a fleet what traced dispatchers did: one log file for each, made with RAINLUG_TRACE set.

    tools/fleet_count.py LOGS [--from S] [--to S] [--every MS] [--workers N]

Prints what became of the tasks and why, then a line for each stretch of time, then the busiest workers. Times are
seconds after the first event of any dispatcher. docs/on-call.md tells how the figures are read.
"""

import argparse
import collections
import pathlib
import sys


def events(folder):
    """Each event as (time, dispatcher, words), in the order of time."""
    found = []
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            at = line.find(" @")
            words = line[at + 2 :].split() if at >= 0 else []
            if len(words) > 1 and words[0].isdigit():
                found.append((int(words[0]), path.stem, words[1:]))
    return sorted(found, key=lambda e: e[0])


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs")
    parser.add_argument("--from", dest="since", type=float, default=0.0)
    parser.add_argument("--to", dest="until", type=float, default=1e9)
    parser.add_argument("--every", type=int, default=1000, help="length of a stretch, ms")
    parser.add_argument("--workers", type=int, default=10, help="how many workers to show")
    args = parser.parse_args()
    all_events = events(args.logs)
    if not all_events:
        sys.exit(f"{args.logs}: no events; were the dispatchers started with RAINLUG_TRACE set?")
    began = all_events[0][0]

    tasks, at_worker = {}, collections.defaultdict(collections.Counter)
    stretches = collections.defaultdict(collections.Counter)
    held = {}
    reached = set()
    for time, who, words in all_events:
        second = (time - began) / 1e6
        counts = stretches[int(second * 1000) // args.every]
        kind, rest = words[0], words[1:]
        key = (who, rest[0]) if rest else None
        if kind == "task":
            tasks[key] = {"load": rest[1], "at": second, "ways": {}, "answer": "none", "done": None}
            counts["tasks"] += 1
        elif kind == "assign" and key in tasks:
            ways = tasks[key]["ways"]
            out = sum(1 for w in ways.values() if w["end"] is None)
            role = "first" if not ways else "copies" if out else "again"
            ways[rest[1]] = {"worker": rest[2], "end": None}
            counts[role] += 1
            at_worker[rest[2]][role] += 1
        elif kind == "end" and key in tasks and rest[1] in tasks[key]["ways"]:
            way = tasks[key]["ways"][rest[1]]
            way["end"] = rest[2]
            counts["end " + rest[2]] += 1
            at_worker[way["worker"]]["end " + rest[2]] += 1
            reached.add((who, way["worker"]))
        elif kind == "answer" and key in tasks:
            tasks[key].update(answer=rest[1], done=second)
            counts[rest[1]] += 1
        elif kind in ("dial", "undialled", "probe", "list"):
            counts[kind if kind != "list" else "list " + rest[0]] += 1
            if kind == "dial":
                at_worker["at " + rest[0]]["dial"] += 1
        elif kind == "standing":
            held[who] = dict(w.split("=", 1) for w in rest)
            for name in ("barred", "cold", "ill", "gone"):
                now = [len(h.get(name, "").split(",")) for h in held.values() if h.get(name)]
                counts["now " + name] = sum(now)

    inside = lambda t: args.since <= t["at"] < args.until
    fates = collections.defaultdict(collections.Counter)
    for task in filter(inside, tasks.values()):
        ends = [w["end"] or "out" for w in task["ways"].values()]
        held_for = "" if ends or task["done"] is None else f" after {task['done'] - task['at']:.1f} s"
        fates[task["load"]][task["answer"] + ": " + (" ".join(ends) or "never sent") + held_for] += 1
    for load, counts in sorted(fates.items()):
        total = sum(counts.values())
        print(f"workload {load}: {total} tasks")
        for fate, n in counts.most_common(14):
            print(f"  {n:6} {100 * n / total:5.1f}%  {fate}")

    names = sorted({n for c in stretches.values() for n in c})
    print("  from " + " ".join(f"{n.replace(' ', '-'):>{max(6, len(n))}}" for n in names))
    for turn, counts in sorted(stretches.items()):
        since = turn * args.every / 1000
        if args.since <= since < args.until:
            print(f"{since:6.1f} " + " ".join(f"{counts[n]:>{max(6, len(n))}}" for n in names))

    errors = lambda c: sum(n for k, n in c.items() if k.startswith("end ") and k != "end Done")
    print("workers with the most ends that were not Done:")
    for worker, counts in sorted(at_worker.items(), key=lambda w: -errors(w[1]))[: args.workers]:
        reach = sum(1 for (_, w) in reached if w == worker)
        said = ", ".join(f"{k} {n}" for k, n in sorted(counts.items()))
        print(f"  {worker} (heard by {reach}): {said}")


if __name__ == "__main__":
    main()
