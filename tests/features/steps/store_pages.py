"""Steps about lists in pages, with a watch in virtual time."""

import asyncio
import base64
import itertools
import json
import urllib.parse

from behave import given, then, when
from rattanmill_site.store import SiteStore

from rattanmill_platform import PrefixWatch, Reply, Unavailable
from support.virtual import run_virtually

_PREFIX = "servers/"
_WAIT_SECONDS = 2.5
# More than any list may have.
_MANY_PAGES = 1000
_FAULTS = (
    "announces a page that is empty",
    "repeats its first page once",
    "ends within its second page",
    "has an error for its second page",
)


class PagedCalls:
    """Replies to the calls of a store's client.

    Attributes:
        items: Value and revision by key.
        removed: Revision at which a key was removed, by key.
        oldest: Revision from which on the history is available.
        fault: Fault of the second page of the next list, or empty.
        change: Called before the second page of the next list, if any.

    Args:
        count: Number of entries.
        page_size: Entries a page.
    """

    def __init__(self, count, page_size):
        self.page_size = page_size
        self.revision = count
        self.items = {
            f"{_PREFIX}{number}": (b"old", number + 1)
            for number in range(count)
        }
        self.removed = {}
        self.oldest = 0
        self.fault = ""
        self.change = None
        self.changed = asyncio.Event()

    async def call(self, kind, method, path, data=None, **how):
        """Replies to a list or a watch."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        if kind == "watch":
            return await self._watch(int(query["after"][0]))
        return self._list(query.get("after", [""])[0])

    def write(self, key, value):
        """Changes an entry, or removes it if the value is None."""
        self.revision += 1
        if value is None:
            del self.items[key]
            self.removed[key] = self.revision
        else:
            self.items[key] = (value, self.revision)
        self.changed.set()

    def lose_history(self):
        """Lets the watch that waits end with a lost history."""
        self.revision += 1
        self.oldest = self.revision
        self.changed.set()

    def _list(self, after):
        if after and self.change:
            self.change()
            self.change = None
        keys = sorted(key for key in self.items if key > after)
        page = keys[: self.page_size]
        body = self._encode("items", page, truncated=len(keys) > self.page_size)
        fault, self.fault = self.fault if after else "", self.fault
        if not fault:
            return Reply(200, body, 0)
        self.fault = ""
        match _FAULTS.index(fault):
            case 0:
                body = self._encode("items", [], truncated=True)
            case 1:
                page = sorted(self.items)[: self.page_size]
                body = self._encode("items", page, truncated=False)
            case 2:
                body = body[: len(body) // 2]
            case 3:
                return Reply(404, body, 0)
        return Reply(200, body, 0)

    async def _watch(self, after):
        if after >= self.revision:
            self.changed.clear()
            try:
                async with asyncio.timeout(_WAIT_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if after < self.oldest:
            return Reply(410, b"", 0)
        newer = [key for key, (_, at) in self.items.items() if at > after]
        newer += [key for key, at in self.removed.items() if at > after]
        return Reply(200, self._encode("events", newer), 0)

    def _encode(self, field, keys, **more):
        body = {
            field: list(map(self._entry, keys)),
            "current_rev": self.revision,
            **more,
        }
        return json.dumps(body).encode()

    def _entry(self, key):
        if key not in self.items:
            revision = self.removed[key]
            return {"key": key, "revision": revision, "tombstone": True}
        value, revision = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "lease": 0}


@given("a watch of {count:d} entries in pages of {size:d}")
def step_watch(context, count, size):
    context.make = lambda: PagedCalls(count, size)


def play(context, prepare):
    """Loses the history after ``prepare``, and runs the watch for a while."""

    async def run():
        calls = context.calls = context.make()
        context.gone = []
        async with PrefixWatch(
            SiteStore(calls),
            _PREFIX,
            _WAIT_SECONDS,
            lambda key, value: None,
            context.gone.append,
        ) as watch:
            await asyncio.sleep(1.0)
            context.before = dict(watch.values)
            prepare(calls)
            calls.lose_history()
            await asyncio.sleep(10.0)
            context.known = watch.values

    run_virtually(run())


@when("the history is lost and the next list {fault}")
def step_fault(context, fault):
    assert fault in _FAULTS, fault

    def prepare(calls):
        calls.fault = fault

    play(context, prepare)


@when(
    "the history is lost and between two pages the first entry is removed and"
    " the last one changes"
)
def step_change(context):
    def prepare(calls):
        first, *_, last = sorted(calls.items)

        def change():
            calls.write(first, None)
            calls.write(last, b"new")

        calls.change = change

    play(context, prepare)


@then("no entry is reported as removed within 10 seconds")
def step_none_removed(context):
    assert context.gone == [], context.gone


@then("all entries are listed again")
def step_listed(context):
    assert not context.calls.fault
    assert context.known == context.before, context.known


@then("exactly the first entry is reported as removed within 10 seconds")
def step_first_removed(context):
    assert context.gone == [min(context.before)], context.gone


@then("the watch knows all entries as they are")
def step_as_they_are(context):
    assert context.calls.change is None
    expected = {key: value for key, (value, _) in context.calls.items.items()}
    assert context.known == expected, context.known


class EndlessCalls:
    """Replies to the calls of a list with pages that go on and on.

    Attributes:
        pages: Number of pages sent.

    Args:
        count: Entries a page.
        size: Size of each value in bytes.
        last: Number of the last page.
    """

    def __init__(self, count, size, last):
        self.value = base64.b64encode(bytes(size)).decode()
        self.count = count
        self.last = last
        self.numbers = itertools.count()
        self.pages = 0

    async def call(self, kind, method, path, data=None, **how):
        """Replies with the next page."""
        self.pages += 1
        numbers = itertools.islice(self.numbers, self.count)
        items = [
            {"key": f"{_PREFIX}{number:09}", "value": self.value}
            for number in numbers
        ]
        is_last = self.pages == self.last
        body = {"items": items, "current_rev": 1, "truncated": not is_last}
        return Reply(200, json.dumps(body).encode(), 0)


def _list(context, calls):
    context.calls = calls
    context.listed = asyncio.run(SiteStore(calls).list(_PREFIX))


@when(
    "a prefix is listed whose pages of {count:d} entries of {size:d} bytes"
    " never end"
)
def step_list_endless(context, count, size):
    _list(context, EndlessCalls(count, size, _MANY_PAGES))


@then("there is no list after at most {pages:d} pages")
def step_no_list(context, pages):
    assert isinstance(context.listed, Unavailable), type(context.listed)
    assert context.calls.pages <= pages, context.calls.pages


@given("a store with {count:d} entries in pages of {size:d}")
def step_long_store(context, count, size):
    context.long = EndlessCalls(size, 1, count // size)


@when("the prefix is listed")
def step_list_long(context):
    _list(context, context.long)


@then("the list has {count:d} entries")
def step_long_list(context, count):
    assert len(context.listed.entries) == count, context.listed
