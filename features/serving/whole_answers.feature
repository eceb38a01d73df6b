Feature: Every caller gets the complete response to its own job
  Guards against responses that are truncated, belong to another job, or are never read.

  Scenario: The response has the endpoint's body and the caller's job id
    Given an endpoint
    When job "a" is submitted
    Then the caller of "a" gets status 200 and its own response

  Scenario Outline: A non-idempotent job whose first response has the fault "<fault>"
    Given an endpoint whose first response has the fault "<fault>"
    When job "a" is submitted
    Then the caller of "a" gets status 200 and its own response
    And no job started twice

    Examples:
      | fault                     |
      | wrong attempt             |
      | late                      |
      | truncated                 |
      | no length                 |
      | repeated                  |
      | silent                    |
      | close before the response |

  Scenario: The responses of two jobs arrive on each other's connections
    Given an endpoint whose responses have the fault "swapped"
    When jobs "a" and "b" are submitted together
    Then the caller of "a" gets status 200 and its own response
    And the caller of "b" gets status 200 and its own response
    And no job started twice

  Scenario Outline: A keep-alive connection repeats an earlier response: "<fault>"
    Given a keep-alive endpoint whose first response has the fault "<fault>"
    When jobs "a" and "b" are submitted 0.3 s apart
    Then the caller of "a" gets status 200 and its own response
    And the caller of "b" gets status 200 and its own response
    And no job started twice

    Examples:
      | fault         |
      | repeated      |
      | refused twice |

  Scenario: A response over the size limit is reported, not truncated
    Given an endpoint
    When a job with 2000 bytes is submitted and responses are limited to 1000 bytes
    Then the caller of "a" gets status 502, "unknown" and "answer-too-large"
