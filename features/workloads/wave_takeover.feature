Feature: Maintenance waves across a change of leader

  Scenario Outline: A new leader resumes a wave
    # Guards against repeated orders: trial on trouble-1 (Msasani, grown). 53 instances
    # were ordered again, since the operator's orders were applied before the records
    # had been read.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    When the new leader takes over <order>
    Then it orders "m2" and "m3" and not "m1"
    And the wave is recorded as completed once both have begun

    Examples:
      | order                       |
      | the records and the orders  |
      | the orders and the records  |

  Scenario: A completed wave is not started again
    Given a wave over "m1", "m2" and "m3" that is completed
    When the new leader takes over the orders and the records
    Then it orders nothing

  Scenario: A new leader waits with instances that the previous one may have ordered
    # Guards against waiting with all instances: in a trial on trouble-1 (Msasani,
    # grown), two changes of leader made a wave late.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    And "m2" was about to be ordered by the previous leader
    When the new leader has led for less than the lease time
    Then it has ordered "m3" and not "m2"
    When the lease time has passed
    Then it has ordered "m2" as well

  Scenario: No more instances are down than the wave allows
    Given a wave over "m1", "m2" and "m3" with a maximum of 2, of which "m1" is down
    When the new leader takes over the records and the orders
    Then it orders one of "m2" and "m3"

  Scenario: A new leader orders no instance whose endpoint it has not polled
    # Guards against an outage beyond the budget: trial on trouble-1 (Msasani, grown),
    # AVAIL. The runs of the endpoint were not known yet, and its instance counted as
    # drained.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    And an endpoint runs on "m2" that the new leader has not polled
    When the new leader takes over the records and the orders
    Then it has ordered "m3" and not "m2"
    When the endpoint on "m2" has listed no runs
    Then it has ordered "m2" as well

  Scenario: An instance that is down for another wave has not begun this one
    # Guards against a wave that is completed too early: hunt mix --seed 27095424936
    # (Msasani), MIXED. Two waves named the same instances.
    Given a wave over "m1", "m2" and "m3" with a maximum of 3, of which "m1" is down
    When the new leader takes over the records and the orders
    Then the wave is not recorded as completed

  Scenario: Instances of a pool that is short of capacity wait for their maintenance
    # Guards against draining a pool at its peak (pattern: a wave during a shift of
    # demand). In trouble-1 (Msasani, grown), up to 38 endpoints of the pool in demand
    # got no new runs while they were to be drained.
    Given a 20 s wave over "m1", "m2" and "m3", with "m1" in a pool short of capacity
    When 2 s have passed
    Then "m2" and "m3" are to be drained
    When 12 s have passed
    Then "m1", "m2" and "m3" are to be drained

  Scenario: A wave keeps its age across a change of leader
    Given a wave over "m1", "m2" and "m3" that the previous leader first read 18 s ago
    When the new leader takes over the records and the orders
    Then the wave's age is 18 s

  Scenario: A new leader moves at once what the previous one has not moved
    # Guards against waiting with all moves. In trouble-2 (Msasani, grown), no instance
    # moved for 3 s after the cut, and 28 moved in the second after that.
    Given a pool that is short of 2 instances, and "m1" and "m2" in reserve
    And "m1" has just been moved by the previous leader
    When the new leader has led for less than the lease time
    Then it has moved "m2" and not "m1"
    And the move of "m2" was recorded before it was ordered
    When the lease time has passed
    Then it has moved "m1" as well

  Scenario: Instances whose long-running tasks share an outage budget come first
    # Guards against a late wave. In trouble-1 (Msasani, grown), these instances came
    # last and were drained one after the other every 2.5 s; 5 of 79 were late.
    Given a wave over 12 instances, 6 of them with a task of one step with a budget of 1
    When 2 s have passed
    Then 2 instances with such a task are to be drained, and all others without
