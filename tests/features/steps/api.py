"""Steps that walk through docs/API.md with the standard library's HTTP."""

import http.client
import json
import math
import pathlib
import re
import shlex
import urllib.parse

import msgspec
from behave import given, then, when
from scripts.demo import layout

from rattanmill_core import Reason, refuse
from support import Stack

_PAGE = pathlib.Path("docs/API.md")
_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
_ASSIGNED = re.compile(r"^([A-Z]+)=(.*)$", re.DOTALL)
_CAPTURED = re.compile(r"^\$\((.*?) \| python3 -c '.*\[\"(\w+)\"\].*'\)$")
_ROW = re.compile(r"^\| `(\w+)` \| (\d+) \| (\w+) \| (\d*) ?\| .+ \|$")


class Example(msgspec.Struct):
    """One command of the page and what stands behind it."""

    command: str
    status: int
    words: list[str]


class Walk:
    """Runs commands as a shell and curl would."""

    def __init__(self, system) -> None:
        self.system = system
        self.values = {}
        self.count = 0
        self.wrong = []

    def run(self, line):
        """Runs an assignment or a curl command."""
        command, _, behind = line.partition("  # ")
        assigned = _ASSIGNED.match(command)
        if assigned and not assigned[2].startswith("$("):
            self.values[assigned[1]] = self.address(assigned[2])
            return
        captured = _CAPTURED.match(assigned[2]) if assigned else None
        status, *words = behind.split()
        body = self.curl(
            Example(captured[1] if captured else command, int(status), words)
        )
        if captured:
            self.values[assigned[1]] = json.loads(body)[captured[2]]

    def address(self, url):
        """Returns where the instance of the page's address listens here."""
        host = urllib.parse.urlsplit(url).hostname
        found = [
            i.http for i in self.system.instances if i.http.startswith(host)
        ]
        return f"http://{found[0]}"

    def curl(self, example):
        """Runs one curl command and checks its answer."""
        # Single quotes keep a shell from filling in values.
        parts = re.split(r"('[^']*')", example.command)
        filled = "".join(
            p if p.startswith("'") else re.sub(r"\$([A-Z]+)", self.value, p)
            for p in parts
        )
        method, url, headers, data = parse_curl(shlex.split(filled))
        target = urllib.parse.urlsplit(url)
        connection = http.client.HTTPConnection(target.netloc, timeout=30)
        connection.request(method, target.path, data, headers)
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
        seen = f"{answer.getheaders()} {body.decode()}"
        self.count += 1
        missing = [word for word in example.words if word not in seen]
        if answer.status != example.status or missing:
            self.wrong.append((example.command, answer.status, seen[:500]))
        return body

    def value(self, match):
        """Returns the value of a shell variable."""
        return self.values[match[1]]


def parse_curl(words):
    """Returns method, URL, headers and body of a curl command."""
    assert words[0] == "curl", words
    method, url, headers, data = "", "", {}, None
    rest = iter(words[1:])
    for word in rest:
        match word:
            case "-s" | "-N":
                continue
            case "-X":
                method = next(rest)
            case "-H":
                name, value = next(rest).split(": ", 1)
                headers[name] = value
            case "-d":
                data = next(rest).encode()
            case _:
                assert word.startswith("http://"), word
                url = word
    return method or ("GET" if data is None else "POST"), url, headers, data


@given('the system that "make up" starts')
def step_up_layout(context):
    context.system = context.feature_stack.enter_context(Stack(layout()))


@when("the examples of docs/API.md are run one after another")
def step_walk(context):
    context.walk = Walk(context.system)
    for block in _BLOCK.findall(_PAGE.read_text(encoding="utf-8")):
        for line in block.strip().splitlines():
            context.walk.run(line)


@then("each has the status that stands behind it")
def step_all_right(context):
    assert not context.walk.wrong, context.walk.wrong


@then("there are at least {count:d} examples")
def step_examples(context, count):
    assert context.walk.count >= count, context.walk.count


@when("the table of refusals in docs/API.md is read")
def step_read_table(context):
    lines = _PAGE.read_text(encoding="utf-8").splitlines()
    found = [_ROW.match(line) for line in lines]
    context.table_rows = {m[1]: m.groups()[1:] for m in found if m}


@then("it has status, ran and Retry-After of every reason")
def step_table(context):
    expected = {}
    for reason in Reason:
        refusal = refuse(reason, "")
        after = refusal.retry_after
        text = "" if after is None else str(math.ceil(after))
        expected[str(reason)] = (str(refusal.status), str(refusal.ran), text)
    assert context.table_rows == expected, (
        context.table_rows.items() ^ expected.items()
    )
