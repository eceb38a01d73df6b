Feature: The operators' port changes documents as a whole, once, and on record
  Each scenario uses the documents in memory behind a replica that swaps like the real
  one, and the port over HTTP.

  Background:
    Given an operators' port over the documents of the language page

  Scenario: The commands that a new fleet starts with
    Given an operators' port over empty documents
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
    Then the port answers 200, accepted, in force
    And result 7 has a key that the configuration finds for team "hotels"
    And no document and no log line has the text of the key
    And the configuration is at version 1 and the fleet at version 1
    And instance "i-1" is "returning" in pool "proofs"

  Scenario Outline: A script with one finding changes nothing
    # Guards against half a script that took effect.
    When maria sends "create team more share 1 limit 2; <line>"
    Then the port answers 400 with a finding on line 2
    And nothing has changed

    Examples:
      | line                            |
      | create pool more budget         |
      | delete pool proofs              |
      | remove instance i-99            |
      | show pools where colour = red   |
      | if fleet version = 1            |
      | forget member entry-2           |

  Scenario Outline: Who may not command
    When a stranger sends "show pools" with authorization "<authorization>"
    Then the port answers 401
    And nothing has changed

    Examples:
      | authorization  |
      |                |
      | Bearer         |
      | Bearer guessed |
      | Basic secret   |

  Scenario Outline: Requests that are not a script
    When maria sends <what>
    Then the port answers <status> without a finding
    And nothing has changed

    Examples:
      | what                              | status |
      | bytes that are not UTF-8          | 400    |
      | a script of more than 256 KiB     | 413    |
      | a change id with a blank          | 400    |
      | a change id of 65 letters         | 400    |

  Scenario: The same change id takes effect once
    # Guards against a repeat, after a lost answer, that makes a second key.
    When under change id "c-1" maria sends "create key for team hotels"
    And under change id "c-1" maria sends "create key for team hotels"
    Then the port answers 200, accepted, in force
    And result 1 names the key of the first answer without its text
    And the configuration is at version 8 and the fleet at version 3

  Scenario: The same change id arrives at two entries at once
    # Guards against an answer that shows a key which was never stored.
    Given maria's "create key for team hotels" under change id "c-1" is swapped in elsewhere just before
    When under change id "c-1" maria sends "create key for team hotels"
    Then the port answers 200, accepted, in force
    And result 1 names the only new key without its text
    And the configuration is at version 8 and the fleet at version 3

  Scenario: A change id is known after its change has left the document
    # Guards against a wave that a late repeat starts again.
    When maria sends "add instance i-9 pool reserve rack r9 data-centre dc1 address 127.0.0.1:99"
    And under change id "c-1" maria sends "start wave w-9 pools reserve"
    And joao's "stop wave w-9" and 60 other changes of the fleet follow
    And under change id "c-1" maria sends "start wave w-9 pools reserve"
    Then the port answers 200, accepted, in force
    And wave "w-9" is "stopped"

  Scenario Outline: A change id of another script or operator is refused
    When under change id "c-1" maria sends "create team more share 1 limit 2"
    And under change id "c-1" <who> sends "<script>"
    Then the port answers 409 saying "already used for another script, by maria"

    Examples:
      | who   | script                           |
      | maria | create team most share 1 limit 2 |
      | joao  | create team more share 1 limit 2 |

  Scenario: A script that was half made is completed by a repeat
    # Guards against a first half that stands in the way of its own repeat.
    Given the next change of the fleet fails with "the store is not available: slow"
    When under change id "c-1" maria sends "create pool more budget 1; stop wave w-1"
    Then the port answers 503 saying "a part was accepted (configuration 8)"
    When under change id "c-1" maria sends "create pool more budget 1; stop wave w-1"
    Then the port answers 200, accepted, in force
    And wave "w-1" is "stopped"
    And the configuration is at version 8 and the fleet at version 4

  Scenario Outline: Operators race
    Given another operator's "<first>" is swapped in just before the next swap
    When maria sends "<second>"
    Then the port answers <status> saying "<text>"

    Examples:
      | first                       | second                             | status | text                                    |
      | change team hotels limit 5  | change team hotels limit 9         | 409    | the configuration is now at version 8; changed by joao in version 8: change team hotels limit 5 |
      | delete queue samples        | change queue samples max-jobs 5    | 409    | lost a race: queues samples changed     |
      | create team more share 1 limit 2 | create team more share 2 limit 2 | 409 | lost a race: teams more changed         |
      | delete queue proofing       | create team more share 2 limit 2   | 200    |                                         |
      | create team more share 1 limit 2 | if version = 7; create team most share 1 limit 2 | 409 | the configuration is at version 8 |
      | stop wave w-1               | pause wave w-1                     | 409    | lost a race: waves w-1 changed          |
      | remove instance i-1         | stop wave w-1                      | 200    |                                         |

  Scenario: The answer has the version with the change, not a later one
    # Guards against an operator who guards the next script by somebody else's version.
    Given another operator's "create team most share 1 limit 2" is swapped in just after the next swap
    When maria sends "create team more share 1 limit 2"
    Then the port answers 200, accepted, in force
    And the answer has version 8 and the configuration version 9

  Scenario: A pool that is deleted while an instance is added is pointed out
    # The two stand in two documents; one swap cannot check both.
    Given another operator's "add instance i-9 pool reserve rack r1 data-centre dc1 address 127.0.0.1:99" is swapped in just before the next swap
    When maria sends "delete pool reserve"
    Then the port answers 200, accepted, in force
    And the answer warns "pool 'reserve' of instance 'i-9' was deleted"

  Scenario: Changes are refused while a member may not learn of them
    Given member "entry-2" blocks changes
    When maria sends "create team more share 1 limit 2"
    Then the port answers 503 saying "may not learn of it: entry-2"
    And nothing has changed

  Scenario: Forgetting a member lets changes be accepted again, and is on record
    Given member "entry-2" blocks changes
    And member "entry-2" does not answer
    When maria sends "forget member entry-2"
    Then the port answers 200, accepted, in force
    And the members are entry-1 and "entry-2/a1" is recorded as departed
    And the last change of the configuration is "forget member entry-2"

  Scenario: A member that answers is not forgotten
    # Forgetting a running process would let it honour withdrawn keys unasked.
    Given member "entry-2" answers
    When maria sends "forget member entry-2"
    Then the port answers 409 saying "entry-2 answers"
    And nothing has changed

  Scenario: A forgotten member is recorded as soon as the configuration may change
    Given member "entry-2" does not answer
    And the next change of the configuration fails with "these members do not know this entry yet: entry-3"
    When maria sends "forget member entry-2"
    Then the port answers 200, accepted, in force
    And the answer warns "not yet in the audit trail"
    And within 3 s the last change of the configuration is "forget member entry-2"

  Scenario: The members where a change is not in force are named
    Given member "entry-2" lags behind
    When maria sends "withdraw key k-1a2b3c4d"
    Then the port answers 200, accepted, waiting for "entry-2"

  Scenario Outline: The store does not answer
    Given the store does not answer
    When maria sends "<script>"
    Then the port answers <status> saying "<text>"

    Examples:
      | script                    | status | text                       |
      | withdraw key k-1a2b3c4d   | 503    | the store is not available |
      | show pools                | 200    |                            |

  Scenario: A change whose outcome is unknown is not called refused
    Given the next change of the configuration fails with "unknown: the change may take effect later"
    When maria sends "withdraw key k-1a2b3c4d"
    Then the port answers 504 saying "unknown"

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
    Then the port answers 200, not accepted
    And the plan has 1 move, 3 stops and 3 instances of "proofs" unavailable at most
    And no result has a key
    And nothing has changed

  Scenario: Every accepted change is on record with its author and its effect
    # Guards against a change of a document that the audit trail does not explain.
    When 40 generated scripts are sent by maria and joao
    Then replaying the audit trail from the start gives the documents

  Scenario: Old changes are found outside the document
    When 120 changes are made
    And maria sends "show changes since 1h by maria"
    Then the answer has 120 rows
    When maria sends "show changes"
    Then the answer has 50 rows of the configuration

  Scenario: Jobs are gathered from all entries, and silent ones are named
    Given this entry has 3 running jobs of queue "proofing" at instance "i-1"
    And entry "entry-3" in "dc2" answers with 2 jobs of pool "proofs"
    When maria sends "show jobs where state = running group by pool"
    Then the answer has the row "proofs" with 5 jobs
    And the answer comes from "entry-1, entry-3" and not from "entry-2"

  Scenario Outline: Questions
    When maria sends "<question>"
    Then the answer has <count> rows

    Examples:
      | question                                             | count |
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

  Scenario: A lower limit says when it is in force
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
    Then the port answers 500 saying "internal error"
