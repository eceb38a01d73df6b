Feature: Uneven endpoints and uneven work

  Scenario Outline: The speed of an endpoint comes from its own runs
    # Pattern: srv_slow, a long tail of run times. Guards against an endpoint that gets
    # nothing because of one long task, and one that gets work although all its runs
    # take long.
    Given 4 endpoints where runs take as long as expected
    When endpoint "a" has <runs>
    Then it <verdict> as slow

    Examples:
      | runs                                           | verdict       |
      | 1 ended run that took 7 times as long          | doesn't count |
      | 2 ended runs that took 7 times as long         | doesn't count |
      | 4 ended runs that took 4 times as long         | counts        |
      | 1 run in progress at a seventh of the pace     | doesn't count |
      | 3 runs in progress at a quarter of the pace    | counts        |
      | 4 best-effort runs that took 4 times as long   | doesn't count |
      | 4 off-rack runs that took 4 times as long      | doesn't count |

  Scenario Outline: Few runs tell little of an endpoint's speed
    # Patterns: srv_slow with few tasks at each endpoint, a long tail. Guards against an
    # endpoint that is used last because of one long task, and against one that gets as
    # much as others until it has had many.
    Given 4 endpoints that have run nothing
    When endpoint "a" has <runs>
    Then it <verdict> as slow
    And it gets fewer of the next tasks than others

    Examples:
      | runs                                   | verdict       |
      | 1 ended run that took 5 times as long  | doesn't count |
      | 2 ended runs that took 6 times as long | counts        |

  Scenario Outline: The speed of an endpoint is not kept for ever
    # Guards against an endpoint that never gets work again, since only work would show
    # that it is no longer slow.
    Given an endpoint that counts as slow
    When <change>
    Then it doesn't count as slow

    Examples:
      | change                                |
      | it restarts under its name            |
      | 11 s pass without runs there          |

  Scenario: Runs of different images tell the same speed
    # Guards against an endpoint that counts as slow because it runs the slow images:
    # estimates of callers are rough.
    Given 4 endpoints where runs take as long as expected
    When 20 tasks of an image that takes 4 times its estimate end at endpoint "a"
    Then it doesn't count as slow

  Scenario Outline: An image's expected run time
    # Pattern: three tasks in a hundred take seven times as long. Guards against jobs
    # that count as late because one task of their image took long.
    Given tasks of an image with estimates of <estimates> that take <times>
    Then a task with an estimate of 1 s is expected to take <least> to <most> s

    Examples:
      | estimates  | times                            | least | most |
      | 1 s        | as long                          | 0.9   | 1.1  |
      | 1 s        | as long, and the last one 7 s    | 0.9   | 1.1  |
      | 1 s        | 3 times as long                  | 2.7   | 3.1  |
      | 1 or 4 s   | twice as long                    | 1.8   | 2.1  |
      | 1 or 4 s   | 2 s                              | 1.8   | 2.1  |

  Scenario Outline: A task waits for a better endpoint while it ends sooner there
    # Patterns: hot_key (many jobs want the same rack), srv_slow. Guards against work
    # that goes elsewhere at a cost although its place is free at once, and against work
    # that waits although it would have ended elsewhere.
    Given a step of 1 s whose data lies in the rack of "a", which is full for <seconds> s
    And the task takes <factor> times as long at "b", since it is <reason>
    When the task's turn comes
    Then it <decision>

    Examples:
      | seconds | factor | reason   | decision       |
      | 0.2     | 1.5    | off rack | waits for "a"  |
      | 0.8     | 1.5    | off rack | starts at "b"  |
      | 0.8     | 3      | off rack | waits for "a"  |
      | 1.5     | 3      | off rack | starts at "b"  |
      | 0.8     | 4      | slow     | waits for "a"  |

  Scenario: The tasks of a step wait one by one
    # Guards against a step of which all tasks wait since the first one does.
    Given a step of 1 s whose data lies in the rack of "a", which is full for 0.2 s
    And the task takes 1.5 times as long at "b", since it is off rack
    When the turns of 2 tasks of one such job come
    Then one task waits for "a" and the other starts at "b"

  Scenario: Tasks do not wait for the same room
    # Guards against a crowd that waits for one endpoint of a hot rack.
    Given a step of 1 s whose data lies in the rack of "a", which is full for 0.2 s
    And the task takes 1.5 times as long at "b", since it is off rack
    When the turns of 2 such jobs come
    Then one task waits for "a" and the other starts at "b"

  Scenario: A task waits for a limited time
    # Guards against a task that never starts (LOST): the expected ends may be wrong.
    Given a step of 1 s whose data lies in the rack of "a", which is full for 0.8 s
    And the task takes 3 times as long at "b", since it is off rack
    When the task's turn comes
    And "a" is full for another 0.3 s, 1.1 s later
    Then it starts at "b"

  Scenario: An endpoint where a task has failed gets less
    # Pattern: srv_grey, srv_lying_health. An endpoint that fails all that it starts is
    # empty sooner than others, and would get the most until it is ejected.
    Given 2 endpoints with room for 4 tasks, of which "a" has failed one
    When 3 tasks start
    Then 1 task starts at "a"
