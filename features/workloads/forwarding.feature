Feature: Requests that an entry forwards to the leader

  Scenario: The number of an attempt is that of the arrival of its head
    # Guards against a job that runs although its caller was told that it never does
    # (503): a request whose body took long counted as later than one that came after
    # it and was refused.
    Given an entry of a leader that refuses jobs
    When a caller sends a head, and its body 2 s later
    Then the attempt counts from the arrival of the head

  Scenario: A request that is given up waits for no reply
    # Guards against memory that each caller who leaves would take.
    Given an entry of a leader that is silent
    When a submission and a query are given up after 0.2 s
    Then no reply is awaited

  Scenario: A query does not hold up a large submission
    # Guards against a job over 1 MB that is refused while a query waits for its reply.
    Given an entry of a leader that is silent
    When a query is sent, and then a job of 2000000 bytes
    Then 1 job has been sent

  Scenario Outline: What a leader that reads nothing gets from an entry
    # Guards against a leader that runs out of memory once it reads again, and against a
    # job that is never sent because it is large.
    Given an entry of a leader that is silent
    When <count> jobs of <size> bytes are sent at once
    Then <sent> jobs have been sent
    And <again> jobs have been sent when the leader has answered those

    Examples:
      | count | size    | sent | again |
      | 30    | 100000  | 10   | 20    |
      | 3     | 2000000 | 1    | 2     |
      | 30    | 30000   | 30   | 30    |

  Scenario: Another leader gets what the last one did not read
    Given an entry of a leader that is silent
    When 30 jobs of 100000 bytes are sent at once
    And another entry leads
    Then 20 jobs have been sent
