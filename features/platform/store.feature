Feature: The adapter's store client against a stand-in

  Scenario: A transaction is all or nothing
    Given a store
    When "a" is written under the condition that it is absent
    Then the transaction is committed
    When "a" is written under the condition that it is absent
    Then the transaction conflicts and tells the item that stands
    And the item "a" has its first value

  Scenario Outline: A call to a store that misbehaves
    Given a store
    When the store is "<fault>" and a key is read
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
    Then the answer is that the lease has ended
    And renewing it tells that it has ended

  Scenario: More items than one page
    Given a store with 1203 items under "many/"
    Then all 1203 items are read

  Scenario: A watch hears of a change, and of lost history
    Given a store
    When a watch after the present revision waits and "op/config" is written
    Then the watch tells the change within 0.5 s
    When the history is dropped
    Then the next watch after an old revision tells that history is lost

  Scenario: A deaf watch loses no configuration
    # scale-1 (co-operative): CONFIG. An empty answer tells a revision past the change.
    Given a store
    And the operator's configuration was written
    When a watch answers without the change but with a later revision
    Then the next watch begins after the last change that was heard of

  Scenario Outline: The journal when an answer is lost
    Given a store with a leader's journal
    When the answer to a commit is lost and the change is made <when>
    Then the journal finds out that the change was made once
    And a later commit stands over the earlier one

    Examples:
      | when          |
      | at once       |
      | 1.5 s later   |

  Scenario: A deposed leader writes nothing
    Given a store with a leader's journal
    When another leader begins its term
    Then the first leader's commit tells that leadership is lost
    And nothing of it was written
