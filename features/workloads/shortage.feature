Feature: Too little room: which jobs are delayed or refused

  Scenario Outline: A pool gets more work than it can do in time
    # Pattern: turns of demand. Guards against jobs that each get room as they become
    # late: then none is in time.
    Given 6 jobs that each take the whole pool for 1 s and are due in <due> s
    When it is decided which of them give way
    Then <count> give way

    Examples:
      | due | count |
      | 6   | 0     |
      | 3   | 3     |
      | 0.5 | 6     |

  Scenario Outline: Which job gives way
    # Guards against room that is taken by what loses less for it. Two jobs are due in
    # 2 s, and the pool can do one of them.
    Given a job that loses <loss> for <work> s of work, of tier <tier>
    And another that loses 1.5 for 1.5 s of work, of tier 1
    When it is decided which of them give way
    Then the <first or other> one gives way

    Examples:
      | loss | work | tier | first or other | why                                      |
      | 1.4  | 1.5  | 1    | first          | it loses less                            |
      | 1.5  | 0.6  | 1    | other          | the first has started: less work is left |
      | 0.1  | 1.5  | 0    | other          | the first has a higher priority          |
      | 9.0  | 1.5  | 2    | first          | it is beyond the share of its team       |

  Scenario Outline: The jobs of a pool are not all ranked at each plan
    # Guards against a leader that is busy with the order of waiting jobs: each plan ranked
    # all of them, and each choice of those that give way stood for 50 ms, also where it
    # took 40 ms.
    Given a pool with <jobs> waiting jobs
    When their order is asked for every 0.01 s for 1 s, and one job arrives each time
    Then at most <most> jobs are ranked

    Examples:
      | jobs  | most   |
      | 100   | 3500   |
      | 1000  | 11500  |

  Scenario: The Unix clock steps back by an hour
    # Guards against estimates that stand until the clock has made up for the step.
    Given a job of 8 tasks of 1 s, and 2 s of work of its pool
    When half of its tasks succeed, and the Unix clock steps back by an hour
    Then 1 s of work is left

  Scenario: Large jobs are not always those that give way
    # Guards against a largest tenth of the jobs that is never in time.
    Given a pool with room for 4 of 8 tasks, and a started job of 4 tasks
    And 2 jobs of 1 task that arrived later
    When waiting tasks are placed in a shortage
    Then the started job goes on first

  Scenario: The largest jobs of a queue in a long shortage
    # Pattern: turns of demand in a pool with little room. Guards against a largest tenth
    # whose result is worth nothing, since small jobs are kept in time and late (Sizes).
    Given a pool that can do half of the work of 40 small jobs and 4 large ones late
    When the order of the jobs is asked
    Then the large jobs are of use at least half as often as all jobs

  Scenario: Jobs of one team beyond its weight in a shortage
    # Pattern: hot team. Guards against late jobs of the crowd before late ones of others.
    Given a pool that is late, with 6 jobs of a team of weight 1 and 2 of another after it
    When the order of the jobs is asked
    Then the jobs of the other team come before those beyond the weight of the first

  Scenario Outline: A job arrives while the crowd of a team waits
    # Pattern: hot team. Guards against refusals that hit another team than the one that
    # asks for more than its weight.
    Given a pool in which 20 s of work of a team of weight 1 wait
    When a job of 1 s of the <team> arrives
    Then it is <decision>

    Examples:
      | team         | decision |
      | same team    | refused  |
      | other team   | accepted |

  Scenario: A refused job beyond the weight of its team comes back
    # Pattern: hot team. Guards against callers who use the share of their team's later
    # jobs, since they were refused.
    Given a team of weight 1 with 2 jobs, and a third that was refused
    When the third is submitted again 2 s later, with 2 new jobs of the team after it
    Then the third is beyond the share, and the new jobs are within it

  Scenario Outline: How long it is kept that a job was refused
    # Guards against a job that keeps its place for ever as its caller returns, and against
    # records that grow without limit after a step back of the Unix clock.
    Given a team of weight 1 with 2 jobs that were refused within its share, and 1 beyond
    When <what> <seconds> s later
    Then the first is <first> and the last <last> the share

    Examples:
      | what                                | seconds | first  | last   |
      | all come back every 10 s, up to     | 50      | within | beyond |
      | all come back every 10 s, up to     | 70      | within | within |
      | another job is refused              | 0       | within | beyond |
      | another job is refused              | -3600   | beyond | beyond |

  Scenario Outline: A job arrives while others are late
    # Guards against callers who wait for a result that is worth nothing (pattern: burst),
    # and against refusals that help nobody.
    Given a pool with <backlog> s of work that waits, planned <age> s ago
    When a job of 1 s arrives that its caller asked for <waited> s ago
    Then it is <decision>

    Examples:
      | backlog | age | waited | decision |
      | 0       | 0.1 | 0      | accepted |
      | 1       | 0.1 | 0      | accepted |
      | 4       | 0.1 | 0      | accepted |
      | 20      | 0.1 | 0      | refused  |
      | 20      | 2   | 0      | accepted |
      | 0       | 0.1 | 60     | accepted |

  Scenario Outline: Many callers are refused
    # Guards against callers who all come back at the same second, for which there is room
    # for a few of them (300 of 300 were told 1 s).
    Given a pool with 20 s of work that waits, planned 0.1 s ago
    When 300 jobs of <work> s arrive within <seconds> s while it is planned every 0.05 s
    Then at most <most> of the refused are told to come back at the same second
    And none is told to wait for more than 10 s longer than the first

    Examples:
      | work | seconds | most |
      | 1    | 0       | 40   |
      | 1    | 1       | 40   |
      | 0.1  | 1       | 40   |

  Scenario: An urgent job is refused after many others
    # Guards against an urgent caller who waits for the room of less urgent ones.
    Given a pool with 20 s of work that waits, planned 0.1 s ago
    When jobs of 1 s in a queue of a higher priority arrive until one is refused
    Then that one is told the same delay as after 303 refused jobs of the other queue

  Scenario: A job arrives while nothing can start
    # Guards against callers who wait for nothing, since a pool that stays full for long
    # is not planned (pattern: turns of demand).
    Given a pool whose endpoints are full for 3 s, while 7 s of work arrive each second
    When a job of 1 s arrives that its caller asked for 0 s ago
    Then it is refused

  Scenario: An urgent job arrives while others are late
    # Pattern: burst of urgent jobs. Guards against a refusal because of work that is
    # served after it.
    Given a pool with 20 s of work that waits, planned 0.1 s ago
    When a job of 1 s arrives in a queue of a higher priority
    Then it is accepted

  Scenario: A job arrives just after others were cancelled
    # Guards against refusals because of jobs whose callers have given up (pattern: many
    # jobs are cancelled).
    Given a pool with 20 s of work that waits, planned 0.1 s ago
    When its jobs are cancelled, and a job of 1 s arrives before the next plan
    Then it is accepted

  Scenario: A caller that comes back after the crowd has gone
    # Guards against a caller who was refused once and is refused for as long as any job
    # of the pool is late, with a delay that says that there is room by then.
    Given a pool with 0 s of work that waits, planned 0.1 s ago
    And one of its jobs is late
    When a job of 1 s arrives that its caller asked for 20 s ago
    Then it is accepted

  Scenario: A job that is late whatever gives way
    # Guards against jobs that give way to one that is late all the same.
    Given jobs that could all be done in time, and one larger that cannot
    When those that give way are chosen
    Then the larger one gives way, and no other

  Scenario Outline: A refused job that was sent twice
    # Guards against a refusal that does not remain true (REFUSED).
    Given 3 entries, and a job that the leader has refused
    When <message> arrives <seconds> s later, and there is room again
    Then the job is <result>

    Examples:
      | message                                  | seconds | result       |
      | the same request                         | 0.5     | not accepted |
      | an earlier request of its caller         | 0.5     | not accepted |
      | an earlier request of its caller         | 70      | not accepted |
      | a new request of its caller              | 1       | accepted     |
      | a request for another leader             | 0.5     | not accepted |

  Scenario Outline: A job whose body an entry has no memory for
    # Guards against a job that runs although its caller was told that it never does
    # (503): an earlier request for it was held up on its way from another entry.
    Given 3 entries, and one of them without memory
    When it refuses a job, and <message> arrives <seconds> s later
    Then its caller was told 503
    And the job is <result>

    Examples:
      | message                          | seconds | result       |
      | an earlier request of its caller | 0.5     | not accepted |
      | an earlier request of its caller | 70      | not accepted |
      | a new request of its caller      | 1       | accepted     |

  Scenario Outline: A refusal that the leader cannot keep
    # Guards against 503, which says that the job never runs, for one that may run.
    Given 3 entries, and one of them without memory
    When it refuses a job, and the leader <state>
    Then its caller was told 504

    Examples:
      | state                            |
      | has accepted it before           |
      | keeps as many refusals as it can |
      | has not read the records         |
      | has lost its authority           |

  Scenario: The leader changes in a shortage
    # Guards against a refusal by a leader that does not know of an acceptance, and
    # against one that is taken as final although a later leader may have accepted.
    Given 3 entries, and a job that the leader has refused
    When another entry leads, and its caller submits it again
    Then the job is accepted

  Scenario: The crowd of one team when the leader changes
    # Guards against a crowd that delays others once another entry leads.
    Given a pool that is late, with 6 jobs of a team of weight 1 and 2 of another after it
    When the next leader has restored the jobs, and their order is asked
    Then the jobs of the other team come before those beyond the weight of the first

  Scenario: The store is slow in a shortage
    # Guards against the refusal of a job whose acceptance is being written.
    Given 3 entries, and a job whose acceptance waits for the store
    When there is no more room, and the job is sent again
    Then both requests are answered with "accepted" once the store responds
