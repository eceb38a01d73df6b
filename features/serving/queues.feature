Feature: Queues are bounded and fair and dispatch only to eligible endpoints
  Guards against queues that grow without bound, teams that starve, urgent jobs that
  wait behind other jobs, and jobs on endpoints that must not get any.

  Scenario Outline: A queue at its limit of <bound>
    Given a queue limited to <jobs> jobs and <bytes> bytes, and a busy endpoint
    When <count> jobs of 100 bytes are submitted
    Then <refused> of them are refused at once with 429 "queue-full" and Retry-After

    Examples:
      | bound | jobs | bytes | count | refused |
      | jobs  | 4    | 9999  | 8     | 3       |
      | bytes | 99   | 250   | 8     | 5       |

  Scenario: A job that would wait past its deadline is refused at once
    Given a queue with a learned run time of 0.3 s, and a busy endpoint
    When 10 jobs wait and one more with a deadline of 1000 ms is submitted
    Then the last job is refused within 0.2 s with 429 "wait-too-long" and Retry-After from 3 to 5

  Scenario: A long queue of one team does not refuse the jobs of another
    Given a queue with a learned run time of 0.3 s, and a busy endpoint
    When 10 jobs wait and one more of team "ferries" with a deadline of 1500 ms is submitted
    Then the last job is answered with 200

  Scenario: An urgent job starts before other queued jobs
    Given a queue with a learned run time of 0.3 s, and a busy endpoint
    When 10 jobs wait and one urgent job is submitted
    Then the last job started within 1 s

  Scenario: A team at its limit waits while another team runs
    When team "hotels" with limit 1 and team "ferries" each submit 3 jobs of 0.2 s
    Then "hotels" never ran more than 1 job, and the jobs of "ferries" ran in parallel

  Scenario: A job that waits for its team's limit starts when a grant arrives
    When a job waits at limit 0 and the limit is raised after 0.3 s
    Then it starts within 0.2 s after the raise

  Scenario Outline: An instance in state "<state>" in "<data_centre>"
    When 10 jobs run with another instance in state "<state>" in "<data_centre>"
    Then the other instance gets <jobs>

    Examples:
      | state     | data_centre | jobs      |
      | serving   | dc1         | some jobs |
      | returning | dc1         | some jobs |
      | serving   | dc2         | no job    |
      | leaving   | dc1         | no job    |
      | draining  | dc1         | no job    |
      | rebooting | dc1         | no job    |
      | failed    | dc1         | no job    |
      | gone      | dc1         | no job    |

  Scenario: Another data centre is used when the local one is full
    When 12 jobs of 0.3 s run with another instance in "dc2"
    Then every job is answered with 200, and the other instance got at least 4

  Scenario: An evacuated data centre gets no job, also when the other one is full
    # Guards against placement that does not know of an evacuation.
    When 12 jobs of 0.3 s run with another instance in "dc2", which is evacuated
    Then the other instance gets no job

  Scenario: An instance that starts to leave gets no further job and loses none
    When an instance starts to leave while 30 jobs run
    Then every job is answered with 200, and the leaving instance got no later job

  Scenario: Many callers disconnect at once
    When 120 callers submit jobs and 100 of them disconnect at once
    Then the other jobs are answered with 200, and no grant or queued job is left

  Scenario: An entry opens only its share of an endpoint's connections
    When 30 jobs of 0.3 s are submitted to one endpoint with 64 slots
    Then at most 7 connections to it were open at a time
