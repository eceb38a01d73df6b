Feature: Scripts change documents atomically, once, and with an audit record
  Each scenario sends HTTP requests to the operators' server, with in-memory documents
  behind a replica that makes compare-and-swaps like the real one.

  Background:
    Given an operators' server with the documents of the language page

  Scenario: The first commands of a new fleet
    Given an operators' server with empty documents
    When maria sends
      """
      create pool proofs budget 1 slots 8 connections 64
      create pool reserve budget 1 spare
      create team hotels share 3 limit 20
      create team schools share 1 limit 20
      create queue proofing pool proofs teams hotels, schools
      create queue samples pool proofs open
      create key for team hotels
      add instance i-1 pool proofs rack r1 data-centre dc1 address 127.0.0.1:9001
      """
    Then the server answers 200, accepted, in force
    And result 7 has a key that the configuration finds for team "hotels"
    And no document and no log line has the text of the key
    And the configuration is at version 1 and the fleet at version 1
    And instance "i-1" is "returning" in pool "proofs"

  Scenario Outline: A script with one finding changes nothing
    # Guards against a script of which only a part takes effect.
    When maria sends "create team more share 1 limit 2; <line>"
    Then the server answers 400 with a finding on line 2
    And nothing has changed

    Examples:
      | line                            |
      | create pool more budget         |
      | delete pool proofs              |
      | remove instance i-99            |
      | show pools where colour = red   |
      | if fleet version = 1            |
      | forget member entry-2           |

  Scenario Outline: Requests without a valid operator key are refused
    When an unknown client sends "show pools" with authorization "<authorization>"
    Then the server answers 401
    And nothing has changed

    Examples:
      | authorization  |
      |                |
      | Bearer         |
      | Bearer guessed |
      | Basic secret   |

  Scenario Outline: Requests that are not a script
    When maria sends <what>
    Then the server answers <status> without a finding
    And nothing has changed

    Examples:
      | what                              | status |
      | bytes that are not UTF-8          | 400    |
      | a script of more than 256 KiB     | 413    |
      | a change id with a blank          | 400    |
      | a change id of 65 letters         | 400    |

  Scenario: The same change id takes effect once
    # Guards against a retry after a lost response that creates a second key.
    When under change id "c-1" maria sends "create key for team hotels"
    And under change id "c-1" maria sends "create key for team hotels"
    Then the server answers 200, accepted, in force
    And result 1 names the key of the first response without its text
    And the configuration is at version 8 and the fleet at version 3

  Scenario: The same change id arrives at two entries at once
    # Guards against a response that shows a key which was never stored.
    Given maria's "create key for team hotels" under change id "c-1" is stored by another entry first
    When under change id "c-1" maria sends "create key for team hotels"
    Then the server answers 200, accepted, in force
    And result 1 names the only new key without its text
    And the configuration is at version 8 and the fleet at version 3

  Scenario: A change id is still known after its change was moved out of the document
    # Guards against a wave that is started again by a late retry.
    When maria sends "add instance i-9 pool reserve rack r9 data-centre dc1 address 127.0.0.1:99"
    And under change id "c-1" maria sends "start wave w-9 pools reserve"
    And joao's "stop wave w-9" and 60 other changes of the fleet follow
    And under change id "c-1" maria sends "start wave w-9 pools reserve"
    Then the server answers 200, accepted, in force
    And wave "w-9" is "stopped"

  Scenario Outline: A change id of another script or operator is refused
    When under change id "c-1" maria sends "create team more share 1 limit 2"
    And under change id "c-1" <who> sends "<script>"
    Then the server answers 409 saying "already used for another script, by maria"

    Examples:
      | who   | script                           |
      | maria | create team most share 1 limit 2 |
      | joao  | create team more share 1 limit 2 |

  Scenario: A partly accepted script is completed by a retry
    # Guards against a retry that fails because its first part was already accepted.
    Given the next change of the fleet fails with "the store is not available: slow"
    When under change id "c-1" maria sends "create pool more budget 1; stop wave w-1"
    Then the server answers 503 saying "a part was accepted (configuration 8)"
    When under change id "c-1" maria sends "create pool more budget 1; stop wave w-1"
    Then the server answers 200, accepted, in force
    And wave "w-1" is "stopped"
    And the configuration is at version 8 and the fleet at version 4

  Scenario Outline: Operators send conflicting changes
    Given another operator's "<first>" is stored just before the next compare-and-swap
    When maria sends "<second>"
    Then the server answers <status> saying "<text>"

    Examples:
      | first                       | second                             | status | text                                    |
      | change team hotels limit 5  | change team hotels limit 9         | 409    | the configuration is now at version 8; changed by joao in version 8: change team hotels limit 5 |
      | delete queue samples        | change queue samples max-jobs 5    | 409    | lost a race: queues samples changed     |
      | create team more share 1 limit 2 | create team more share 2 limit 2 | 409 | lost a race: teams more changed         |
      | delete queue proofing       | create team more share 2 limit 2   | 200    |                                         |
      | create team more share 1 limit 2 | if version = 7; create team most share 1 limit 2 | 409 | the configuration is at version 8 |
      | stop wave w-1               | pause wave w-1                     | 409    | lost a race: waves w-1 changed          |
      | remove instance i-1         | stop wave w-1                      | 200    |                                         |

  Scenario: The response has the version of the change, not a later one
    # Guards against a next script that is conditional on another operator's version.
    Given another operator's "create team most share 1 limit 2" is stored just after the next compare-and-swap
    When maria sends "create team more share 1 limit 2"
    Then the server answers 200, accepted, in force
    And the response has version 8 and the configuration version 9

  Scenario: A pool that is deleted while an instance is added is reported
    # They are in different documents, and one compare-and-swap cannot check both.
    Given another operator's "add instance i-9 pool reserve rack r1 data-centre dc1 address 127.0.0.1:99" is stored just before the next compare-and-swap
    When maria sends "delete pool reserve"
    Then the server answers 200, accepted, in force
    And the response warns "pool 'reserve' of instance 'i-9' was deleted"

  Scenario: Changes are refused while a member may not receive them
    Given member "entry-2" blocks changes
    When maria sends "create team more share 1 limit 2"
    Then the server answers 503 saying "may not learn of it: entry-2"
    And nothing has changed

  Scenario: Forgetting a member allows changes again and has an audit record
    Given member "entry-2" blocks changes
    And member "entry-2" does not answer
    When maria sends "forget member entry-2"
    Then the server answers 200, accepted, in force
    And the members are entry-1 and "entry-2/a1" is recorded as departed
    And the last change of the configuration is "forget member entry-2"

  Scenario: A member that answers is not forgotten
    # A forgotten process that still runs could honour withdrawn keys, as changes no
    # longer wait for its confirmation.
    Given member "entry-2" answers
    When maria sends "forget member entry-2"
    Then the server answers 409 saying "entry-2 answers"
    And nothing has changed

  Scenario: A forgotten member is recorded as soon as the configuration may change
    Given member "entry-2" does not answer
    And the next change of the configuration fails with "these members do not know this entry yet: entry-3"
    When maria sends "forget member entry-2"
    Then the server answers 200, accepted, in force
    And the response warns "not yet in the audit trail"
    And within 3 s the last change of the configuration is "forget member entry-2"

  Scenario: The members where a change is not in force are named
    Given member "entry-2" lags behind
    When maria sends "withdraw key k-1a2b3c4d"
    Then the server answers 200, accepted, waiting for "entry-2"

  Scenario Outline: The store does not answer
    Given the store does not answer
    When maria sends "<script>"
    Then the server answers <status> saying "<text>"

    Examples:
      | script                    | status | text                       |
      | withdraw key k-1a2b3c4d   | 503    | the store is not available |
      | show pools                | 200    |                            |

  Scenario: A change whose outcome is unknown is not called refused
    Given the next change of the configuration fails with "unknown: the change may take effect later"
    When maria sends "withdraw key k-1a2b3c4d"
    Then the server answers 504 saying "unknown"

  Scenario: A dry run shows plan and cost and changes nothing
    When maria sends
      """
      dry run
      change pool proofs budget 3
      create key for team hotels
      move instance i-1 to pool reserve
      stop wave w-1
      start wave w-2 pools proofs
      """
    Then the server answers 200, not accepted
    And the plan has 1 move, 3 stops and 3 instances of "proofs" unavailable at most
    And no result has a key
    And nothing has changed

  Scenario: An operator evacuates and returns a data centre
    # Guards against an evacuation without a trace, and one that cannot be taken back.
    When maria sends "evacuate data-centre dc1"
    Then the server answers 200, accepted, in force
    When maria sends "show pools where unavailable = 0 and instances > 0"
    Then the response has 0 rows
    When maria sends "show data-centres where evacuated-by = maria"
    Then the response has 1 rows
    When maria sends "evacuate data-centre dc1"
    Then the server answers 400 saying "already evacuated"
    When maria sends "return data-centre dc1"
    Then the server answers 200, accepted, in force
    When maria sends "show data-centres where evacuated-since = none"
    Then the response has 2 rows

  Scenario: Every accepted change has an audit record with its author and effect
    # Guards against a change of a document that the audit trail does not explain.
    When 40 generated scripts are sent by maria and joao
    Then replaying the audit trail from the start gives the documents

  Scenario: Old changes are found outside the document
    When 120 changes are made
    And maria sends "show changes since 1h by maria"
    Then the response has 120 rows
    When maria sends "show changes"
    Then the response has 50 rows of the configuration

  Scenario: Jobs are gathered from all entries, and silent entries are named
    Given this entry has 3 running jobs of queue "proofing" at instance "i-1"
    And entry "entry-3" in "dc2" answers with 2 jobs of pool "proofs"
    When maria sends "show jobs where state = running group by pool"
    Then the response has the row "proofs" with 5 jobs
    And the response comes from "entry-1, entry-3" and not from "entry-2"

  Scenario Outline: Queries
    When maria sends "<query>"
    Then the response has <count> rows

    Examples:
      | query                                                | count |
      | show pools                                           | 2     |
      | show pools where budget > 1                          | 0     |
      | show pools where spare = true                        | 1     |
      | show instances where state != serving                | 1     |
      | show instances where rack = r1 and data-centre = dc1 | 1     |
      | show instances group by state                        | 2     |
      | show instances where rack < r2                       | 1     |
      | show queues where teams = hotels                     | 1     |
      | show keys where expires-at = none                    | 1     |
      | show waves where state = "running"                   | 1     |
      | show members                                         | 2     |
      | show teams where share > 2 and limit < 21            | 1     |

  Scenario: The response to a lower limit says when it is in force
    When maria sends "change team hotels limit 2"
    Then result 1 says "when the running jobs above it have ended"

  Scenario: A rotated key stays valid for the overlap
    When maria sends "rotate key k-1a2b3c4d overlap 60s"
    Then key "k-1a2b3c4d" expires in 60 s and the new one does not

  Scenario: Measures are computed from all entries and the audit trail
    Given this entry has 4 running jobs of queue "proofing" at instance "i-1"
    And the planner moved instance "i-1" from pool "reserve" to "proofs" 90 s ago
    When maria sends "stop wave w-1"
    And maria sends "start wave w-1 pools proofs"
    And maria sends "show measures"
    Then the measure "buffer" of "proofs" is 3.0
    And the measure "share" of "hotels" is 1.0
    And the measure "moves" of "last 24 h" is 1
    And the measure "roll-out" of "w-1" is 0

  Scenario: An internal error is reported as one
    Given the jobs of this entry cannot be listed
    When maria sends "show jobs"
    Then the server answers 500 saying "internal error"
