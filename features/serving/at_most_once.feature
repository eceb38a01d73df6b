Feature: "Not run" is true, and a non-idempotent job runs at most once
  Guards against a second start after a lost answer, and against a refusal "not run"
  of a job that an endpoint started.

  Scenario Outline: A non-idempotent job whose first request meets "<fault>"
    Given an endpoint whose first answer is "<fault>"
    When job "a" is submitted
    Then the caller of "a" gets status <status>, "<outcome>" and "<code>"
    And no job started twice
    And no job that was refused as "not run" started

    Examples:
      | fault                   | status | outcome | code            |
      | close at 0 bytes        | 200    |         |                 |
      | close at some bytes     | 200    |         |                 |
      | close at all bytes      | 200    |         |                 |
      | silent before start     | 200    |         |                 |
      | full                    | 200    |         |                 |
      | leaving                 | 200    |         |                 |
      | close before the answer | 200    |         |                 |
      | fail                    | 502    | unknown | endpoint-failed |
      | no such status          | 502    | unknown | stopped         |

  Scenario Outline: A <kind> job whose every request meets "<fault>"
    Given an endpoint whose answers are "<fault>"
    When <kind> job "a" with 900 ms is submitted
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

  Scenario: An endpoint that freezes is still counted until the task's lease has ended
    Given an endpoint whose answers are "frozen"
    When a job with 500 ms is submitted and the endpoint stays frozen
    Then the team's grant is held after the answer, and free once the lease has ended

  Scenario: An endpoint that thaws frees the grant by its answer
    Given an endpoint whose answers are "frozen"
    When a job with 30000 ms is submitted and the endpoint thaws after the answer
    Then the team's grant is held after the answer, and free once the endpoint answers

  Scenario: A team at its limit until the deadline is told so
    Given an endpoint whose answers are "runs too long"
    When two jobs of a team with limit 1 are submitted
    Then one gets 429 "team-limit" with Retry-After, and one start was made

  Scenario Outline: <jobs> jobs while endpoints meet random faults, seed <seed>
    When <jobs> jobs run while three endpoints meet random faults with seed <seed>
    Then every caller got its own answer or a refusal
    And no job that was refused as "not run" started
    And a non-idempotent job started at most once
    And the team never ran more than its limit of 12
    And every grant and slot is free again

    Examples:
      | jobs | seed |
      | 120  | 1    |
      | 120  | 2    |
      | 120  | 3    |
