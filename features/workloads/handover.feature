Feature: Handover of the leadership at a planned stop

  Scenario: A renewal that finds the lease ended by resignation takes no new one
    # Guards against a renewal in progress that writes the leader item again after the
    # leader resigned. Found during the analysis of incident de4f (Msasani), but not its
    # cause.
    Given a leader with a lease renewal in progress
    When it resigns and the renewal response says that the lease has ended
    Then it takes no new lease and writes nothing

  Scenario: A leader whose lease ended without a resignation takes a new one
    Given a leader with a lease renewal in progress
    When the renewal response says that the lease has ended
    Then it takes a new lease and writes the leader item

  Scenario: An unexpected failure of a renewal is logged, and the next one is sent
    Given a leader whose store sends unreadable responses to renewals
    When 3 renewals are due
    Then each is logged, and the leader keeps renewing
