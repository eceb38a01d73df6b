Feature: Entries register, keep each other informed and share limits
  Guards against faults between the decisions and the sockets. Real coordinators talk
  over loopback with short times: freshness 0.6 s, task lease 1 s.

  Scenario: An entry that starts while the store is down says so
    Given the store fails with "down"
    And 1 entries
    Then entry-0 is not ready because "the store is not available"
    And entry-0 may not start a job of tenors because of "authority"
    And entry-0 may start a job without a key
    When the store works again
    Then within 2 s entry-0 is ready

  Scenario Outline: A registration whose answer is <fault>
    Given the store fails with "<fault>"
    And 1 entries
    Then within 2 s entry-0 is ready
    And the members list entry-0 once

    Examples:
      | fault   |
      | lost    |
      | dropped |
      | late    |

  Scenario: A change is in force everywhere at once
    Given 3 entries
    When entry-1 sets the limit of tenors to 7
    Then within 1 s the change is in force everywhere
    And every entry holds it

  Scenario: The store is down, then one member is lost as well
    Given 3 entries
    When the store fails with "down"
    And 1.2 s pass
    Then every entry has "outage consent"
    And a change is refused because "the store is not available"
    When entry-2 is killed
    And 1 s pass
    Then entry-0 may not start a job of tenors because of "authority"
    When the store works again
    Then within 1 s entry-0 has "fresh"

  Scenario: An entry that is cut from the store alone learns from its peers
    Given 3 entries
    When entry-2 loses the store
    And 2 s pass
    And entry-1 sets the limit of tenors to 7
    And 0.5 s pass
    Then every entry has "fresh"
    And every entry holds it

  Scenario: A killed member is removed and its grants are freed after its tasks
    Given 3 entries
    And within 2 s every entry holds a grant
    When entry-2 is killed
    And its lease expires
    Then within 2 s the members do not list entry-2
    And its grants are still held
    And within 4 s its grants are freed

  Scenario: A member whose lease was renewed by a new process is not missing
    Given 2 entries
    When the lease of entry-1 names another incarnation
    Then within 1 s entry-0 takes entry-1 for missing
    When the lease of entry-1 names its incarnation again
    Then within 0.5 s entry-0 takes entry-1 for live

  Scenario: A member that was removed takes a new incarnation
    Given 3 entries
    When another entry removes entry-2
    Then within 2 s entry-2 is listed under a new incarnation
    And within 2 s entry-2 has "fresh"

  Scenario: An entry that nobody answered yet accepts no change
    Given 2 entries
    And a member "ghost" that never answers
    And 1 entries more
    Then within 2 s entry-2 is ready
    And a change by entry-2 is refused because "ghost"
    And a change by entry-0 is accepted

  Scenario: Demand that moves to one entry gets the limit
    Given 3 entries
    And within 2 s every entry holds a grant
    When entry-0 queues 30 jobs of tenors
    Then within 2 s entry-0 runs at least 17 of 20 jobs
    And the rows never exceeded the limit
    When entry-1 sets the limit of tenors to 5
    And 0.5 s pass
    Then entry-0 may not start a job of tenors because of "limit"
    When the jobs of entry-0 end
    Then within 5 s the rows are within 5

  Scenario: An entry that leaves returns its grants
    Given 2 entries
    And within 2 s every entry holds a grant
    When entry-1 leaves
    Then the members do not list entry-1
    And it has no grants
    And entry-1 is not ready because "stopping"

  Scenario: A question reaches every entry, and one that is silent is named
    Given 3 entries
    When entry-2 is killed
    And 1 s pass
    Then a question to entry-0 is answered by "entry-0 entry-1"
    And entry-0 reports "entry-2" as unreached

  Scenario Outline: A peer <peer>
    Given 1 entries
    When a peer <peer> sends a ping of <size> bytes
    Then it gets <answer>

    Examples:
      | peer                              | size    | answer    |
      | with a key of the settings        | 10      | a pong    |
      | with a key of the settings        | 1100000 | no answer |
      | whose key is not in the settings  | 10      | no answer |
      | that sends what is no message     | 10      | no answer |
