Feature: Entries register, exchange state with their peers and share limits
  Guards against faults in the code between the decision functions and the sockets.
  Real coordinators communicate over loopback with a freshness of 0.6 s and a task lease
  of 1 s.

  Scenario: An entry that starts while the store is down reports the reason
    Given the store fails with "down"
    And 1 entries
    Then entry-0 is not ready because "the store is not available"
    And entry-0 may not start a job of tenors because of "authority"
    And entry-0 may start a job without a key
    When the store recovers
    Then within 2 s entry-0 is ready

  Scenario Outline: A registration whose transaction is <fault>
    Given the store fails with "<fault>"
    And 1 entries
    Then within 2 s entry-0 is ready
    And the members list entry-0 once

    Examples:
      | fault   |
      | lost    |
      | dropped |
      | late    |

  Scenario: A change is in force at every entry within a second
    Given 3 entries
    When entry-1 sets the limit of tenors to 7
    Then within 1 s the change is in force at every entry
    And every entry has the change

  Scenario: The store is down, then one member is killed
    Given 3 entries
    When the store fails with "down"
    And 1.2 s pass
    Then every entry has "outage consent"
    And a change is refused because "the store is not available"
    When entry-2 is killed
    And 1 s pass
    Then entry-0 may not start a job of tenors because of "authority"
    When the store recovers
    Then within 1 s entry-0 has "fresh"

  Scenario: An entry that is partitioned from the store gets changes from its peers
    Given 3 entries
    When entry-2 loses its connection to the store
    And 2 s pass
    And entry-1 sets the limit of tenors to 7
    And 0.5 s pass
    Then every entry has "fresh"
    And every entry has the change

  Scenario: A killed member is removed and its grants are freed after its task leases
    Given 3 entries
    And within 2 s every entry holds a grant
    When entry-2 is killed
    And its lease expires
    Then within 2 s the members do not list entry-2
    And its grants are still held
    And within 4 s its grants are freed

  Scenario: A member whose lease was renewed by a new process is not missing
    Given 2 entries
    When the liveness key of entry-1 holds another incarnation
    Then within 1 s entry-0 considers entry-1 missing
    When the liveness key of entry-1 holds its incarnation again
    Then within 0.5 s entry-0 considers entry-1 live

  Scenario: A removed member registers under a new incarnation
    Given 3 entries
    When another entry removes entry-2
    Then within 2 s entry-2 is listed under a new incarnation
    And within 2 s entry-2 has "fresh"

  Scenario: A new entry accepts no change until every member has answered it
    Given 2 entries
    And a member "offline" that never answers
    And 1 more entries
    Then within 2 s entry-2 is ready
    And a change by entry-2 is refused because "offline"
    And a change by entry-0 is accepted

  Scenario: The limit follows demand that moves to one entry
    Given 3 entries
    And within 2 s every entry holds a grant
    When entry-0 queues 30 jobs of tenors
    Then within 2 s entry-0 runs at least 17 of 20 jobs
    And the granted jobs never exceeded the limit
    When entry-1 sets the limit of tenors to 5
    And 0.5 s pass
    Then entry-0 may not start a job of tenors because of "limit"
    When the jobs of entry-0 end
    Then within 5 s at most 5 jobs are granted

  Scenario: An entry that leaves returns its grants
    Given 2 entries
    And within 2 s every entry holds a grant
    When entry-1 leaves
    Then the members do not list entry-1
    And it has no grants
    And entry-1 is not ready because "stopping"

  Scenario: A query reaches every entry and reports those that do not answer
    Given 3 entries
    When entry-2 is killed
    And 1 s pass
    Then a query to entry-0 is answered by "entry-0 entry-1"
    And entry-0 reports "entry-2" as unreached

  Scenario Outline: A peer <peer>
    Given 1 entries
    When a peer <peer> sends a ping of <size> bytes
    Then it gets <answer>

    Examples:
      | peer                             | size    | answer      |
      | with a key of the settings       | 10      | a pong      |
      | with a key of the settings       | 1100000 | no response |
      | whose key is not in the settings | 10      | no response |
      | that sends an invalid message    | 10      | no response |
