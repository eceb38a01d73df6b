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

  Scenario: An instance that a list lacks for a moment still needs its maintenance
    # Guards against a wave that is completed too early (MIXED). The pages of a list
    # are no snapshot, and an instance that a list lacked counted as gone.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    And the instance list lacks "m2" for a moment
    When the new leader takes over the records and the orders
    Then the wave is not completed
    When the instance list names "m2" again
    Then "m2" is ordered before the wave is recorded as completed

  Scenario: A wave is completed without the instances that are gone
    # Guards against a wave that never ends: an instance that is lost for good is no
    # longer listed.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    And the instance list lacks "m2" from now on
    When the new leader takes over the records and the orders
    And the instance list has lacked "m2" for 10 s
    Then the wave is recorded as completed without "m2"

  Scenario: An instance is not gone while its endpoint is registered
    # Guards against a wave that is completed too early (MIXED) when the list stays
    # incomplete, as after an outage of the platform.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    And an endpoint is registered on "m2", which the instance list lacks
    When the new leader takes over the records and the orders
    And the instance list has lacked "m2" for 10 s
    Then the wave is not completed

  Scenario: An instance that is down counts although a list lacks it
    # Guards against more instances down than the wave's maximum (LIMIT).
    Given a wave over "m1", "m2" and "m3" with a maximum of 1, of which "m1" is down
    And the instance list lacks "m1" for a moment
    When the new leader takes over the records and the orders
    Then it orders nothing

  Scenario: A leader reads the instance list before it decides on a wave
    # Guards against a wave that is completed too early (MIXED): within 0.9 s of the
    # start of its machine, a leader took the list that it had not read for empty.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    When the new leader decides 0.5 s after the start of its machine
    Then the wave is not recorded as completed

  Scenario: An earlier leader's order without a response keeps its place
    # Guards against more instances down than the wave's maximum (LIMIT): the order may
    # take effect although the list does not show it yet.
    Given a wave over "m1", "m2" and "m3" with a maximum of 1
    And "m3" was about to be ordered by the previous leader
    When the new leader has led for less than the lease time
    Then it orders nothing
    When the lease time has passed
    Then it orders "m3" first

  Scenario: An order without a response keeps its place
    # Guards against more instances down than the wave's maximum (LIMIT).
    Given a wave over "m1", "m2" and "m3" with a maximum of 1
    And the wave has 100 s, and "m1" is in a pool short of capacity
    And the order for "m2" gets no response
    When the new leader takes over the records and the orders
    And the pool of "m1" is no longer short of capacity
    Then only "m2" has been ordered

  Scenario: Orders of earlier leaders are recorded by each leader
    # Guards against two leaders that order one instance within the lease time (ONE),
    # with a short term between them.
    Given a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"
    And "m2" was about to be ordered by the previous leader
    When the new leader has led for less than the lease time
    Then it has ordered "m3" and not "m2"
    And "m2" is still recorded as ordered

  Scenario: A new leader waits with all instances if the orders cannot be decoded
    # Guards against two leaders that order one instance within the lease time (ONE):
    # a record that could not be decoded was taken for no orders.
    Given a wave over "m1", "m2" and "m3" with a maximum of 3
    And the record "briarshed/waves/1" cannot be decoded
    When the new leader has led for less than the lease time
    Then it orders nothing
    When the lease time has passed
    Then it has ordered "m1", "m2" and "m3"

  Scenario: A new leader waits with all moves if the last ones cannot be decoded
    # Guards against two leaders that order one instance within the lease time (ONE).
    Given a pool that is short of 2 instances, and "m1" and "m2" in reserve
    And the record "briarshed/sizes" cannot be decoded
    When the new leader has led for less than the lease time
    Then it orders nothing
    When the lease time has passed
    Then it has moved both "m1" and "m2"

  Scenario Outline: An instance is not drained while a task runs at its endpoint
    # Guards against an outage beyond the budget (AVAIL): an instance whose endpoint the
    # list did not name, or named as it was before a restart, counted as drained.
    Given a wave over "m1", "m2" and "m3" with a maximum of 3
    And a task runs at endpoint "a" on "m2", for which the list names <named>
    When the new leader takes over the records and the orders
    Then it has ordered "m1" and "m3" and not "m2"
    When the endpoint on "m2" has listed no runs
    Then it has ordered "m1", "m2" and "m3"

    Examples:
      | named                |
      | no endpoint          |
      | an earlier endpoint  |
      | an unknown endpoint  |

  Scenario Outline: A new leader releases no instance before it knows the demand
    # Guards against moving instances away and back (price of moves, late jobs): a new
    # leader knows no arrival rate, and takes it for 0.
    Given a pool of 8 idle instances with the recorded sizes <sizes>
    When the new leader takes its first decisions
    Then it orders nothing

    Examples:
      | sizes        |
      | {"pool": 4}  |
      | {"other": 3} |

  Scenario Outline: A new leader knows what serves soon after the stop grace
    # Guards against a late wave: in trouble-3 (Thibodeau & Marsh), 4 to 6 of 95 instances
    # were late after a change of the leader, since the second list of runs that an
    # outage budget needs came with the next end or after 1.2 s.
    Given a new leader, and an endpoint with a long-running task with a budget and a clock that is <rate>
    When it polls the endpoint for 0.2 s, with a pause of <pause> s after the first list
    Then it counts on the task to serve, after 4 polls and 0.5 s at most
    When it polls the endpoint for 3 s, with a pause of 0 s after the first list
    Then later polls wait for an end as usual

    Examples:
      | rate    | pause |
      | exact   | 0     |
      | 2% slow | 0     |
      | exact   | 0.4   |

  Scenario Outline: Other endpoints are not polled more often after a change of the leader
    # Guards against polls that tell nothing new: they are billed.
    Given a new leader, and an endpoint with <task> and a clock that is exact
    When it polls the endpoint for 2 s, with a pause of 0 s after the first list
    Then the second poll waits for an end as usual

    Examples:
      | task                                 |
      | a long-running task without a budget |
      | a task that ends                     |
