Feature: What a leader does not know yet

  Scenario Outline: A list of ends that is not complete ends no other run
    # Guards against a task that runs twice (TWICE, read from the code): an endpoint lists
    # 500 ends at a time, and a run that had ended beyond these counted as lost.
    Given <leader> of an endpoint at which 600 tasks have ended
    When the endpoint lists 500 of the ends and says that there are more
    Then no task of these starts again
    When it lists the others
    Then the job is completed

    Examples:
      | leader       |
      | the leader   |
      | a new leader |
