Feature: Who waits and where work goes on the heaviest days

  Scenario: One team sends many times its usual
    # Pattern: hot team. Its jobs beyond its weight wait behind those of the others.
    Given a pool whose room takes 4 tasks at once
    And a team of weight 1 that hands in 20 jobs, and one that hands in 2 after it
    When room is given out
    Then both jobs of the second team start
    And the first team gets the 2 that its weight allows at once

  Scenario: Demand turns to a queue that asks for more than its pool holds
    # Pattern: turns of demand. The spare pool's instances follow the demand.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    When work for 8 instances waits in "p0"
    Then the 4 in reserve are moved to "p0"
    And no instance of "p1" is moved

  Scenario: Demand has turned away
    # Pattern: turns of demand. An instance that is not needed is not paid for.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When nothing waits in "p0"
    Then 4 instances of "p0" get no new work and go back to the reserve

  Scenario: Late work keeps the room to be finished
    # Trial on trouble-1 (Msasani, grown): LOST. The pool gave its instances back while
    # 15 s of late work waited, and the last job had not started 17 s after its arrival.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When work for 20 instances has waited in "p0" for 60 s
    Then no instance of "p0" moves

  Scenario: Demand turns from one pool to the next
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When nothing waits in "p0"
    And work for 8 instances waits in "p1"
    Then 4 instances of "p0" are moved to "p1"

  Scenario Outline: An endpoint fails what it starts
    # Pattern: srv_grey. Its health is good, and its ends are not.
    Given an endpoint where <count> different works have failed in a row
    Then it is <verdict>

    Examples:
      | count | verdict     |
      | 1     | not avoided |
      | 2     | not avoided |
      | 3     | avoided     |

  Scenario: An endpoint on probation fails again
    Given an endpoint that was avoided
    When one more work fails there
    Then it is avoided for twice as long

  Scenario: A task that failed at one endpoint is tried at another
    # Pattern: srv_grey. With 2 attempts, the same endpoint would fail the job.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And the task runs at "a"
    When "a" lists the end "failed" of the run
    Then the task starts next at "b"

  Scenario Outline: A run stands still
    # Pattern: srv_grey (hang). Work units on some workers stand still.
    Given a run of an estimated 1 s that has shown no progress for <seconds> s
    Then it is <verdict>

    Examples:
      | seconds | verdict    |
      | 1.0     | left alone |
      | 2.0     | left alone |
      | 3.5     | stopped    |

  Scenario: A long-running task that does not get to work
    Given a long-running task that has been at 40 percent for 4 s
    Then it is stopped

  Scenario: A long-running task that gets to work slowly
    # Trial on trouble-1 (Msasani, grown): stopped every 3 s, it never got to work.
    Given a long-running task that has come to 40 percent after 4 s
    Then it is left alone

  Scenario: A slow endpoint comes last
    # Pattern: srv_slow.
    Given 4 endpoints of which one takes 5 times as long
    Then a task goes to one of the others, even if the slow one is empty

  Scenario: All endpoints are slow
    Given 4 endpoints that all take 5 times as long
    Then none counts as slow

  Scenario: An overdue run of a speculative step gets one copy
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 speculative task
    And the task runs at "a"
    When it has taken 2.5 times its estimate
    Then one copy of it starts at "b"
    When the copy succeeds
    Then the first run is to be stopped

  Scenario Outline: A run of a speculative step at an endpoint that falls silent
    # Pattern: zone_cut, srv_crash (dark). The run lapses unseen after 4.5 s, when its job
    # is late.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 <kind> task
    And the task runs at "a"
    When "a" has been silent for <seconds> s
    Then <count> copies of it start at "b"

    Examples:
      | kind        | seconds | count |
      | speculative | 0.2     | 0     |
      | speculative | 0.5     | 1     |
      | plain       | 0.5     | 0     |

  Scenario: A copy of a run at a silent endpoint succeeds
    # Score 496a, trouble-3 (co-operative): TWICE. The unseen run kept its task among those
    # that have one run, so that it was copied again and again after its success.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 speculative task and a later step
    And the task runs at "a"
    When "a" has been silent for 0.5 s
    Then 1 copies of it start at "b"
    When that copy succeeds while "a" stays silent
    Then the later step is started, and no other copy

  Scenario: Long-running tasks are moved within the outage budget of their step
    # Pattern: wave. Everything on an instance ends when its maintenance begins.
    Given a long-running step of 3 tasks with a budget of 1, one on each endpoint
    When all 3 endpoints are due for maintenance
    Then 1 task is stopped
    When it is at work again elsewhere
    Then the next one is stopped

  Scenario Outline: Fillers are slowed before a serving task's tail is over its target
    Given a filler at <pace> percent beside a task whose tail is <strain> of its target
    Then the filler's pace becomes <after> percent

    Examples:
      | pace | strain | after |
      | 100  | 0.3    | 100   |
      | 100  | 0.9    | 40    |
      | 40   | 1.4    | 16    |
      | 4    | 1.4    | 0     |
      | 40   | 0.7    | 40    |
      | 40   | 0.3    | 55    |
