Feature: How long runs may go on at an endpoint that does not respond

  Scenario Outline: A task is not started again while its endpoint may keep the run
    # Guards against a task that runs twice (TWICE): the deadline of a call is far ahead on
    # the clock of an endpoint that has restarted unseen, and ahead on that of a slow clock
    # that was read long ago.
    Given two entries, and an endpoint "a" that <state>
    When a task is started at "a", which is cut off then, and the leader <event>
    Then the task is started elsewhere, and not before "a" has ended the run

    Examples:
      | state                                     | event   |
      | was idle for 20 s                         | goes on |
      | was idle for 20 s                         | resigns |
      | was idle for 20 s                         | ends    |
      | was idle for 300 s and has a slow clock   | goes on |
      | was idle for 300 s and has a slow clock   | resigns |
      | was idle for 300 s and has a slow clock   | ends    |
      | was idle for 5 s and has restarted unseen | goes on |
      | was idle for 5 s and has restarted unseen | resigns |
      | was idle for 5 s and has restarted unseen | ends    |

  Scenario Outline: A next leader knows that an endpoint may have a late deadline
    # Guards against a task that runs twice (TWICE, issue 52): an endpoint that had restarted
    # under its name carried out a poll for its earlier incarnation, whose deadline was far
    # ahead on its clock. Only the leader of that time knew that it may have.
    Given three entries, and an endpoint "a" that was idle for <idle> s
    When "a" restarts, and carries out a poll for its earlier incarnation <late> s later
    And a task is started at "a", which is cut off <cut> s after its restart
    And the leader is killed <kills> after the restart
    Then the task is started elsewhere, and not before "a" has ended the run
    And the task is started elsewhere at most <most> s after the last kill

    Examples:
      | idle | late | cut | kills             | most |
      | 20   | 0.01 | 2.6 | after 2.0 s       | 16   |
      | 20   | 0.01 | 1.0 | after 2.0 s       | 16   |
      | 20   | 0.01 | 4.0 | after 2.0 s       | 16   |
      | 20   | 0.01 | 2.6 | after 2.0 and 3.9 s | 16   |
      | 20   | 0.01 | 3.7 | after 2.0 and 3.9 s | 16   |
      | 300  | 0.01 | 2.6 | after 2.0 s       | 16   |

  Scenario Outline: A task waits no longer for an endpoint that has not restarted lately
    # Guards against tasks that wait for 6 s more (LOST) at each change of the leader with an
    # endpoint that does not respond.
    Given three entries, and an endpoint "a" that was idle for 20 s
    When "a" <state>
    And a task is started at "a", which is cut off 2.6 s after that
    And the leader is killed after 2.0 s after the restart
    Then the task is started elsewhere, and not before "a" has ended the run
    And the task is started elsewhere at most 7.5 s after the last kill

    Examples:
      | state                      |
      | goes on                    |
      | has restarted 60 s before  |

  Scenario Outline: A start without a response may be carried out by a restarted endpoint
    # Guards against a task that runs twice (TWICE, issue 52): an endpoint that was cut off
    # before it registered again carried out a start for its earlier incarnation, which the
    # next leader did not know of, or kept the run for longer than the leader expected.
    Given three entries, and an endpoint "a" that was idle for 20 s
    When "a" is silent for <silent> s, and restarts unseen
    And it carries out a start <late> s after that was sent, although it is cut off
    And the leader is killed <kills> after the restart
    Then the task is started elsewhere, and not before "a" has ended the late run
    And the task is started elsewhere at most <most> s after the last kill

    Examples:
      | silent | late | kills               | most |
      | 0.6    | 0.8  | after 1.4 s         | 16   |
      | 0.6    | 2.5  | after 1.4 s         | 16   |
      | 0.6    | 2.5  | after 0.1 s         | 16   |
      | 0.6    | 2.5  | after 0.1 and 4.0 s | 16   |
      | 3.0    | 3.2  | after 0.5 s         | 16   |

  Scenario Outline: A next leader learns late that an endpoint has restarted
    # Guards against a task that runs twice (TWICE, issue 52): the leader was killed before it
    # had recorded a start without a response, and the endpoint registered again when the
    # next one had read the registrations.
    Given three entries, and an endpoint "a" that was idle for 20 s
    When "a" is silent for 0.2 s, and restarts unseen
    And it carries out a start <late> s after that was sent, although it is cut off
    And it registers <registers> s after the restart
    And the leader is killed <kills> after the restart
    Then the task is started elsewhere, and not before "a" has ended the late run
    And the task is started elsewhere at most <most> s after the last kill

    Examples:
      | late | registers | kills        | most |
      | 0.3  | 3.0       | after 0.05 s | 16   |
      | 2.0  | 3.0       | after 0.05 s | 16   |
      | 2.0  | 5.0       | after 0.05 s | 16   |

  Scenario Outline: A start may have been answered by a restarted endpoint
    # Guards against a task that runs twice (TWICE, issue 52): a restarted endpoint answered a
    # start for its earlier incarnation and was cut off before a poll. The next leader
    # did not know that its lease is longer.
    Given three entries, and an endpoint "a" that was idle for 20 s
    When "a" is silent for <silent> s, and restarts unseen
    And it answers a start <late> s after that was sent, and is cut off
    And the leader is killed <kills> after the restart
    Then the task is started elsewhere, and not before "a" has ended the run
    And the task is started elsewhere at most <most> s after the last kill

    Examples:
      | silent | late | kills       | most |
      | 0.1    | 0.2  | after 0.5 s | 16   |
      | 0.2    | 0.3  | after 0.3 s | 16   |
      | 0.2    | 0.3  | after 1.5 s | 16   |

  Scenario Outline: A leader waits for a start that a restarted endpoint may carry out
    # Guards against a task that runs twice (TWICE, issue 52): the leader counted the longest
    # run lease from when it sent the start, which the endpoint carried out seconds later.
    Given three entries, and an endpoint "a" that was idle for 20 s
    When "a" is silent for <silent> s, and restarts unseen
    And it carries out a start <late> s after that was sent, although it is cut off
    And the leader goes on
    Then the task is started elsewhere, and not before "a" has ended the late run

    Examples:
      | silent | late |
      | 0.6    | 0.8  |
      | 0.6    | 2.5  |
      | 2.0    | 2.9  |
