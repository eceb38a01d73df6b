Feature: Maintenance waves stop every instance once and within the budgets
  Guards against outages caused by maintenance itself.

  Scenario Outline: A wave completes wherever its planner is killed
    Guards against an instance that is stopped twice, or never, after a takeover.
    Given 6 instances of pool "a" in 2 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    When the first entry is killed "<point>" with "<detail>" and the second takes over
    Then the wave ends with each instance rebooted once
    And no change violated an invariant

    Examples:
      | point              | detail |
      | before swap        | leave  |
      | after swap         | leave  |
      | before swap        | drain  |
      | after swap         | drain  |
      | before drain call  |        |
      | after drain call   |        |
      | before swap        | reboot |
      | after swap         | reboot |
      | before reboot call |        |
      | after reboot call  |        |
      | before swap        | boot   |
      | after swap         | boot   |
      | before swap        | serve  |
      | after swap         | serve  |

  Scenario: Two planners run concurrently
    Guards against a budget that each planner uses up separately.
    Given 6 instances of pool "a" in 2 racks with budget 2 and a wave over them
    And two entries that are both planners
    When their changes interleave with 10 seeds
    Then every wave ended with each instance rebooted once
    And no change violated an invariant

  Scenario Outline: A planner is frozen between read and compare-and-swap
    Guards against a decision that is based on the state before the pause.
    Given 6 instances of pool "a" in 2 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    When the first entry is frozen for <seconds> s "<point>" with "<detail>"
    Then the wave ends with each instance rebooted once
    And no change violated an invariant

    Examples:
      | point              | detail | seconds |
      | before swap        | leave  | 3       |
      | before swap        | leave  | 60      |
      | before swap        | drain  | 60      |
      | before swap        | reboot | 60      |
      | before swap        | boot   | 60      |
      | before swap        | serve  | 60      |
      | before drain call  | i-00   | 60      |
      | before reboot call | i-00   | 60      |

  Scenario: A failure that was observed before a pause is not recorded after it
    Guards against an instance that is marked failed although it has recovered.
    Given 6 instances of pool "a" in 2 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    When the first entry is frozen before it records the failure of "i-05", which recovers
    Then "i-05" was never failed

  Scenario Outline: An observation from an earlier period in the same state is ignored
    Guards against a reboot while tasks of the next drain still run.
    When instance "<state>" since 9 was observed since <since> as platform "<platform>"
    Then the steps that are due are "<steps>" and the calls are "<calls>"

    Examples:
      | state     | since | platform | steps  | calls  |
      | draining  | 9     | drained  | reboot |        |
      | draining  | 5     | drained  |        |        |
      | draining  | 9     | live     |        | drain  |
      | draining  | 5     | live     |        |        |
      | draining  | 9     | draining |        |        |
      | rebooting | 9     | live     | boot   |        |
      | rebooting | 5     | live     |        |        |
      | rebooting | 9     | drained  |        | reboot |
      | failed    | 9     | drained  |        | reboot |
      | failed    | 9     | live     |        |        |

  Scenario Outline: Responses, calls and confirmations fail temporarily
    Guards against a wave that stops or repeats steps after a fault has ended.
    Given 4 instances of pool "a" in 1 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    When "<fault>" holds for <seconds> s in the middle of the wave
    Then the wave ends with each instance rebooted once
    And no change violated an invariant

    Examples:
      | fault                                   | seconds |
      | every compare-and-swap response is lost | 20      |
      | the store is down                       | 60      |
      | the platform is down                    | 60      |
      | no member confirms                      | 30      |
      | no authority                            | 30      |

  Scenario Outline: Without authority no stop begins, and begun stops complete
    Given 4 instances of pool "a" in 1 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    And the first instance is "<state>"
    When "no authority" holds for 60 s
    Then exactly 1 instance was stopped and it serves again

    Examples:
      | state     |
      | leaving   |
      | draining  |
      | rebooting |
      | returning |

  Scenario: A stop waits until every member has confirmed it
    Guards against new jobs on an endpoint that drains.
    Given 2 instances of pool "a" in 1 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    When "no member confirms" holds for 60 s
    Then no instance was drained

  Scenario: Two failures and the loss of a rack during a wave
    Guards against planned stops on top of failures.
    Given 12 instances of pool "a" in 3 racks with budget 2 and a wave over them
    And two entries of which the first is the planner
    When 2 instances fail, then a rack is lost for 100 s
    Then no stop began while the budget was used up
    And the wave ends with the lost instances serving again
    And no change violated an invariant

  Scenario: A leaving instance returns to service when failures use up the budget
    Given 6 instances of pool "a" in 3 racks with budget 1 and a wave over them
    And two entries of which the first is the planner
    And the first instance is "leaving"
    When "no member confirms" holds while another instance fails
    Then the first instance serves and is pending again

  Scenario Outline: Instances in an evacuated data centre count against the budget
    Guards against stops elsewhere on top of an evacuation, and against a wave that does
    not use the evacuation for the instances at which no job starts.
    Given 4 instances of pool "a", of which <evacuated> are in evacuated "dc2"
    And the budget is <budget> and <out> of those in "dc2" are out of service
    When a wave is due for all of them
    Then <here> instances stop in "dc1" and <there> in "dc2"
    And a move of an instance in "dc1" is <move>

    Examples:
      | evacuated | budget | out | here | there | move    |
      | 0         | 1      | 0   | 1    | 0     | allowed |
      | 2         | 1      | 0   | 0    | 1     | refused |
      | 2         | 2      | 0   | 0    | 2     | refused |
      | 2         | 1      | 1   | 0    | 0     | refused |
      | 1         | 2      | 1   | 1    | 0     | allowed |
      | 2         | 0      | 0   | 0    | 0     | refused |

  Scenario Outline: A leaving instance is kept where an evacuation uses up the budget
    Guards against a stop on top of an evacuation, and against a stop in the evacuated
    data centre that begins and is taken back in turn.
    Given 4 instances of pool "a", of which 2 are in evacuated "dc2"
    And the budget is 1 and 0 of those in "dc2" are out of service
    When an instance in "<data_centre>" is leaving
    Then it is <outcome>

    Examples:
      | data_centre | outcome     |
      | dc1         | kept        |
      | dc2         | not kept    |

  Scenario Outline: A move uses the budget of its target pool
    Guards against a second stop in the target pool, in which an instance of an evacuated
    data centre is unavailable from then on.
    Given 4 instances of pool "a", of which 2 are in evacuated "dc2"
    And the budget is 4 and 0 of those in "dc2" are out of service
    When 2 instances in "<data_centre>" are to move to a pool with budget 1
    Then 1 of them stops

    Examples:
      | data_centre |
      | dc1         |
      | dc2         |

  Scenario: A wave halts after two failed returns and resumes
    Guards against a bad image that is rolled out to the whole pool.
    Given 6 instances of pool "a" in 2 racks with budget 3 and a wave over them
    And two entries of which the first is the planner
    When the first 2 instances do not come back from their reboot
    Then the wave is halted with at most 3 instances stopped
    When they are repaired and an operator resumes the wave
    Then the wave ends with each instance rebooted once

  Scenario Outline: Health checks take precedence over the platform's list
    Given 3 instances of pool "a" in 1 racks with budget 1 and no wave
    And an entry in the instances' data centre is "<entry>"
    When the platform "<platform>" the first instance, which "<health>" its health check
    Then the first instance is "<state>" after 10 s

    Examples:
      | entry | platform | health | state   |
      | live  | lists    | passes | serving |
      | live  | omits    | passes | serving |
      | live  | lists    | fails  | failed  |
      | live  | omits    | fails  | failed  |
      | none  | lists    | fails  | serving |
      | none  | omits    | passes | serving |
      | none  | loses    | passes | failed  |
      | none  | hides    | passes | serving |

  Scenario: Health checks from another data centre are ignored
    Given 3 instances of pool "a" in 1 racks with budget 1 and no wave
    And an entry in the instances' data centre is "live"
    And an entry in another data centre that cannot reach the endpoints
    When 10 s pass
    Then every instance is serving

  Scenario Outline: A failed instance returns to service automatically
    Given 2 instances of pool "a" in 1 racks with budget 1 and no wave
    And an entry in the instances' data centre is "live"
    When the first instance fails its health checks for <seconds> s
    Then the first instance is "<state>" after 30 s

    Examples:
      | seconds | state   |
      | 2       | serving |
      | 20      | serving |

  Scenario: Random fleets, observations and moves violate no invariant
    Guards against unforeseen orders of events.
    When 300 random histories of decisions are applied
    Then no change violated an invariant

  Scenario Outline: A transition that is not in the state chart is refused
    When event "<event>" is applied to an instance that is "<state>"
    Then it is refused

    Examples:
      | event  | state     |
      | drain  | serving   |
      | reboot | leaving   |
      | boot   | draining  |
      | serve  | rebooting |
      | keep   | draining  |
      | serve  | failed    |
      | leave  | gone      |

  Scenario: The diagram in the docs is generated from the state chart
    Then docs/lifecycle.md has the diagram of "lifecycle"

  Scenario Outline: The sample deployments are valid scripts
    Then examples/<script> creates 5 pools, 6 teams, 5 queues and <count> instances

    Examples:
      | script                 | count |
      | deployment-1.briarshed | 30    |
      | deployment-2.briarshed | 40    |
