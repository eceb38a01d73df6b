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

  Scenario Outline: What a caller is told if a part of its job may have been sent
    # Guards against 503, which says that the job never runs, for one that may run, and
    # against 504 for one that was never sent, which the caller has to ask for.
    Given an entry of a leader that <leader>
    And <room> for what it forwards
    When a caller sends <what>
    Then it is told <status>

    Examples: jobs that fit
      | leader                                     | room    | what  | status |
      | accepts jobs                               | room    | a job | 200    |
      | refuses jobs                               | room    | a job | 503    |
      | does not lead any more                     | room    | a job | 503    |
      | is silent                                  | room    | a job | 504    |
      | is silent                                  | no room | a job | 503    |
      | is silent and later refuses jobs           | room    | a job | 503    |
      | is silent and later does not lead any more | room    | a job | 504    |

    Examples: jobs without memory for their body
      | leader            | room | what                         | status |
      | knows no such job | room | a job beyond the memory      | 503    |
      | knows the job     | room | a job beyond the memory      | 504    |
      | is silent         | room | a job beyond the memory      | 504    |
      | knows no such job | room | the job again, beyond memory | 504    |
