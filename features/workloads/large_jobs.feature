Feature: Jobs with thousands of tasks

  Scenario Outline: The cost of a plan does not grow with the tasks of a step
    # Guards against a large job that no leader survives (LOST): each placement visited all
    # tasks of the step, so that a plan took longer than the leader's lease.
    Given steps of 500 and of 5000 tasks <kind>
    When each leader has planned 10 times, and the starts are answered
    Then the longest plan for 5000 tasks makes at most twice the calls of that for 500

    Examples:
      | kind                                |
      | with a limit of tasks per endpoint  |
      | that last                           |
      | that may be copied                  |
      | with no further requirement         |

  Scenario Outline: The cost of <what> that find no room does not grow with the endpoints
    # Guards against a leader that has no time left for anything else while a pool is
    # full (SHORT): each plan asked every endpoint for each waiting task, and counted the
    # pending starts of all endpoints for each run that was overdue.
    Given pools of 10 and of 100 endpoints with room for smaller tasks only
    When each leader plans with 200 <what>
    Then the plan for 100 endpoints makes at most <most> times the calls of that for 10

    Examples:
      | what          | most |
      | waiting tasks | 2    |
      | overdue runs  | 2    |

  Scenario: A plan ends after a limited number of starts, and the next one goes on
    # Guards against a large job that no leader survives (LOST): thousands of starts were
    # planned and sent at once, and the lease could not be renewed meanwhile.
    Given 20 endpoints with room for 1000 tasks each, and a job of 5000 tasks
    When the leader plans until all tasks have been ordered, and the starts are answered
    Then no plan has more than 100 starts, and no endpoint has more than 16 without an answer
    And 50 plans were needed

  Scenario: Pools are planned beside a pool with a large job
    # Guards against jobs that wait (LOST) because a large job of another pool uses up the
    # starts of each plan.
    Given a job of 5000 tasks in one pool and a job of 1 task in another
    When the leader plans once
    Then the job of 1 task starts

  Scenario: Orders beyond a few for an endpoint wait before they are sent
    # Guards against starts that time out before they are sent (LOST): the time in which
    # thousands of calls waited for a connection counted as silence of the endpoint.
    Given 200 orders for one endpoint that take 0.01 s each
    When they are sent
    Then at most 4 are on their way at a time, and all are sent
    And the endpoint is full until half of 16 orders are left, which is reported once

  Scenario: Long-running tasks that start at one endpoint share polls
    # Guards against a large job that no leader survives (LOST): each long-running task that
    # started up polled its endpoint by itself.
    Given an endpoint at which 200 long-running tasks have just started
    When their start-up is watched for 3 s
    Then the endpoint is polled at most 10 times
    And it is not polled any more once they serve

  Scenario Outline: A new leader of <count> endpoints
    # Guards against a fleet that nobody leads for long (LOST): a new leader polled all
    # endpoints at once, most responses came after their time-out, and their endpoints
    # counted as silent and were polled again.
    Given <count> endpoints, and a leader that needs 1 ms for each poll in progress
    When it polls them for the first time, and <silent> of them do not respond
    Then at most 400 polls are in progress at a time
    And all others have responded once after <seconds> s

    Examples:
      | count | silent | seconds |
      | 300   | 0      | 0.4     |
      | 3000  | 0      | 4       |
      | 3000  | 1000   | 6       |

  Scenario: Waiting orders are not sent to an endpoint that has become silent
    # Guards against tasks that wait for calls to an endpoint that does not respond.
    Given 16 starts for an endpoint that does not respond
    When they are sent, and a poll is not answered either
    Then at most 4 are on their way, and the others wait again

  Scenario: The correction of a large job is divided into parts
    # Guards against a lease that cannot be renewed while the state of a large job is
    # checked.
    Given a leader with a job of 20000 tasks
    When its state is corrected
    Then no part checks more than 1000 tasks

  Scenario: The cost of evictions does not grow with the square of a step's tasks
    # Guards against a lease that cannot be renewed during maintenance beside a large job.
    Given jobs of 100 and of 1000 long-running tasks that run at one endpoint
    When the endpoint is drained
    Then the plan of evictions for 1000 makes at most 20 times the calls of that for 100
