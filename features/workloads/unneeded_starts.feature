Feature: Starts that are not needed any more, and ends that fill a list

  Scenario: A start that waits for an endpoint's clock is not sent for a cancelled job
    # Guards against a task that starts after the cancelling of its job was acknowledged, or
    # after its success was noted: the start waited for a poll, and was sent regardless.
    Given a leader with an endpoint whose clock was read 20 s ago
    When a job is cancelled while its start waits for the clock
    Then the start is not sent, and its run is removed
