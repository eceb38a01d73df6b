Feature: The adapter's store client

  Scenario: A transaction is all or nothing
    Given a store
    When "a" is written under the condition that it is absent
    Then the transaction is committed
    When "a" is written under the condition that it is absent
    Then the transaction conflicts and returns the current item
    And the item "a" has its first value

  Scenario Outline: A call to a store with a fault
    Given a store
    When the fault "<fault>" is set and a key is read
    Then the call ends with "<error>" within <seconds> s

    Examples:
      | fault  | error               | seconds |
      | busy   | NotExecutedError    | 0.5     |
      | many   | NotExecutedError    | 0.5     |
      | reset  | OutcomeUnknownError | 0.5     |
      | silent | OutcomeUnknownError | 1.5     |

  Scenario: A lease that has ended
    Given a store
    When an item is written under a lease that has ended
    Then the outcome is that the lease has ended
    And renewing it reports that it has ended

  Scenario: More items than one page
    Given a store with 1203 items under "many/"
    Then all 1203 items are read

  Scenario: A watch returns a change, and reports a compacted history
    Given a store
    When a watch after the current revision waits and "op/config" is written
    Then the watch returns the change within 0.5 s
    When the history is compacted
    Then the next watch after an old revision reports that the history is lost

  Scenario: A watch that misses a change does not lose a configuration
    # Guards against a configuration that is not in force in time (CONFIG; scale-1,
    # co-operative): an empty response has a revision later than the change it missed.
    Given a store
    And the operator's configuration was written
    When a watch responds without the change but with a later revision
    Then the next watch starts after the last change that was received

  Scenario Outline: The fenced writer when a response is lost
    Given a store with a leader's fenced writer
    When the response to a commit is lost and the change is applied <when>
    Then the fenced writer finds that the change was applied once
    And a later commit replaces the earlier one

    Examples:
      | when          |
      | at once       |
      | 1.5 s later   |

  Scenario: A deposed leader writes nothing
    Given a store with a leader's fenced writer
    When another leader starts its term
    Then the first leader's commit fails with lost leadership
    And nothing of it was written
