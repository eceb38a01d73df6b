Feature: Own instances of a pool stand by or help another pool

  Scenario Outline: The next spell of demand is forecast from evidence that has repeated
    # Guards against instances that leave or return because of a pattern that there is
    # not. Pattern: shifts of demand, regular and irregular.
    Given spells of demand that started at <starts>
    Then at <now> s the next one is expected at <expected> s

    Examples:
      | case              | starts        | now | expected |
      | regular           | [0, 16, 32]   | 40  | 48       |
      | a little early    | [0, 16, 30]   | 40  | 45       |
      | irregular         | [0, 10, 32]   | 40  | none     |
      | seen twice        | [0, 16]       | 20  | none     |
      | demand that stops | [0, 16, 32]   | 60  | none     |

  Scenario Outline: Instances leave once a long spell of demand is over
    # Guards against a pool that pays for its way back with late jobs: in bench/turns.py
    # with spells of 4 s, moves for them earned 0.05 to 0.1 less.
    Given a pool of 8 instances with tasks that last on <need> and a spell of <spell> s
    Then <floor> have to be in it <quiet> s after the spell

    Examples:
      | case                      | need | spell | quiet | floor |
      | demand has just subsided  | 1    | 10    | 3     | 8     |
      | low demand                | 1    | 10    | 8     | 4     |
      | some long-running tasks   | 5    | 10    | 8     | 6     |
      | long-running everywhere   | 8    | 10    | 8     | 8     |
      | short spells              | 1    | 4     | 8     | 8     |
      | no spell                  | 1    | 0     | 8     | 8     |

  Scenario Outline: Work that is left over does not prolong a spell
    # Pattern: turns of 4 s that ask for more than the pool can do. Guards against moves
    # for a spell that is over by the time that an instance has moved.
    Given a pool of 8 instances with a spell of <spell> s that takes 6 s longer to work off
    Then <floor> have to be in it <quiet> s after the spell

    Examples:
      | spell | quiet | floor |
      | 4     | 15    | 8     |
      | 10    | 8     | 8     |
      | 10    | 15    | 4     |

  Scenario: Instances come back ahead of a spell that is forecast
    # Guards against a spell that starts with half of the pool (pattern: regular turns).
    Given a pool of 8 instances with a spell of 10 s every 40 s, seen 4 times
    Then 4 have to be in it 15 s before the next one, and 8 have to 5 s before it

  Scenario: A pool waits for longer than the last time without demand
    # Guards against instances that leave just before demand returns (pattern: irregular
    # turns), each time anew.
    Given a pool of 8 instances with spells of 10 s at 0, 30 and 45 s
    Then 8 have to be in it at 65 s, and 4 at 90 s

  Scenario: A job whose tasks must not share an instance
    # Guards against late jobs: an instance that is away cannot take one of its tasks.
    Given a pool of 8 instances after a spell, and an open job over 7 of them
    Then 7 have to be in it

  Scenario Outline: A job that needs all instances of its pool
    # Guards against a job that waits for ever: what it needs has left the pool.
    Given a pool, and an open job with <step>
    Then all instances of the pool have to be in it

    Examples:
      | step              |
      | a required label  |
      | a gang            |
      | an accelerator    |

  Scenario: Demand returns early while the instances help another pool
    # Guards against a borrower that keeps what the pool needs itself: trial on quiet-1
    # (gtd), 0.34 of the worst kind of request; 6 s of its turn had passed before.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And the 4 in reserve and 2 of "p0" have been moved to "p1"
    When tasks for 40 instances wait in "p0" and in "p1"
    Then 2 instances of "p1" get no new runs and move to "p0"

  Scenario: The leader changes while instances are away
    # Guards against instances that never return: a new leader does not know the demand.
    Given pools "p0" and "p1" of 4 instances each and 4 in reserve
    And 2 of "p0" have been moved to the reserve
    When a new leader plans its first moves
    Then 2 instances in reserve are moved to "p0", and no other moves

  Scenario: A move back whose response is lost
    # Guards against an instance that is forgotten after an unknown outcome.
    Given a pool that is short of 2 instances, and "m1" and "m2" in reserve
    And the response to the first move of each is lost, and has no effect
    When the lease time has passed twice
    Then it has moved both "m1" and "m2" in the end

  Scenario Outline: The next leader knows the spells of demand
    # Guards against instances that stay in an idle pool until a new leader has seen a
    # spell end, and against a pool that is short when callers return after an outage.
    Given a pool of 8 instances with a spell of 10 s every 40 s, seen 4 times
    And a new leader at <at> s, for whom the pool has 4 of its instances
    Then <floor> have to be in it at <now> s

    Examples:
      | case                    | at  | now | floor |
      | demand is not known yet | 132 | 134 | 8     |
      | demand is low           | 132 | 145 | 4     |
      | ahead of the next spell | 132 | 155 | 8     |

  Scenario: A spell that lasts while the leader changes
    # Guards against a spell that seems to have ended and begun anew, so that the next
    # one is no longer forecast.
    Given a pool of 8 instances with a spell of 10 s every 40 s, seen 4 times
    And a new leader in the middle of the next spell
    Then it knows one spell that began at 160 s

  Scenario Outline: A spell whose end no leader has seen
    # Guards against time without a leader that counts as demand, so that instances leave
    # pools whose spells are short.
    Given a pool of 8 instances with a spell of 5 s every 40 s, seen <count> times
    And it has another at 160 s, and no leader between 162 s and 1000 s
    Then it knows <known> spells, of 5 s each
    And 8 have to be in it at 1010 s

    Examples:
      | count | known |
      | 0     | 0     |
      | 3     | 4     |

  Scenario: A pool is removed during a spell
    # Guards against spells of a removed pool that are recorded for ever, and change how
    # many instances stay in others.
    Given a pool of 8 instances with a spell of 5 s every 40 s, seen 3 times
    And a pool that has been removed since, with a spell from 100 s on
    When another leader measures the first pool from 1000 s to 1010 s
    Then only the first pool has spells
    And 8 have to be in it at 1010 s

  Scenario: Spells are recorded also when nothing is moved
    # Guards against a leader that loses what its predecessor has seen since its last
    # move, and against times of a boot clock that another machine does not share.
    Given a pool that is short of 2 instances, and "m1" and "m2" in reserve
    And records of an earlier version
    When the lease time has passed twice
    And its demand ends
    Then the last record has a spell that started less than 60 s ago and has ended
