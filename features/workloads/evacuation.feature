Feature: Evacuation of a data centre

  Scenario Outline: Changes of evacuations arrive in any order
    # Guards against a data centre that stays evacuated after a removal that a watch has
    # missed, and against an old change that undoes a newer one.
    Given no data centre is evacuated
    When an entry learns of <changes>
    Then <evacuated> is evacuated

    Examples:
      | changes                                        | evacuated |
      | d1 requested at 5                              | d1        |
      | d1 requested at 5; d1 removed at 7             | none      |
      | d1 removed at 7; d1 requested at 5             | none      |
      | d1 requested at 5; all at 9: none              | none      |
      | all at 9: none; d1 requested at 5              | none      |
      | all at 9: none; d1 requested at 10             | d1        |
      | d1 requested at 12; all at 9: none             | d1        |
      | all at 9: d1 since 4; all at 8: none           | d1        |
      | d1 requested at 5; d2 requested at 6           | d1, d2    |
      | d1 requested at 5; d2 requested at 6; d1 removed at 7 | d2 |
      | d1 removed at 7; all at 9: d1 since 8          | d1        |

  Scenario: Nothing starts in an evacuated data centre
    # Guards against a kind of start that does not ask whether its data centre is
    # evacuated (EVAC 1,033 times in the shared day evacuate).
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And "d1" is evacuated
    When a job with 6 tasks is planned
    Then 0 tasks start in "d1" and 4 in "d2"
    And its endpoints are "evacuated" in the log of waiting tasks
    When "d1" is returned and tasks are planned
    Then 2 tasks start in "d1" and 4 in "d2"

  Scenario: A start that was planned before the request is withheld
    # Guards against a start that was queued, or waited for a connection, while the
    # data centre was evacuated.
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And a job with 12 tasks is planned
    When "d1" is evacuated before the starts are sent
    Then 0 tasks were sent to "d1" and 4 to "d2"
    And 8 tasks wait again

  Scenario Outline: Starts wait while an evacuation may be in force that is not known
    # Guards against starts in an evacuated data centre by a leader whose reads fail while
    # its lease is renewed (EVAC), and against a fleet that starts nothing in an outage of
    # the store, in which nobody can request an evacuation.
    Given a leader with <basis> that read the evacuations <age> s ago
    And the store was back <back> s ago
    Then its starts are <outcome> with a limit of <limit> s

    Examples:
      | basis               | age | back | limit | outcome   |
      | a lease             | 4.9 | 90   | 5     | permitted |
      | a lease             | 5.1 | 90   | 5     | withheld  |
      | a lease             | 60  | 90   | 0     | permitted |
      | the others' consent | 60  | 90   | 5     | permitted |
      | a lease             | 60  | 1    | 5     | permitted |
      | a lease             | 60  | 5.1  | 5     | withheld  |

  Scenario: A gang of which a member is withheld does not wait in vain
    # Guards against a gang whose other members wait for one that cannot start (GANG).
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And a gang of 12 tasks is planned, of which those in "d2" are sent
    When "d1" is evacuated before the other starts are sent
    Then 0 tasks were sent to "d1" and 4 to "d2"
    And the 4 members in "d2" are to be stopped

  Scenario Outline: Long-running tasks relocate within their outage budgets
    # Guards against tasks that are stopped beyond the budget (AVAIL), or that are stopped
    # without an endpoint that could take them, and against tasks that end by themselves
    # losing their work.
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And <tasks> tasks run in "d1" and <other> in "d2"
    When "d1" is evacuated, and <stopped> of the step's tasks have been stopped
    Then <count> tasks are evicted

    Examples:
      | tasks                  | other | stopped | count |
      | 4 long-running budget 2 | 0    | 0       | 1     |
      | 4 long-running budget 2 | 0    | 2       | 0     |
      | 4 long-running budget 0 | 0    | 0       | 0     |
      | 4 long-running budget 2 | 4    | 0       | 0     |
      | 4 checkpointing        | 0     | 0       | 0     |

  Scenario Outline: A long-running task that can start nowhere holds up no other
    # Guards against a pool in which no task leaves an evacuated data centre, because one
    # waits that no endpoint elsewhere could run; and against a task that relocates into
    # the room of one that waits.
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And 4 long-running budget 2 tasks run in "d1" and 0 in "d2"
    And a long-running task that <requires> waits
    When "d1" is evacuated, and 0 of the step's tasks have been stopped
    Then <count> tasks are evicted

    Examples:
      | requires                    | count |
      | needs nothing else          | 0     |
      | requires "label d2"         | 0     |
      | requires "label d1"         | 1     |
      | needs 5 cores               | 1     |
      | has its other task at "c"   | 1     |

  Scenario Outline: Relocations take few looks at a crowd of waiting tasks
    # Guards against plans that look at each endpoint for each waiting task every 8 ms, and
    # against a relocation that stays blocked when the task that waited is gone.
    Given 30 endpoints in "d1" and 30 in "d2" that each run a long-running task
    And 200 long-running tasks with <limits> wait that no endpoint in "d2" could run
    And a long-running task waits that could run in "d2" when endpoints are empty
    When "d1" is evacuated, and 30 plans are made in 0.24 s
    Then the plans look at endpoints at most 300 times, and stop no task
    And a task relocates within 0.3 s once no such task waits

    Examples:
      | limits                  |
      | no limit per endpoint   |
      | a limit per endpoint    |

  Scenario: A fleet without room takes few looks at its endpoints
    # Guards against plans that look at each endpoint for each task that could relocate.
    Given 30 endpoints in "d1" and 30 in "d2" that each run a long-running task
    And the endpoints in "d2" have no room
    When "d1" is evacuated, and 30 plans are made in 0.24 s
    Then the plans look at endpoints at most 900 times, and stop no task

  Scenario: A job that only an evacuated data centre could run is refused
    # Guards against callers who wait for work that no endpoint may start.
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And "d1" is evacuated
    Then a job that requires "label d1" is confined, and one that requires "label d2" is not
    And a job that requires "label d1" is not confined with a spare instance that has it in "d2"

  Scenario: Instances in an evacuated data centre do not move into use
    # Guards against moves of instances at which nothing may start.
    Given a pool that lacks 2 instances and spare instances in "d1" and "d2"
    When "d1" is evacuated and moves are planned
    Then only the spare instance in "d2" moves

  Scenario: Cold endpoints get what warm ones have no room for
    # Guards against tasks that wait at a cold endpoint while a warm one is idle.
    Given 2 endpoints in "d1" and 1 in "d2", each for 4 tasks
    And the endpoints in "d1" are cold
    When a job with 6 tasks is planned
    Then 2 tasks start in "d1" and 4 in "d2"

  Scenario: Starts go on in an outage of the store that lasts longer than the limit
    # Guards against a fleet that starts nothing in such an outage, or just after it, since
    # its list of evacuations is old: nobody could request one.
    Given 4 entries, and 4 endpoints in each of two data centres, which get jobs
    When the store is away for 12 s while accepted jobs wait
    Then tasks start every 2 s from 6 s on until 2 s after its return

  Scenario Outline: A fleet learns of evacuations and returns in time
    # Guards against requests and removals that are forgotten, or kept, around a change of
    # the leader, an outage of the store, a partition or a wave, and against a watch that
    # misses them.
    Given 4 entries, and 4 endpoints in each of two data centres, which get jobs
    When "d1" is evacuated for 20 s, and <event>
    Then nothing starts in "d1" later than <known> s after the request
    And tasks start in "d1" within <back> s after its return

    Examples:
      | event                                            | known | back |
      | nothing else happens                             | 1.5   | 1.5  |
      | the leader is lost 0.05 s later                  | 1.5   | 4.5  |
      | the leader is lost 0.05 s before each            | 1.5   | 4.5  |
      | the store is away for 3 s around each            | 5     | 5    |
      | watches miss each                                | 4     | 4    |
      | a wave begins 1 s before                         | 1.5   | 4    |
      | an entry that joins takes the leadership         | 1.5   | 1.5  |
      | "d1" is cut off from 2 s to 8 s later            | 1.5   | 4    |
      | another request overlaps                         | 1.5   | 1.5  |
      | the leader cannot read the orders, but before its return | 4.5 | 1.5 |

  Scenario Outline: Reads that fail at all entries end no run
    # Guards against leaders that yield one after the other, since none can read the
    # evacuations, until the leases of all runs have lapsed.
    Given <count> entries whose endpoints run 16 long tasks
    When no entry can read the orders for 20 s
    Then the same entry leads, and all 16 tasks run on
    And tasks may start 4 s later

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: Each loss of authority begins a new count of withheld starts
    # Guards against a log that counts the time without authority as withheld.
    Given a leader with a lease that read the evacuations 6 s ago
    When its starts are withheld, and it regains authority 20 s later
    Then its log tells of starts withheld at 0 s and 20 s
