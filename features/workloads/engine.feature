Feature: The leader's state of endpoints and runs

  Scenario Outline: A new leader keeps an unresponsive endpoint's runs until they expire
    # Guards against a task that runs twice: hunt trouble-1 --seed 661929526986
    # (co-operative), TWICE. The new leader took the deadline that the earlier one had
    # set for zero, and started the task elsewhere.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And a restored job with 1 task
    And endpoint "a" lists a run of epoch 1 of that task
    When endpoint "a" does not respond for <seconds> s
    Then the task <outcome>

    Examples:
      | seconds | outcome          |
      | 0.6     | runs only at "a" |
      | 4.9     | runs only at "a" |
      | 6.0     | runs only at "b" |

  Scenario: A poll with a higher token decides about an order without a response
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    When the start order at "a" gets no response
    Then the task has one reserved run at "a"
    When "a" lists no runs in response to a poll with the old token
    Then the task has one reserved run at "a"
    When "a" lists no runs in response to a poll with the new token
    Then the task waits

  Scenario Outline: The listed end of a run decides what becomes of its task
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And the task runs at "a"
    When "a" lists the end "<end>" of the run
    Then the task <outcome>

    Examples:
      | end       | outcome       |
      | succeeded | has succeeded |
      | failed    | waits         |
      | lapsed    | waits         |
      | stopped   | waits         |
      | broken    | waits         |

  Scenario: A failed run that is listed again counts once
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And the task runs at "a"
    When "a" lists the end "failed" of the run
    And a leader of epoch 3 restores the records and gets the same end again
    Then the task has 1 failed run
    And the job is not failed

  Scenario: An endpoint that restarts under the same name has no runs
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And the task runs at "a"
    When "a" answers a poll as a later incarnation
    Then the task waits
    And "a" gets no runs until it is fenced and recorded again

  Scenario: A run of an unknown job is stopped and keeps its capacity until then
    # Guards against overbooked endpoints (LIMIT 11, trouble-2 of rncm-briarshed-grown,
    # after a change of leader): the records of ended jobs do not tell the resources of
    # runs that are still being stopped, and none were reserved for them.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    When "a" lists a run of an unknown job
    Then the run is to be stopped for "unknown job"
    And "a" has no more than the rest of its capacity free
    And nothing starts at "a" before that run has ended

  Scenario: An endpoint that is registered again accepts the polls of its leader
    # Guards against a leader that ends its own term: trouble-2 of rncm-briarshed-grown,
    # where nothing ran for 2.6 s. The registrations of a data centre that was cut off
    # had expired; when they were back, polls began with a lower token than before.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an order at "b" got no response, and a poll with a higher token was answered
    When "b" is not registered for a while and then again
    Then the next poll of "b" has a higher token than all before

  Scenario: Random events never start a task twice or overbook an endpoint
    Then random events keep to capacities, limits and one run per task

  Scenario: A new leader does not wait for an earlier incarnation of an instance
    # Guards against idle time after a change of leader: trial of moves on scale-1
    # (co-operative). The records named endpoints of moved instances, and restored jobs
    # did not start for 6.5 s after each change.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And a restored job with 1 task
    And endpoint "b" is a later incarnation on the instance of endpoint "a"
    When the registrations of the endpoints are read
    Then the task starts at "b" at once

  Scenario: A new leader waits for an endpoint that may have unknown runs
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And a restored job with 1 task
    When the registrations of the endpoints are read
    Then the task does not start before endpoint "a" is fenced or its runs have expired

  Scenario: A run of a later step that an earlier leader started is not started again
    # Guards against a task that runs twice: trial on scale-1 (co-operative), TWICE. The
    # end of the first step was not durable when the leader changed, so that the second
    # step became ready only after the new leader had adopted its run.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And a restored job with two steps of 1 task
    When "a" lists a run of the second step
    And "b" lists the success of the first step
    Then nothing is started
    When "a" lists the end of that run as "lapsed"
    Then the second step is started

  Scenario Outline: A new leader does not count a team's unknown runs as none
    # Guards against more runs of a team than its limit (QUOTA): a job that was
    # submitted to the new leader started while the runs of the earlier one were not
    # known yet.
    Given a new leader, a team limited to 2 tasks with a restored job of 2, and "b" polled
    When a job of 2 tasks of that team is submitted <where>
    Then none of its tasks is started
    When "a" lists <runs> runs of the restored job
    Then the team has 2 runs

    Examples:
      | where            | runs |
      | to the same pool | 2    |
      | to the same pool | 0    |
      | to another pool  | 2    |

  Scenario: A new leader lets teams without unknown runs start at once
    # Guards against waiting with all teams until every endpoint has responded.
    Given a new leader, a team limited to 2 tasks with a restored job of 2, and "b" polled
    When a job of 2 tasks of a team without a limit is submitted
    And a job of 2 tasks of a limited team without restored jobs is submitted
    Then all of their tasks are started

  Scenario: A new leader starts no copies for a team with unknown runs
    # Guards against more runs of a team than its limit (QUOTA).
    Given a new leader, a team limited to 2 tasks with a restored job of 2, and "b" polled
    And "b" lists an overdue run of a speculative step of that team, and "d" is free
    Then the run is not copied
    When "a" lists 0 runs of the restored job
    And the restored job is cancelled
    Then the run is copied
