Feature: Every caller gets the whole answer to its own job
  Guards against answers that are cut short, belong to another job, or are never read.

  Scenario: A job is answered with the endpoint's body and the caller's job id
    Given an endpoint
    When job "a" is submitted
    Then the caller of "a" gets status 200 and its own answer

  Scenario Outline: A non-idempotent job whose first exchange is "<fault>"
    Given an endpoint whose first answer is "<fault>"
    When job "a" is submitted
    Then the caller of "a" gets status 200 and its own answer
    And no job started twice

    Examples:
      | fault                   |
      | wrong attempt           |
      | late                    |
      | truncated               |
      | no length               |
      | repeated                |
      | silent                  |
      | close before the answer |

  Scenario: The answers of two jobs arrive on each other's connections
    Given an endpoint whose answers are "swapped"
    When jobs "a" and "b" are submitted together
    Then the caller of "a" gets status 200 and its own answer
    And the caller of "b" gets status 200 and its own answer
    And no job started twice

  Scenario Outline: A kept connection repeats a response to an earlier attempt: "<fault>"
    Given an endpoint that keeps connections, whose first answer is "<fault>"
    When jobs "a" and "b" are submitted 0.3 s apart
    Then the caller of "a" gets status 200 and its own answer
    And the caller of "b" gets status 200 and its own answer
    And no job started twice

    Examples:
      | fault         |
      | repeated      |
      | refused twice |

  Scenario: An answer over the limit is reported, not cut
    Given an endpoint
    When a job with 2000 bytes is submitted and answers may have 1000 bytes
    Then the caller of "a" gets status 502, "unknown" and "answer-too-large"
