#!/usr/bin/env python3
"""Plays days of a deployment with several builds in pairs: the same day and seed with each, and the differences between them.

    experiment.py --bench FLEETBENCH --site SITE.toml [--days A,B] [--seeds 1,2] [--jobs N] [--no-cpu] [--why TEXT] \
        --out FOLDER ARM=CHECKOUT [ARM=CHECKOUT]...

Each ARM is a checkout with its own `target` folder; the first one is what the others are compared with. A seed of 0 is the day's own.
FOLDER gets a report for each play, `plays.csv` with a row for each, and `table.md`: for each day and arm the mean of the worth and of
its parts, and the mean difference to the first arm with its standard error. Journal entries stay in the checkouts.
"""
import argparse
import concurrent.futures
import csv
import json
import math
import pathlib
import statistics
import subprocess
import sys

PARTS = ["whole day", "worst windows", "worst class", "worst zone", "nines"]
COLUMNS = ["arm", "day", "seed", "worth", *PARTS, "prices", "unserved", "broken"]


def options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--site", type=pathlib.Path, required=True)
    parser.add_argument("--days", default="quiet-1")
    parser.add_argument("--seeds", default="0")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--why", default="experiment")
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("arms", nargs="+", metavar="ARM=CHECKOUT")
    return parser.parse_args()


def play(chosen, arm, checkout, day, seed):
    """One play; its row, or None where it did not end."""
    name = pathlib.Path(day).stem
    report = chosen.out.resolve() / f"{arm}-{name}-{seed}.json"
    command = [chosen.bench.resolve(), "run", chosen.site.resolve(), day, "--jobs", "1", "--report", report]
    command += ["--why", f"{chosen.why}: {arm}"[:119]]
    command += ["--seed", str(seed)] if seed else []
    command += ["--no-cpu"] if chosen.no_cpu else []
    played = subprocess.run(list(map(str, command)), cwd=checkout, capture_output=True, text=True)
    if not report.exists():
        print(f"{arm} {name} {seed} did not end: {played.stdout[-300:]}{played.stderr[-300:]}", file=sys.stderr)
        return None
    told = json.loads(report.read_text())
    parts = {name: value for name, _, value in told["parts"]}
    prices = sum(price for _, _, price in told["prices"])
    broken = " ".join(sorted(told["breaks"])) + (f" fault:{told['fault']}" if told["fault"] else "")
    row = {"arm": arm, "day": name, "seed": seed, "worth": told["G"], "prices": round(prices, 4)}
    row |= {part: parts.get(part, "") for part in PARTS}
    return row | {"unserved": told["unserved"], "broken": broken.strip()}


def difference(rows, base, arm, day, column):
    """The mean difference of an arm to the base over pairs of one day and seed, its standard error, and the number of pairs."""
    value = {(row["arm"], row["day"], row["seed"]): row[column] for row in rows if row[column] != ""}
    keys = {(d, s) for a, d, s in value if a == arm and (day is None or d == day)}
    pairs = [value[arm, d, s] - value[base, d, s] for d, s in sorted(keys) if (base, d, s) in value]
    if not pairs:
        return None
    error = statistics.stdev(pairs) / math.sqrt(len(pairs)) if len(pairs) > 1 else float("nan")
    return statistics.mean(pairs), error, len(pairs)


def table(rows, arms, days):
    base = arms[0]
    columns = ["worth", *[part for part in PARTS if any(row[part] != "" for row in rows)], "prices", "unserved"]
    lines = ["| day | arm | n | " + " | ".join(columns) + " | broken |", "|" + " --- |" * (len(columns) + 4)]
    for day in [*days, None]:
        for arm in arms:
            mine = [row for row in rows if row["arm"] == arm and (day is None or row["day"] == day)]
            if not mine:
                continue
            cells = []
            for column in columns:
                told = [row[column] for row in mine if row[column] != ""]
                cell = f"{statistics.mean(told):.4f}" if told else ""
                apart = difference(rows, base, arm, day, column) if arm != base else None
                cells.append(f"{cell} ({apart[0]:+.4f} ± {apart[1]:.4f})" if apart else cell)
            broken = sum(1 for row in mine if row["broken"])
            lines.append(f"| {day or 'all'} | {arm} | {len(mine)} | " + " | ".join(cells) + f" | {broken} |")
    return "\n".join(lines) + "\n"


def main():
    chosen = options()
    chosen.out.mkdir(parents=True, exist_ok=True)
    arms = dict(arm.split("=", 1) for arm in chosen.arms)
    days, seeds = chosen.days.split(","), [int(seed) for seed in chosen.seeds.split(",")]
    # The arms of a pair are played next to one another, so that both find the machine alike.
    plays = [(arm, checkout, day, seed) for day in days for seed in seeds for arm, checkout in arms.items()]
    with concurrent.futures.ThreadPoolExecutor(chosen.jobs) as pool:
        rows = [row for row in pool.map(lambda one: play(chosen, *one), plays) if row]
    with open(chosen.out / "plays.csv", "w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)
    text = table(rows, list(arms), [pathlib.Path(day).stem for day in days])
    (chosen.out / "table.md").write_text(text)
    print(text)
    sys.exit(any(row["broken"] for row in rows))


if __name__ == "__main__":
    main()
