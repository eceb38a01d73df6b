Feature: Checkpoints that a leader keeps

  Scenario Outline: A checkpoint that cannot be kept costs the work since the last one
    # Guards against jobs that are lost (LOST, review/13), and against a checkpoint that
    # takes the run, the job or the endpoint with it.
    Given a leader whose endpoint runs a task with the checkpoint "c1"
    When the run is listed with a checkpoint of <count> <characters>
    Then the run is present, and the checkpoint is <kept>
    When the run is lost, and the task starts again
    Then the start carries the checkpoint <carried>
    When the next leader restores the job
    Then the task has the checkpoint <carried>

    Examples:
      | count   | characters           | kept                | carried  |
      | 5000    | ASCII characters     | kept                | that ran |
      | 20000   | two-byte characters  | kept                | that ran |
      | 65537   | ASCII characters     | not kept but logged | c1       |
      | 40000   | two-byte characters  | not kept but logged | c1       |
      | 1       | halves of characters | not kept but logged | c1       |

  Scenario Outline: An end counts whatever its checkpoint
    # Guards against ends that are never noted (LOST, review/13).
    Given a leader whose endpoint runs a task with the checkpoint "c1"
    When the run is listed as <outcome> with a checkpoint of 1000000 ASCII characters
    Then the end is noted, and the job is <state>

    Examples:
      | outcome   | state     |
      | succeeded | completed |
      | failed    | running   |
      | stopped   | running   |

  Scenario: Checkpoints of all jobs share their memory
    # Guards against a leader that exceeds its memory by the checkpoints that it keeps.
    Given a leader with 40 jobs of 10 tasks that run
    When each run is listed with a checkpoint of 60000 ASCII characters
    Then the checkpoints take at most 16 MB, and those beyond it are logged
    When the state is corrected
    Then the checkpoints take as much as before
    When all tasks of half of the jobs succeed, and the other jobs are cancelled
    Then the checkpoints take 0 MB

  Scenario: The record of a job holds the shortest checkpoints
    # Guards against a write that takes so long that no other follows in time, and against
    # a job that loses all checkpoints because of one.
    Given a leader with 1 jobs of 10 tasks that run
    When each run is listed with a longer checkpoint, by 8000 ASCII characters
    Then the record holds the first 5 checkpoints

  Scenario: The members of a gang start from one checkpoint
    # Guards against members that resume from different states after a change of leader.
    Given a leader with a gang of 8 tasks that run
    When one of them is listed with a checkpoint of 20000 ASCII characters
    Then the record holds no checkpoint
    When one of them is listed with a checkpoint of 2000 ASCII characters
    Then the record holds the checkpoint for each member

  Scenario: A run of a job that has ended lists a checkpoint
    # Guards against an error in the handling of each response of the endpoint: the steps
    # of a job that an earlier leader has recorded as ended are not known.
    Given a leader that has restored a completed job
    When an endpoint lists a run of it with the checkpoint "c1"
    Then the run is to be stopped
    When the run is listed as stopped with the checkpoint "c2"
    Then the endpoint has no runs
