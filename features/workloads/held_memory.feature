Feature: The memory that jobs take

  Scenario Outline: Schedules take a bounded part of the memory, whatever their later steps
    # Guards against accepted jobs that are lost (LOST, review/11): each occurrence that
    # was open added the tasks of its later steps, until the leader exceeded its memory,
    # and so did each next one that restored the record.
    Given <jobs> scheduled jobs with 8760 overdue occurrences of steps with <counts> tasks
    When all steps before the last one succeed in each occurrence that is open
    Then the jobs have taken at most the memory that is meant for them
    When the next leader restores these jobs, plans and corrects its state
    Then the jobs have taken at most the memory that is meant for them
    And tasks of each job wait

    Examples:
      | jobs | counts      |
      | 1    | 1, 1000     |
      | 1    | 1, 50000    |
      | 1    | 30, 5000    |
      | 1    | 1, 30, 5000 |
      | 40   | 1, 2000     |

  Scenario: Occurrences that an earlier version has opened become active one by one
    # Guards against a record that ends each leader that restores it, and against runs of
    # its occurrences that are stopped or start again.
    Given a scheduled job of 500 occurrences, all of which an earlier version has opened
    And its steps have 1 and 1000 tasks, of which the first has succeeded in each
    When the next leader restores this job, and an endpoint lists a run of occurrence 499
    Then the jobs have taken at most the memory that is meant for them
    And the run is not to be stopped
    When each task that waits or runs succeeds until none is left
    Then each task has succeeded once, and the job is completed

  Scenario: The widest occurrences of a schedule run one by one
    # Guards against a schedule of a legal size that opens nothing any more.
    Given 1 scheduled jobs with 3 overdue occurrences of steps with 1, 99999 tasks
    When each task that waits or runs succeeds until none is left
    Then each task has succeeded once, and the job is completed
    And at most 1 of its occurrences was active at a time

  Scenario: Schedules share the memory for their further occurrences
    # Guards against one schedule that takes the room of all others, and against room
    # that is not returned.
    Given 2 scheduled jobs with 8760 overdue occurrences of steps with 1, 1000 tasks
    When all steps before the last one succeed in each occurrence that is open
    Then each job has several active occurrences
    When the first of the jobs is cancelled, and the tasks of the other one are ordered
    And all steps before the last one succeed in each occurrence that is open
    Then the second one has more active occurrences than before
    When the second of the jobs is cancelled
    Then no memory is reserved for further occurrences

  Scenario Outline: A job that has ended takes little memory
    # Guards against a leader that exceeds its memory although hardly a job is open: each
    # job kept its steps and tasks until its state was forgotten.
    Given 100 jobs of 500 steps that have <ended>
    When the leader forgets what it needs no more of jobs that have ended
    Then each job takes at most 2400 bytes more than before it was accepted
    And each job is still reported as <ended>

    Examples:
      | ended     |
      | completed |
      | cancelled |

  Scenario: A job that has ended is kept until its runs have ended
    # Guards against runs whose capacity or stop is decided without their step.
    Given a job that was cancelled while a run of it is listed
    When the leader forgets what it needs no more of jobs that have ended
    Then the job still has its steps, and the run is to be stopped
    When the run has ended, and the leader forgets again
    Then the job has no steps
    When an endpoint lists a run of it with a checkpoint, and then its end
    Then that run is to be stopped, and the endpoint has no runs
