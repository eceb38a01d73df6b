Feature: Urgent queues before ordinary ones when several pools are short

  Scenario Outline: Free instances go to the pool whose shortage is the most urgent
    # Pattern: turns of demand of several queues overlap. Guards against urgent jobs that
    # wait since an ordinary queue lacks more, against an ordinary queue that gets
    # nothing although urgent jobs have the room that they need, and against tasks that
    # run until cancelled and wait since another pool has urgent jobs.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the queue of "p0" has priority <first> and that of "p1" priority <second>
    When jobs wait that take all of <load> in "p0" and <other> in "p1"
    Then <moved> in reserve are moved to "p1" for "urgent demand", and the others to "p0" for "demand"

    Examples:
      | case                      | first | second | load | other | moved |
      | both are ordinary         | 1     | 1      | 20   | 6     | 0     |
      | the smaller one is urgent | 1     | 0      | 20   | 6     | 4     |
      | urgent, with little work  | 1     | 0      | 20   | 3     | 1     |
      | urgent, with room         | 1     | 0      | 20   | 1     | 0     |
      | urgent, but late          | 1     | 0      | 20   | late  | 0     |
      | short for long-running    | 0     | 9      | 20   | long  | 2     |

  Scenario: Many instances are free and several pools are short
    # Guards against a leader that is busy with moves that it does not order in this step:
    # 149 ms with 109 pools and 360 free instances.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And 96 more in reserve
    When jobs wait that take all of 60 in "p0" and 60 in "p1"
    Then 8 moves are planned, and as many pools are chosen

  Scenario: A pool gets its own instances before another one gets more urgent help
    # Guards against a queue that pays for each spell of a more urgent one.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And 2 of "p0" have been moved to the reserve
    And the queue of "p0" has priority 1 and that of "p1" priority 0
    When jobs wait that take all of 20 in "p0" and 20 in "p1"
    Then the first 2 moves go to "p0"
