"""Steps of the proofs that planned stops cut off no request."""

from behave import then

from briarshed.documents import CONFIGURATION_KEY

STOPS = ("leaving", "draining", "rebooting", "returning")
"""States of an instance that is out of service by plan."""


@then("no caller lost its connection")
def step_no_loss(context):
    lost = [one for one in context.told if one.outcome in ("none", "unknown")]
    assert not lost, lost[:3]


@then("no planned stop exceeded an availability budget")
def step_budget(context):
    pools = context.fleet.read_document(CONFIGURATION_KEY)["pools"]
    assert context.fleets, "the fleet document was never read"
    for pool, content in pools.items():
        most = max(count_out(document, pool) for document in context.fleets)
        print(f"{pool}: at most {most} of budget {content['budget']}")
        assert most <= content["budget"], (pool, most)


def count_out(document, pool):
    """Return how many instances of a pool are out of service by plan."""
    return sum(
        instance["pool"] == pool and instance["state"] in STOPS
        for instance in document["instances"].values()
    )
