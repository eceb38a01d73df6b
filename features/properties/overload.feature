Feature: Overload is refused early and does not reduce throughput
  Guards against queues that grow until every job misses its deadline.

  Scenario: Five times the capacity for 8 seconds
    Given a fleet whose pool runs 40 jobs a second
    When 200 jobs a second arrive for 8 seconds with deadlines of 2 seconds
    Then the records have no violation
    And the pool finishes at least 0.9 of its capacity
    And half of the refusals come within 50 ms
    And urgent jobs started within 4 seconds

  @long
  Scenario: Five times the capacity for 30 seconds
    Given a fleet whose pool runs 40 jobs a second
    When 200 jobs a second arrive for 30 seconds with deadlines of 2 seconds
    Then the records have no violation
    And the pool finishes at least 0.9 of its capacity
    And half of the refusals come within 50 ms
    And urgent jobs started within 4 seconds
    And the entries' memory returns to within 10 % of its initial value
