Feature: Records of a term

  Scenario Outline: An endpoint starts again under its name while the store is away
    # Soak seed 4: started after its success. The ends of the new incarnation were
    # acknowledged up to the number of the old one, before anybody had seen them.
    Given a leader whose endpoint "a" has listed 7 ends
    When a write begins, "a" <starts again>, and the write goes through
    Then no end of the new incarnation is acknowledged

    Examples:
      | starts again                       |
      | answers a look as a new one        |
      | registers as a new one             |

  Scenario: Ends are acknowledged only once they are written
    Given a leader whose endpoint "a" has listed 7 ends
    When a write begins
    Then no end is acknowledged
    When the write goes through
    Then 7 ends are acknowledged

  Scenario: An outcome is told only once it is written
    Given a leader with a job whose last task has succeeded
    When a write begins
    Then the job is not told to be completed
    When the write goes through
    Then the job is told to be completed

  Scenario: Moves of instances are recorded with the next write of jobs
    # trouble-2 (Msasani, grown): with a slow store, a write of their own for moves let the
    # reserve come 2 s later.
    Given a leader with a job whose last task has succeeded
    When an instance is moved and a write goes through
    Then one write holds the outcome of the job and the move
