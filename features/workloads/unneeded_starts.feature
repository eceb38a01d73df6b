Feature: Starts that are not needed any more, and ends that fill a list

  Scenario: A start that waits for an endpoint's clock is not sent for a cancelled job
    # Guards against a task that starts after the cancelling of its job was acknowledged, or
    # after its success was noted: the start waited for a poll, and was sent regardless.
    Given a leader with an endpoint whose clock was read 20 s ago
    When a job is cancelled while its start waits for the clock
    Then the start is not sent, and its run is removed

  Scenario: An endpoint with a full list of ends settles an order without a response
    # Guards against an endpoint that gets no more starts (found on review): 500 ends are
    # listed at a time, and were not acknowledged because of an order that only a complete
    # list settles.
    Given an endpoint with 600 ends to list, and an order without a response
    When it is polled 5 times
    Then all ends are acknowledged, and the order is settled
