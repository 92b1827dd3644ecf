"""Plays days of a site with several checkouts by turns, and compares them.

One day played twice on the same code differs by more than most changes are
worth, so a figure is a mean of several plays, and two checkouts are played
alternately, under the same load of the machine.

Usage:
    python -m bench.days play SITE CHECKOUT... --bench PATH --out FOLDER
    python -m bench.days show FOLDER
"""

import concurrent.futures
import itertools
import json
import pathlib
import statistics
import subprocess

import defopt
import matplotlib
import msgspec
import numpy as np

matplotlib.use("Agg")
import matplotlib.pyplot as plt

_DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
# A play takes about a minute; a machine that is very busy takes ten times so.
_PLAY_SECONDS = 900
_SHUFFLES = 20_000
# Two checkouts differ if chance alone brings such a difference more rarely.
_CHANCE = 0.05
_RESULTS = "plays.jsonl"


class Play(msgspec.Struct, frozen=True):
    """One day as it was played once.

    Attributes:
        label: Name of the checkout.
        commit: Its commit.
        day: Name of the day.
        seed: Seed that was asked for, or None for the day's own.
        worth: The bench's figure for the day; 0 if a rule was broken.
        broken: Rules that were broken.
        parts: Credit by part of the goal.
        prices: What each price took off.
    """

    label: str
    commit: str
    day: str
    seed: int | None
    worth: float
    broken: list[str]
    parts: dict[str, float]
    prices: dict[str, float]


class Verdict(msgspec.Struct, frozen=True):
    """How two sets of plays differ.

    Attributes:
        difference: Mean of the second less mean of the first.
        chance: How often shuffled plays differ as much.
    """

    difference: float
    chance: float

    @property
    def stands_out(self) -> bool:
        """Whether the difference is more than chance."""
        return self.chance < _CHANCE


def read_report(
    report: dict, label: str, commit: str, day: str, seed: int | None
) -> Play:
    """Returns what a bench's report says of one day."""
    return Play(
        label,
        commit,
        day,
        seed,
        report["G"],
        sorted(report["breaks"]),
        {name: value for name, _, value in report["parts"]},
        {name: cost for name, _, cost in report["prices"] if cost},
    )


def compare(first: list[Play], second: list[Play]) -> Verdict:
    """Compares plays of the same days by shuffling labels within each day."""
    rng = np.random.default_rng(1)
    observed = 0.0
    shuffled = np.zeros(_SHUFFLES)
    days = sorted({p.day for p in first} & {p.day for p in second})
    for day in days:
        one = [play.worth for play in first if play.day == day]
        two = [play.worth for play in second if play.day == day]
        observed += (statistics.mean(two) - statistics.mean(one)) / len(days)
        both = np.array(one + two)
        order = rng.permuted(np.tile(both, (_SHUFFLES, 1)), axis=1)
        means = order[:, len(one) :].mean(axis=1)
        means -= order[:, : len(one)].mean(axis=1)
        shuffled += means / len(days)
    as_much = np.abs(shuffled) >= abs(observed) - 1e-12
    return Verdict(observed, float(as_much.mean()))


def table(plays: list[Play]) -> str:
    """Returns a table of means and spreads by day, a column a checkout."""
    labels = list(dict.fromkeys(play.label for play in plays))
    days = sorted({play.day for play in plays})
    head = ["day", *labels]
    rows = [head, ["---"] * len(head)]
    for day in days:
        cells = [
            _cell([p for p in plays if (p.day, p.label) == (day, label)])
            for label in labels
        ]
        rows.append([day, *cells])
    rows.append(["mean of days", *(_mean(plays, label) for label in labels)])
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def _cell(plays: list[Play]) -> str:
    if not plays:
        return ""
    worth = [play.worth for play in plays]
    broken = sorted({rule for play in plays for rule in play.broken})
    spread = statistics.pstdev(worth)
    text = f"{statistics.mean(worth):.3f} ± {spread:.3f}"
    text += f" ({min(worth):.3f} to {max(worth):.3f}, {len(worth)})"
    return text + f" BROKEN {' '.join(broken)}" if broken else text


