Feature: "Not run" is true, and a non-idempotent job starts at most once
  Guards against a second start after a lost response, and against a refusal "not run"
  of a job that an endpoint has started.

  Scenario Outline: A non-idempotent job whose first request has the fault "<fault>"
    Given an endpoint whose first response has the fault "<fault>"
    When job "a" is submitted
    Then the caller of "a" gets status <status>, "<outcome>" and "<code>"
    And no job started twice
    And no job that was refused as "not run" started

    Examples:
      | fault                     | status | outcome | code            |
      | close after 0 bytes       | 200    |         |                 |
      | close after some bytes    | 200    |         |                 |
      | close after all bytes     | 200    |         |                 |
      | silent before start       | 200    |         |                 |
      | full                      | 200    |         |                 |
      | leaving                   | 200    |         |                 |
      | close before the response | 200    |         |                 |
      | fail                      | 502    | unknown | endpoint-failed |
      | unknown status            | 502    | unknown | stopped         |

  Scenario Outline: A <kind> job whose requests all have the fault "<fault>"
    Given an endpoint whose responses have the fault "<fault>"
    When <kind> job "a" with a deadline of 900 ms is submitted
    Then the caller of "a" gets status <status>, "<outcome>" and "<code>"
    And no job that was refused as "not run" started
    And a non-idempotent job started at most once

    Examples:
      | kind           | fault               | status | outcome | code                |
      | non-idempotent | frozen              | 502    | unknown | answer-lost         |
      | idempotent     | frozen              | 504    | unknown | answer-lost         |
      | non-idempotent | unreachable         | 503    | not run | no-endpoint-in-time |
      | idempotent     | unreachable         | 503    | not run | no-endpoint-in-time |
      | non-idempotent | impossible          | 503    | not run | impossible          |
      | idempotent     | impossible          | 503    | not run | impossible          |
      | non-idempotent | full                | 503    | not run | no-endpoint-in-time |
      | idempotent     | fail                | 502    | unknown | endpoint-failed     |
      | non-idempotent | runs too long       | 504    | unknown | stopped             |
      | idempotent     | runs too long       | 504    | unknown | stopped             |
      | non-idempotent | silent before start | 503    | not run | no-endpoint-in-time |

  Scenario: The grant of a job on a frozen endpoint is held until the task lease expires
    Given an endpoint whose responses have the fault "frozen"
    When a job with a deadline of 500 ms is submitted and the endpoint stays frozen
    Then the team's grant is held after the response and freed when the lease expires

  Scenario: The grant is freed when a frozen endpoint resumes and responds
    Given an endpoint whose responses have the fault "frozen"
    When a job with a deadline of 30000 ms is submitted and the endpoint resumes after the response
    Then the team's grant is held after the response and freed when the endpoint responds

  Scenario: A job whose team is at its limit until the deadline is refused
    Given an endpoint whose responses have the fault "runs too long"
    When two jobs of a team with limit 1 are submitted
    Then one gets 429 "team-limit" with Retry-After, and one job started

  Scenario Outline: <jobs> jobs on endpoints with random faults, seed <seed>
    When <jobs> jobs run on three endpoints with random faults and seed <seed>
    Then every caller got its own response or a refusal
    And no job that was refused as "not run" started
    And a non-idempotent job started at most once
    And the team never ran more than its limit of 12
    And every grant and slot is free again

    Examples:
      | jobs | seed |
      | 120  | 1    |
      | 120  | 2    |
      | 120  | 3    |
