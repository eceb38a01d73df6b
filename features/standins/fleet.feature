Feature: A fleet on loopback
  Guards against controls of a fleet that have no effect, and against processes that
  keep running after the fleet: they would slow down later tests and measurements.

  Scenario: Each control acts on its process, and the remaining processes finish jobs
    Given a fleet of 2 entries with links to the store
    Then 20 jobs finish through the fleet
    When fleet process "entry-1" is killed
    Then 20 jobs finish through the fleet
    When entry "entry-1" is restarted
    And an entry is added to the fleet
    Then the ready entries are "entry-1, entry-2, entry-3"
    When fleet process "entry-2" is stopped
    Then entry "entry-2" does not answer
    When fleet process "entry-2" is resumed
    Then entry "entry-2" answers
    When the links "entry-2>store" are cut
    Then entry "entry-2" cannot reach the store
    When the links are healed
    And fleet process "entry-3" is terminated
    Then fleet process "entry-3" ends within 15 s
    And 20 jobs finish through the fleet
    When fleet process "endpoint-1" is killed
    Then 20 idempotent jobs finish through the fleet
    When the endpoints of "endpoint-1" are restarted
    Then 20 jobs finish through the fleet
    And the records of the fleet have no violation

  Scenario: A fleet whose entry ends at its start fails at once with the entry's log
    When a fleet starts an entry that ends with "bad settings"
    Then the fleet failed within 10 s with "entry-1 ended" and "bad settings"

  Scenario: Two fleets at once never choose the same address
    Then 400 addresses of each of two fleets are all different

  Scenario: All processes end with a program that a shell has started in the background
    # Guards against a fleet that goes on after SIGINT: such a shell lets it ignore the
    # signal, as in a run of CI in the background.
    Given "make fleet" is running, and its parent ignores SIGINT
    When the fleet's program gets SIGINT
    Then none of its processes is left after 10 s

  Scenario Outline: All processes end with the program
    Given "make fleet" is running
    When the fleet's program gets <signal>
    Then none of its processes is left after 10 s

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |
      | SIGKILL |
