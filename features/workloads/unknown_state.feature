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

  Scenario: A job keeps its attempts after its queue was removed and the leader has changed
    # Guards against a job that is shown as failed without cause (LOST, read from the
    # code): a new leader does not find the queue, and took one attempt for its rule.
    Given a job of a queue with 2 attempts, accepted by the leader
    When the queue is removed, and a new leader restores the records
    And a run of the job fails
    Then the job is not shown as failed
    When a second run of the job fails
    Then the job is shown as failed
