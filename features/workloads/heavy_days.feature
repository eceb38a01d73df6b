Feature: Scheduling, placement and capacity under the heaviest load

  Scenario: One team submits many times its usual number of jobs
    # Guards against one team that delays others (pattern: hot team). Its jobs beyond
    # its weight wait behind those of the others.
    Given a pool with capacity for 4 tasks
    And a team of weight 1 that submits 20 jobs, and one that submits 2 after it
    When waiting tasks are placed
    Then both jobs of the second team start
    And the first team gets the 2 that its weight allows at once

  Scenario: Demand shifts to a queue that needs more than its pool has
    # Pattern: shifts of demand. Instances of the standby pool follow the demand.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    When tasks for 8 instances wait in "p0"
    Then the 4 in reserve are moved to "p0"
    And no instance of "p1" is moved

  Scenario: Demand has subsided
    # Pattern: shifts of demand. Instances that are not needed should not be billed.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When nothing waits in "p0"
    Then 4 instances of "p0" get no new runs and move back to the reserve

  Scenario: An instance does not move by what its earlier endpoint had
    # Guards against an outage beyond the budget (AVAIL): a list of instances that was
    # read before a restart names the earlier endpoint, which has no runs any more.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When nothing waits in "p0"
    And the next endpoint runs on one of its retired instances
    Then that instance does not move

  Scenario: Late jobs keep the capacity to finish
    # Guards against lost jobs: trial on trouble-1 (Msasani, grown), LOST. The pool gave
    # its instances back with 15 s of late jobs waiting, and the last job had not
    # started 17 s after its arrival.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When tasks for 20 instances have waited in "p0" for 60 s
    Then no instance of "p0" moves

  Scenario: Demand shifts from one pool to another
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve have been moved to "p0"
    When nothing waits in "p0"
    And tasks for 8 instances wait in "p1"
    Then 4 instances of "p0" are moved to "p1"

  Scenario Outline: An endpoint fails the runs that it starts
    # Pattern: srv_grey. The endpoint reports healthy, but its runs fail.
    Given an endpoint where <count> different jobs have failed in a row
    Then it is <verdict>

    Examples:
      | count | verdict     |
      | 1     | not ejected |
      | 2     | not ejected |
      | 3     | ejected     |

  Scenario: An endpoint on probation fails again
    Given an endpoint that was ejected
    When one more job fails there
    Then it is ejected for twice as long

  Scenario: A task that failed at one endpoint is tried at another
    # Pattern: srv_grey. With 2 attempts, a retry at the same endpoint fails the job.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And the task runs at "a"
    When "a" lists the end "failed" of the run
    Then the task starts next at "b"

  Scenario Outline: A run makes no progress
    # Pattern: srv_grey (hang). Runs at some endpoints hang.
    Given a run of an estimated 1 s that has shown no progress for <seconds> s
    Then it is <verdict>

    Examples:
      | seconds | verdict     |
      | 1.0     | not stopped |
      | 2.0     | not stopped |
      | 3.5     | stopped     |

  Scenario: A long-running task that does not start to serve
    Given a long-running task that has been at 40 percent for 4 s
    Then it is stopped

  Scenario: A long-running task that starts to serve slowly
    # Trial on trouble-1 (Msasani, grown): it was stopped every 3 s and never served.
    Given a long-running task that has progressed to 40 percent in 4 s
    Then it is not stopped

  Scenario: A slow endpoint is chosen last
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

  Scenario Outline: A run of a speculative step at an endpoint that stops responding
    # Pattern: zone_cut, srv_crash (dark). The lease of the run expires after 4.5 s,
    # when its job is late.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 <kind> task
    And the task runs at "a"
    When "a" has not responded for <seconds> s
    Then <count> copies of it start at "b"

    Examples:
      | kind        | seconds | count |
      | speculative | 0.2     | 0     |
      | speculative | 0.5     | 1     |
      | plain       | 0.5     | 0     |

  Scenario: A copy of a run at an unresponsive endpoint succeeds
    # Guards against a task that runs twice: score 496a, trouble-3 (co-operative),
    # TWICE. The run at the unresponsive endpoint was still counted as the only run of
    # its task, so that the task was copied again and again after its success.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 speculative task and a later step
    And the task runs at "a"
    When "a" has not responded for 0.5 s
    Then 1 copies of it start at "b"
    When that copy succeeds while "a" still does not respond
    Then the later step is started, and no other copy

  Scenario: Long-running tasks are evicted within the outage budget of their step
    # Pattern: wave. Everything on an instance ends when its maintenance begins.
    Given a long-running step of 3 tasks with a budget of 1, one on each endpoint
    When all 3 endpoints are due for maintenance
    Then 1 task is stopped
    When it serves again elsewhere
    Then the next one is stopped

  Scenario: A new leader evicts nothing beside tasks that it does not know yet
    # Guards against an outage beyond the budget (AVAIL): a task whose endpoint has not
    # responded to the new leader may serve or not.
    Given a long-running step of 3 tasks with a budget of 1, one on each endpoint
    When a new leader has polled 1 of the 3 endpoints, which are due for maintenance
    Then no task is stopped or started
    When the new leader has polled all 3 endpoints
    Then no task is stopped or started
    When the endpoints have listed their tasks again 1 s later
    Then 1 task is stopped

  Scenario: A new leader counts on no task that the previous one has stopped
    # Guards against an outage beyond the budget (AVAIL): trouble-1 (Msasani, shifted).
    # A task that is being stopped is listed as serving until it ends, up to 0.9 s later,
    # and nothing tells the new leader of the stop.
    Given a long-running step of 3 tasks with a budget of 1, one on each endpoint
    And the leader has just stopped the task at "a"
    When a new leader has polled all 3 endpoints, which are due for maintenance
    Then no task is stopped
    When the task at "a" has ended and the others are listed 1 s later
    Then no task is stopped
    When the task of "a" serves again at "d"
    Then 1 task is stopped

  Scenario: An eviction counts on no task that was not listed lately
    # Guards against an outage beyond the budget (AVAIL): a task may have ended since
    # its endpoint last listed it, while a poll takes long and has not failed.
    Given a long-running step of 3 tasks with a budget of 1, one on each endpoint
    When all endpoints but "b" have listed their tasks again 3 s later
    And all 3 endpoints are due for maintenance
    Then no task is stopped, except for that at "b"

  Scenario: Tasks at endpoints that shut down count against the outage budget first
    # Guards against an outage beyond the budget (AVAIL): tasks at endpoints that shut
    # down are stopped beyond the budget, after others had been stopped within it.
    Given a long-running step of 3 tasks with a budget of 1, one on each endpoint
    And the endpoint "c" shuts down
    When all 3 endpoints are due for maintenance
    Then only the task at "c" is stopped

  Scenario Outline: Best-effort runs are slowed before a tail latency exceeds its target
    Given a best-effort run at <pace> percent beside one at <ratio> of its tail target
    Then the pace of the best-effort run becomes <after> percent

    Examples:
      | pace | ratio | after |
      | 100  | 0.3   | 100   |
      | 100  | 0.9   | 40    |
      | 40   | 1.4   | 16    |
      | 4    | 1.4   | 0     |
      | 40   | 0.7   | 40    |
      | 40   | 0.3   | 55    |
