Feature: Work that grows with the stored jobs leaves room for other tasks

  Scenario Outline: The lease is renewed while a new leader restores many jobs
    # Guards against jobs that are lost (LOST): the records of all jobs were restored in
    # one step of the event loop, on which the lease is renewed too, so that no entry
    # could lead once this took longer than the lease.
    Given two entries and the records of <jobs> jobs, each of which takes 10 ms to restore
    When the leader is killed
    Then the other one leads once it has restored all jobs
    And its event loop is never busy for longer than the interval of renewing the lease
    And new jobs are accepted and completed

    Examples:
      | jobs |
      | 200  |
      | 1000 |

  Scenario: The lease is renewed while the state of many jobs is corrected
    # Guards against jobs that are lost (LOST): the state of all jobs was checked in one
    # step of the event loop, so that each leader lost its lease again and again.
    Given two entries and the records of 200 jobs, each of which takes 10 ms to correct
    When the leader is killed
    Then the other one leads once it has restored all jobs
    And its event loop is never busy for longer than the interval of renewing the lease
    And new jobs are accepted and completed

  Scenario: Jobs beyond what a leader can plan within its lease are refused at once
    # Guards against accepted jobs that are lost (LOST): the time that a plan takes grows
    # with the open jobs, and beyond the lease no entry can lead.
    Given three entries and the records of 5300 jobs
    When the leader is killed, and a job is submitted at each of the others
    Then both jobs are refused within 0.1 s, with a retry delay of 10 s
    When 1000 jobs are cancelled, and a job is submitted 2 s later
    Then it is accepted and completed
