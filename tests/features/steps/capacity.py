"""Steps about the capacity page."""

from behave import given, then, when
from hypothesis import given as each
from hypothesis import settings
from hypothesis import strategies as st

from bench.capacity.__main__ import load, slopes_by_name
from bench.capacity.fit import fit
from bench.capacity.page import PAGE, filled

_CLOSE = 1e-6


@given("the stored slopes")
def step_stored(context):
    context.runs = load()
    assert context.runs, "no data: run `make capacity`"


@when("the tables of the capacity page are made from them")
def step_made(context):
    context.page = PAGE.read_text(encoding="utf-8")
    dates = {name: run.date for name, run in context.runs.items()}
    slopes = slopes_by_name(context.runs)
    context.made = filled(context.page, slopes, dates)


@then("the capacity page has just these tables")
def step_same_tables(context):
    assert context.made == context.page, "run `python -m bench.capacity --page`"


@given("any line and points on it")
def step_any_line(context):
    context.lines = (
        st.floats(-1e3, 1e3),
        st.floats(-1e3, 1e3),
        st.integers(2, 8),
    )


@then("the fit finds the line, with no residual")
def step_fit(context):
    @settings(derandomize=True, deadline=None, max_examples=50)
    @each(*context.lines)
    def check(slope, offset, count):
        points = [(float(x), offset + slope * x) for x in range(count)]
        found = fit("line", "x", "y", points)
        assert abs(found.slope - slope) < _CLOSE * (1 + abs(slope))
        assert abs(found.offset - offset) < _CLOSE * (
            1 + abs(offset) + abs(slope)
        )
        assert found.residual < _CLOSE

    check()


@then("each slope has at least {count:d} points")
def step_points(context, count):
    short = [
        slope.name
        for slope in slopes_by_name(context.runs).values()
        if len(slope.points) < count
    ]
    assert not short, short
