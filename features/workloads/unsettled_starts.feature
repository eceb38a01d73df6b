Feature: Unsettled starts that a new leader takes over

  Scenario Outline: A recorded start is settled like one of the present leader
    # Guards against a task that runs twice (TWICE, issue 52), and against one that waits, or
    # whose run is stopped (LOST), for a start that the earlier leader had settled.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And a record of a task whose start by the earlier leader had no response at "a"
    When <event>
    Then the task <result>

    Examples:
      | event                                              | result               |
      | the new leader has not reached "a"                 | runs only at "a"     |
      | "a" lists the recorded run                         | runs only at "a"     |
      | "a" lists no run                                   | waits                |
      | "a" restarts, and lists no run                     | waits                |
      | "b" lists a later run of the task                  | runs only at "b"     |
      | "a" is not known any more                          | waits                |
      | "a" has been silent for 12 s                       | waits                |

  Scenario Outline: The record of a start ends with its outcome
    # Guards against a start that each later leader waits for.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And an order of the task is on its way to "a"
    When the order has no response
    Then the start is recorded
    When "a" <outcome>
    Then no start is recorded

    Examples:
      | outcome                        |
      | lists the run                  |
      | lists no run in its next poll  |

  Scenario: A job with nothing but a start without a response has not begun
    # Guards against a job that is not counted as queued although none of its tasks has started.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And a record of a task whose start by the earlier leader had no response at "a"
    Then the job is pending
