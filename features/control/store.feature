Feature: The store client follows the store's published protocol
  Guards against a change that is lost, made twice, or reported wrongly when the store
  fails. A fake gateway in the test process injects the fault of each row.

  Scenario Outline: A compare-and-swap while the store is <fault>
    Given a store that holds configuration version 3
    And the store is <fault>
    When version 4 is written by compare-and-swap at revision <revision>
    Then the compare-and-swap is "<result>" and the store holds version <version>

    Examples:
      | fault   | revision | result   | version |
      | working | current  | swapped  | 4       |
      | working | older    | conflict | 3       |
      | working | 0        | conflict | 3       |
      | lost    | current  | unknown  | 4       |
      | dropped | current  | unknown  | 3       |
      | error   | current  | unknown  | 3       |
      | refusing | current | refused  | 3       |
      | slow    | current  | unknown  | 4       |
      | garbled | current  | unknown  | 4       |
      | closed  | current  | refused  | 3       |

  Scenario: A compare-and-swap whose guard document has changed
    Given a store that holds configuration version 3
    When version 4 is written by compare-and-swap after the members changed
    Then the compare-and-swap is "conflict" and the store holds version 3

  Scenario Outline: A read while the store is <fault>
    Given a store that holds configuration version 3
    And the store is <fault>
    Then every read fails within the timeout and says "<message>"

    Examples:
      | fault   | message       |
      | down    | no connection |
      | closed  | no connection |
      | error   | answered 503  |
      | slow    | did not answer in 300 ms |
      | garbled | understood    |

  Scenario: Liveness keys exist as long as their lease
    Given a store that holds configuration version 3
    When entry-1 keeps its lease alive twice
    Then entry-1 is live and one lease was granted
    When the lease of entry-1 expires and is kept alive again
    Then entry-1 is live and 2 leases were granted
    When entry-1 releases its lease
    Then no entry is live

  Scenario Outline: A change while the store is <fault>
    Given a store that holds configuration version 3
    And a replica of it
    And the store is <fault>
    When a change is made
    Then the change is "<result>" and the store holds it <times> times

    Examples:
      | fault           | result        | times |
      | working         | made          | 1     |
      | lost            | made          | 1     |
      | dropped         | made          | 1     |
      | late            | made          | 1     |
      | changed         | made          | 1     |
      | closed          | not available | 0     |
      | lost, then down | unknown:      | 1     |
      | guarded         | not a member  | 0     |

  Scenario: Two operators change the configuration concurrently
    Given a store that holds configuration version 3
    And a replica of it
    And another replica of it
    When both change the configuration concurrently
    Then both changes are in the audit trail under different versions

  Scenario: A change that another change has made impossible is refused
    Given a store that holds configuration version 3
    And a replica of it
    And another replica of it
    When both remove the same team concurrently
    Then one is made and the other is refused with "no such team"

  Scenario: Old changes move to separate audit keys
    Given a store that holds configuration version 3
    And a replica of it
    When 55 changes are made
    Then the document holds 50 changes and 5 are in the audit trail's keys

  Scenario Outline: A replica never returns to an older version: <source>
    Given a store that holds configuration version 3
    And a replica of it
    When version <version> arrives from <source>
    Then the replica holds version <held> and its copy is <current>

    Examples:
      | source                      | version | held | current       |
      | a peer                      | 2       | 3    | current       |
      | a peer                      | 4       | 4    | not confirmed |
      | a stale read                | 2       | 3    | not confirmed |
      | a store that lost version 3 | 2       | 3    | not confirmed |
      | the store                   | 4       | 4    | current       |

  Scenario: Members are never newer than the configuration
    Given a store that holds configuration version 3
    And a replica of it
    When the members and then, between two reads, the configuration change
    Then the replica holds both changes
