Feature: How long runs may go on at an endpoint that does not respond

  Scenario Outline: A task is not started again while its endpoint may keep the run
    # Guards against a task that runs twice (TWICE): the deadline of a call is far ahead on
    # the clock of an endpoint that has restarted unseen, and ahead on that of a slow clock
    # that was read long ago. Both leaders counted the lease from their own intention.
    Given two entries, and an endpoint "a" that <state>
    When a task is started at "a", which is cut off then, and the leader <event>
    Then the task is started elsewhere, and not before "a" has ended the run

    Examples:
      | state                                     | event    |
      | was idle for 20 s                         | goes on  |
      | was idle for 20 s                         | resigns  |
      | was idle for 20 s                         | ends     |
      | was idle for 300 s and has a slow clock   | goes on  |
      | was idle for 300 s and has a slow clock   | resigns  |
      | was idle for 300 s and has a slow clock   | ends     |
      | was idle for 20 s and has restarted unseen | goes on |
      | was idle for 20 s and has restarted unseen | resigns |
      | was idle for 20 s and has restarted unseen | ends    |
