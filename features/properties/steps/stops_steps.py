"""Steps of the end-to-end tests that planned stops interrupt no request."""

from behave import then

from briarshed.documents import CONFIGURATION_KEY

PLANNED_STOP_STATES = ("leaving", "draining", "rebooting", "returning")
"""States of an instance during a planned stop."""


@then("no caller lost its connection")
def step_no_loss(context):
    lost = [one for one in context.outcomes if one.outcome in ("none", "unknown")]
    assert not lost, lost[:3]


@then("no planned stop exceeded an availability budget")
def step_budget(context):
    pools = context.fleet.read_document(CONFIGURATION_KEY)["pools"]
    assert context.fleets, "the fleet document was never read"
    for pool, content in pools.items():
        most = max(count_planned_stops(document, pool) for document in context.fleets)
        print(f"{pool}: at most {most} of budget {content['budget']}")
        assert most <= content["budget"], (pool, most)


def count_planned_stops(document, pool):
    """Return the number of instances of a pool in a planned stop."""
    return sum(
        instance["pool"] == pool and instance["state"] in PLANNED_STOP_STATES
        for instance in document["instances"].values()
    )
