Feature: Endpoints that start again under their name

  Scenario Outline: An order on its way is not given up when its endpoint has restarted
    # Guards against a task that runs twice at the same time (TWICE): the restarted
    # endpoint carried the order out after the leader had started the task elsewhere.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And an order of the task is on its way to "a"
    When "a" <evidence>
    Then nothing is started
    When <outcome>
    And the later incarnation of "a" <list> the run in response to a poll
    Then the task <result>

    Examples:
      | evidence                                   | outcome                   | list          | result           |
      | answers a poll as a later incarnation      | the order is accepted     | lists         | runs only at "a" |
      | answers a poll as a later incarnation      | the order has no response | lists         | runs only at "a" |
      | answers a poll as a later incarnation      | the order is not answered yet | lists     | runs only at "a" |
      | answers a poll as a later incarnation      | the order has no response | does not list | waits            |
      | is registered as a later incarnation       | the order is accepted     | lists         | runs only at "a" |
      | is registered as a later incarnation       | the order has no response | lists         | runs only at "a" |
      | is registered as a later incarnation       | the order is not answered yet | lists     | runs only at "a" |
      | is registered as a later incarnation       | the order has no response | does not list | waits            |
      | closes its connection and refuses new ones | the order is accepted     | lists         | runs only at "a" |
      | closes its connection and refuses new ones | the order has no response | lists         | runs only at "a" |
      | closes its connection and refuses new ones | the order is not answered yet | lists     | runs only at "a" |
      | closes its connection and refuses new ones | the order has no response | does not list | waits            |

  Scenario Outline: A run that only its order tells of is not removed with an incarnation
    # Guards against a task that runs twice (TWICE): the response to a start does not tell
    # the incarnation. The run belonged to the restarted endpoint, and was removed when
    # the restart became known.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And an order of the task is on its way to "a"
    When the order is accepted
    And "a" <evidence>
    Then nothing is started
    When the later incarnation of "a" lists the run in response to a poll
    Then the task runs only at "a"

    Examples:
      | evidence                              |
      | answers a poll as a later incarnation |
      | is registered as a later incarnation  |

  Scenario Outline: An order that outlives its call
    # Guards against a task that runs twice (TWICE): an order that was held up on its way
    # is carried out after the leader has taken it for settled, by an incarnation that
    # has not seen the higher token.
    Given a leader with two endpoints, and a start that is carried out late
    When there is no response to it, and its endpoint <event>
    Then the task has had one run at a time

    Examples:
      | event                                                |
      | answers a poll with a higher token and then restarts |
      | ends, refuses a connection and restarts              |

  Scenario Outline: An order that was refused is given up at once
    # Guards against a task that waits for an endpoint that has refused it.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And an order of the task is on its way to "a"
    When "a" <evidence>
    And the order is refused
    Then the task waits

    Examples:
      | evidence                                   |
      | answers a poll as a later incarnation      |
      | is registered as a later incarnation       |
      | closes its connection and refuses new ones |

  Scenario Outline: An order stays open while the restarted endpoint may run it unseen
    # Guards against a task that runs twice (TWICE): the endpoint carries the order out,
    # falls silent, and its new clock does not end the run by the deadline of the order.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And an order of the task is on its way to "a"
    When "a" <evidence>
    And the order has no response
    And "a" does not respond to polls for <seconds> s
    Then the task <result>

    Examples:
      | evidence                                   | seconds | result           |
      | answers a poll as a later incarnation      | 5       | runs only at "a" |
      | answers a poll as a later incarnation      | 12      | waits            |
      | is registered as a later incarnation       | 5       | runs only at "a" |
      | is registered as a later incarnation       | 12      | waits            |
      | closes its connection and refuses new ones | 5       | runs only at "a" |
      | closes its connection and refuses new ones | 12      | waits            |

  Scenario Outline: What an earlier incarnation has sent is no evidence of a restart
    # Guards against a task that runs twice (TWICE): a late response or registration of
    # an earlier incarnation removed the runs of the present one.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    When "a" restarts with a <clock> clock and runs the task
    And <what> incarnation arrives
    Then the task runs only at "a"
    And "a" is still polled as the present incarnation

    Examples:
      | clock    | what                                |
      | later    | a response to a poll of the earlier |
      | later    | a response to a poll of an unseen   |
      | later    | the registration of the earlier     |
      | set-back | a response to a poll of the earlier |
      | set-back | the registration of the earlier     |

  Scenario: A poll that was sent before the outcome was unknown does not settle an order
    # Guards against a task that runs twice (TWICE): the response was late and of an
    # incarnation that had ended, and the next one had carried the order out.
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    And an order of the task is on its way to "a"
    When "a" answers a poll as a later incarnation
    And the order has no response
    And "a" lists no runs in response to a poll that was sent before
    Then nothing is started
    When the later incarnation of "a" lists the run in response to a poll
    Then the task runs only at "a"

  Scenario: An order that the next incarnation refuses does not end the term
    # Guards against a leader that ends its own term: it compared the token of an order
    # that was handed over with that of the earlier incarnation.
    Given a leader with an order on its way to an endpoint that registers again
    When the later incarnation refuses the order for its token
    Then the term goes on

  Scenario: An endpoint that restarts under its name keeps one poll loop
    # Guards against polls that are billed twice, and whose late responses contradict each
    # other: each restart that a poll showed started a further loop.
    Given a leader that polls an endpoint
    When polls show two restarts, and the registrations are read again
    Then it has one poll loop

  Scenario: An endpoint that has restarted unseen does not forget its new ends
    # Guards against a task that starts again after its success (TWICE): polls went on
    # to acknowledge the ends of the earlier incarnation, and the numbers of ends start
    # anew.
    Given a leader and an endpoint that has forgotten an acknowledged end
    When it restarts unseen and a run there succeeds before the next poll
    Then the success is noted

  Scenario: An end is not acknowledged while a start may be at the next incarnation
    # Guards against a task that starts again after its success was acknowledged (TWICE):
    # the first acknowledgement of an end of the earlier incarnation reached the next one
    # after a start there, of which no poll had told, and covered the number of its end.
    Given a leader and an endpoint that has listed an end, which is durable
    When it restarts unseen and a run there succeeds before that end is acknowledged
    Then the success is noted
    And the first end is acknowledged by a later poll if the endpoint has not restarted

  Scenario: An acknowledgement that is held up covers no end of the next incarnation
    # Guards against the same (TWICE, seed 5115 of late_calls.feature): the poll with the
    # acknowledgement was on its way while the endpoint restarted, and arrived after a run
    # of the next incarnation had succeeded.
    Given a leader and an endpoint that has listed an end, which is durable
    When its acknowledgement is held up until a run after an unseen restart has succeeded
    Then the success is noted

  Scenario Outline: Tasks run once at a time while endpoints restart under load
    # Guards against a task that runs twice (TWICE) on a day on which endpoints start
    # again within a fraction of a second, while orders are on their way.
    Given entries and endpoints that restart <how> at random times, seed <seed>
    When jobs are submitted for 20 s
    Then no task has had two runs at the same time
    And every job has ended

    Examples:
      | how    | seed |
      | silent | 1    |
      | silent | 2    |
      | closed | 1    |
      | closed | 2    |
      | closed | 3    |
      | closed | 7    |
