Feature: Operators' changes on a fleet of processes
  Guards against faults that in-memory documents do not cover: the operators' server
  runs with the real store client, replica and coordinator, several entries and callers
  over loopback.

  Scenario: Changes on a running fleet
    Given three entries with the fleet's configuration
    # Invariant 11: an accepted change is in force at every entry within seconds.
    When a key is created for team "hotels" and the response says in force
    Then every entry accepts the key at once
    # Invariant 4: a withdrawn key is rejected within seconds.
    When the key is withdrawn and the response says in force
    Then every entry refuses the key at once
    # Guards against a change that is lost or made twice by concurrent operators.
    When each entry gets 6 changes of the same team at once
    Then each accepted change has its own version and an audit record
    And the refusals name the current version and the change that came first
    # Guards against a second effect of a compare-and-swap whose response was lost.
    When the store loses its next response and team "late" is created
    Then team "late" is in the audit trail once
    # Guards against a change accepted by an entry that another member does not know.
    When entry 3 is killed and entry 4 is started
    Then entry 4 refuses changes and names entry 3
    When entry 4 gets the command to forget entry 3
    Then entry 4 accepts changes, and the audit trail has "forget member entry-3"
