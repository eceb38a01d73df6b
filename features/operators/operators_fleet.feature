Feature: Operators' changes on a fleet of processes
  Guards against what documents in memory cannot show: the port with the real store
  client, replica and coordinator, several entries and callers over loopback.

  Scenario: Changes on a running fleet
    Given three entries with the fleet's configuration
    # Invariant 11: accepted is in force everywhere within seconds.
    When a key is created for team "hotels" and the answer says in force
    Then every entry accepts the key at once
    # Invariant 4: a withdrawn key stops working within seconds.
    When the key is withdrawn and the answer says in force
    Then every entry refuses the key at once
    # Guards against a change that is lost, or made twice, by operators who race.
    When each entry gets 6 changes of the same team at once
    Then each accepted change has a version of its own and is on record
    And the refused ones were told the version and the change that came first
    # Guards against a second effect of a swap whose answer was lost.
    When the store loses its next answer and team "late" is created
    Then team "late" is on record once
    # Guards against a change accepted by an entry that another member does not know.
    When entry 3 is killed and entry 4 is started
    Then entry 4 refuses changes and names entry 3
    When entry 4 is told to forget entry 3
    Then entry 4 accepts changes, and the audit trail has "forget member entry-3"
