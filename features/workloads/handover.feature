Feature: Hand-over of the leadership at a planned stop

  Scenario: A renewal that meets the end of its own lease takes no new one
    # Incident de4f (Msasani): the second hand-over took 2.6 s. A renewal was under way
    # when the leader resigned, found its lease ended, and led again under a new one.
    Given a leader whose renewal is under way
    When it resigns and the renewal is told that the lease has ended
    Then it takes no new lease and writes nothing

  Scenario: A leader whose lease has ended without its doing takes a new one
    Given a leader whose renewal is under way
    When the renewal is told that the lease has ended
    Then it takes a new lease and writes that it leads