def _mean(plays: list[Play], label: str) -> str:
    mine = [play for play in plays if play.label == label]
    days = itertools.groupby(
        sorted(mine, key=lambda play: play.day), key=lambda play: play.day
    )
    means = [statistics.mean(p.worth for p in each) for _, each in days]
    return f"{statistics.mean(means):.4f}"


def draw(plays: list[Play], path: pathlib.Path) -> None:
    """Draws every play, by day and checkout."""
    labels = list(dict.fromkeys(play.label for play in plays))
    days = sorted({play.day for play in plays})
    figure, axes = plt.subplots(figsize=(1.6 * len(days) + 2, 4))
    for index, label in enumerate(labels):
        mine = [play for play in plays if play.label == label]
        shift = 0.15 * (index - (len(labels) - 1) / 2)
        at = [days.index(play.day) + shift for play in mine]
        axes.plot(at, [play.worth for play in mine], "o", label=label)
    axes.set_xticks(range(len(days)), days)
    axes.set_ylabel("worth")
    axes.grid(axis="y", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def play(
    site: pathlib.Path,
    *checkouts: pathlib.Path,
    bench: pathlib.Path,
    out: pathlib.Path,
    days: list[str] = list(_DAYS),  # noqa: B006
    plays: int = 5,
    seeds: list[int] = [],  # noqa: B006
    jobs: int = 4,
    why: str = "compare checkouts",
) -> None:
    """Plays days with each checkout by turns; keeps logs and reports.

    The bench writes a journal entry for each play into the checkout.

    Args:
        site: Site file.
        checkouts: Folders of the checkouts, committed and built.
        bench: The bench's program.
        out: Where logs, reports and results go.
        days: Names of days.
        plays: How often each day is played.
        seeds: Seeds instead of the days' own, each played so often.
        jobs: Plays at a time.
        why: For the bench's journal.
    """
    out.mkdir(parents=True, exist_ok=True)
    turns = itertools.product(range(plays), seeds or [None], days, checkouts)

    def run(turn: tuple[int, int | None, str, pathlib.Path]) -> Play | None:
        number, seed, day, checkout = turn
        return _run(site, checkout, bench, out, day, number, seed, why)

    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for done in pool.map(run, turns):
            if done is not None:
                with (out / _RESULTS).open("ab") as file:
                    file.write(msgspec.json.encode(done) + b"\n")
    show(out)


def _run(
    site: pathlib.Path,
    checkout: pathlib.Path,
    bench: pathlib.Path,
    out: pathlib.Path,
    day: str,
    number: int,
    seed: int | None,
    why: str,
) -> Play | None:
    """Plays one day once; None if the bench gave no report."""
    label = checkout.resolve().name
    name = f"{site.stem}.{day}.{seed or 'own'}.{number}.{label}"
    report = out.resolve() / f"{name}.report"
    command = [str(bench.resolve()), "run", str(site.resolve()), day]
    command += ["--log", "all", "--report", str(report), "--why", why]
    command += ["--seed", str(seed)] if seed else []
    with (out / f"{name}.log").open("wb") as log:
        subprocess.run(
            command,
            cwd=checkout,
            stdout=log,
            stderr=subprocess.STDOUT,
            timeout=_PLAY_SECONDS,
            check=False,
        )
    if not report.exists():
        print(f"{name}: no report, see its log", flush=True)
        return None
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=checkout,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    said = json.loads(report.read_text(encoding="utf-8"))
    return read_report(said, label, commit, day, seed)


def show(folder: pathlib.Path) -> None:
    """Prints the table of a folder's plays and draws them.

    Args:
        folder: Where ``play`` has put its results.
    """
    lines = (folder / _RESULTS).read_bytes().splitlines()
    plays = [msgspec.json.decode(line, type=Play) for line in lines]
    print(table(plays))
    labels = list(dict.fromkeys(each.label for each in plays))
    for one, two in itertools.pairwise(labels):
        verdict = compare(
            [p for p in plays if p.label == one],
            [p for p in plays if p.label == two],
        )
        says = "stands out" if verdict.stands_out else "may be chance"
        print(
            f"{two} less {one}: {verdict.difference:+.4f},"
            f" chance {verdict.chance:.3f}: {says}"
        )
    draw(plays, folder / "plays.png")


if __name__ == "__main__":
    defopt.run([play, show])
