Feature: Contract of the store stand-in
  Guards against a stand-in that is more lenient than etcd v3: tests of the entry that
  run against it would miss faults.

  Background:
    Given a store stand-in

  Scenario Outline: A compare-and-swap takes effect only on the revision that it names
    Given the stand-in's key "a" was put <puts> times
    When a compare-and-swap of key "a" names <named>
    Then the compare-and-swap <outcome>

    Examples:
      | puts | named                 | outcome     |
      | 0    | revision 0            | took effect |
      | 0    | revision 1            | conflicted  |
      | 1    | the current revision  | took effect |
      | 1    | revision 0            | conflicted  |
      | 2    | the former revision   | conflicted  |
      | 2    | the current revision  | took effect |

  Scenario: Only one of two compare-and-swaps on the same revision takes effect
    Given the stand-in's key "a" was put 1 times
    When two compare-and-swaps of key "a" name the same revision
    Then exactly one of them took effect

  Scenario: A key under a lease expires with the lease, and not before
    When key "alive/x" is put under a lease of 1 s
    And the lease is kept alive for 1.5 s
    Then key "alive/x" is present
    And key "alive/x" is absent within 1.5 s
    And the expired lease cannot be kept alive
    And a put under the expired lease is refused

  Scenario: A revoked lease deletes its key at once
    When key "alive/x" is put under a lease of 10 s
    And the lease is revoked
    Then key "alive/x" is absent within 0.1 s

  Scenario Outline: Faults apply as often as they are set
    Given the stand-in's key "a" was put 2 times
    And the store stand-in has the faults <faults>
    When a compare-and-swap of key "a" names the current revision
    Then the compare-and-swap <outcome>
    And the next read of key "a" gives <value>

    Examples:
      | faults                | outcome          | value        |
      | {"lost_answers": 1}   | got no answer    | the new one  |
      | {"lost_answers": 0}   | took effect      | the new one  |
      | {"down": 1}           | got no answer    | the old one  |
      | {"stale_reads": 1}    | took effect      | the old one  |
      | {"slow_ms": 200}      | took effect      | the new one  |

  Scenario: A range by prefix is sorted, and can omit the values
    When keys "p/b", "p/a" and "q" are put
    Then the range of prefix "p/" has the keys "p/a, p/b" and their revisions

  Scenario: Deletion of a range deletes only that range
    When keys "p/b", "p/a" and "q" are put
    And the range of prefix "p/" is deleted
    Then key "p/a" is absent within 0.1 s
    And key "q" is present

  Scenario: A value over 1 MB is refused
    Then a put of 1048577 bytes is refused

  Scenario: An unknown fault is refused
    Then the fault "lost_answer" of the store stand-in is refused
