"""Steps for waves; the platform's calls are a list, and nothing waits."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import NOW, look, make_engine

from briarshed_entry import clock
from briarshed_workloads.maintenance import Maintenance
from briarshed_workloads.options import EntryOptions, Promises
from briarshed_workloads.ports import Ordered
from briarshed_workloads.records import WaveRecord
from briarshed_workloads.workloads import NOTHING, Instance, WaveOrder

NAMES = ("m1", "m2", "m3")
OPTIONS = EntryOptions(
    "e",
    "d",
    ("d",),
    "",
    "",
    "",
    "",
    "",
    "",
    "",
    1.0,
    100.0,
    Promises(),
)


class Calls:
    """The platform's instance interface."""

    def __init__(self, rows):
        self.rows = rows
        self.ordered = []

    async def read_instances(self):
        """Return all instances."""
        return tuple(self.rows.values())

    async def maintain(self, instance, wave, holder, token):
        """Begin the maintenance of an instance."""
        self.ordered.append(instance)
        self.rows[instance] = self.rows[instance]._replace(state="maintenance")
        return Ordered()


def build(context, maximum=3, down=()):
    """Make the maintenance of a term that is the second one."""
    rows = {
        name: Instance(
            name, "p", "maintenance" if name in down else "up", "d", (), NOTHING, ""
        )
        for name in NAMES
    }
    context.saved = []

    async def save(wave, record):
        context.saved.append(record)

    async def save_sizes(record):
        return None

    context.calls = Calls(rows)
    term = SimpleNamespace(epoch=2, has_authority=lambda: True)
    context.order = WaveOrder(1, NAMES, 20.0, maximum)
    context.engine = make_engine()
    context.maintenance = Maintenance(
        OPTIONS, term, context.engine, context.calls, save, save_sizes
    )


@given('a wave over "m1", "m2" and "m3", of which "m1" has begun under the last leader')
def step_wave(context):
    build(context)
    context.record = WaveRecord(("m1",), False)


@given('a wave over "m1", "m2" and "m3" that is completed')
def step_completed(context):
    build(context)
    context.record = WaveRecord(NAMES, True)


@given('a wave over "m1", "m2" and "m3" with a maximum of 2, of which "m1" is down')
def step_down(context):
    build(context, maximum=2, down=("m1",))
    context.record = WaveRecord(("m1",), False)


@given('a wave over "m1", "m2" and "m3" with a maximum of 3, of which "m1" is down')
def step_other_wave(context):
    build(context, down=("m1",))
    context.record = WaveRecord((), False)


@then("the wave is not recorded as completed")
def step_not_recorded(context):
    assert context.saved
    assert not any(record.is_completed for record in context.saved)


def work(context, *, after_lease=True):
    """Let the maintenance take its steps."""
    now = clock.now() + (OPTIONS.promises.lease + 1 if after_lease else 0.0)
    for _ in range(2):
        asyncio.run(context.maintenance.work(now))
        now += 1.0


@when("the new leader takes over {order}")
def step_take_over(context, order):
    if order.startswith("the records"):
        context.maintenance.restore(1, context.record)
        context.maintenance.set_waves([context.order])
    else:
        context.maintenance.set_waves([context.order])
        context.maintenance.restore(1, context.record)
    work(context)


@when("the new leader has led for less than the lease time")
def step_too_early(context):
    context.maintenance.restore(1, context.record)
    context.maintenance.set_waves([context.order])
    work(context, after_lease=False)


@then('it orders "m2" and "m3" and not "m1"')
def step_orders(context):
    assert sorted(context.calls.ordered) == ["m2", "m3"], context.calls.ordered


@then("the wave is recorded as completed once both have begun")
def step_recorded(context):
    assert context.saved[-1].is_completed
    assert sorted(context.saved[-1].begun) == list(NAMES)


@then("it orders nothing")
def step_nothing(context):
    assert not context.calls.ordered


@given('an endpoint lives on "m2" that the new leader has not looked at')
def step_not_looked_at(context):
    row = context.calls.rows["m2"]
    context.calls.rows["m2"] = row._replace(endpoint="a")
    context.engine.quarantine_until = clock.now() + 60.0


@when('the endpoint on "m2" has listed no runs')
def step_listed(context):
    look(context.engine, "a", NOW)
    work(context)


@given('"m2" was about to be ordered by the last leader')
def step_intended(context):
    context.record = WaveRecord(("m1",), False, ("m1", "m2"))


@then('it has ordered "m3" and not "m2"')
def step_not_yet(context):
    assert context.calls.ordered == ["m3"], context.calls.ordered


@when("the lease time has passed")
def step_lease_passed(context):
    work(context)


@then('it has ordered "m2" as well')
def step_then(context):
    assert context.calls.ordered == ["m3", "m2"], context.calls.ordered


@then('it orders one of "m2" and "m3"')
def step_one(context):
    assert len(context.calls.ordered) == 1
