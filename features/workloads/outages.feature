Feature: Outages of the store end when they end

  Scenario Outline: Callers are answered at once while the store is <how>
    # Guards against requests that are kept until their deadline although nothing of
    # them can be recorded, and answers 504 to them: in trouble-2 (demands) of 254
    # requests around an outage of 3 s, 47 got 504 and 104 nothing in time.
    Given 4 entries, and a job handed in once each 0.1 s
    When the store is <how> for 3 s
    Then at most 2 jobs that were handed in meanwhile have an unknown outcome
    And each refusal came within 1.3 s
    And no refused job is recorded
    And the first job is accepted within 0.5 s of the store's return

    Examples:
      | how      |
      | silent   |
      | refusing |

  Scenario: Refused jobs that are handed in again while writes are catching up
    # Guards against a job that is reported as accepted and in no record: a write that
    # was planned before its refusal left it out and confirmed it all the same.
    Given 4 entries, and a job handed in once each 0.01 s
    When the store is silent for 3 s
    Then no job is recorded whose last answer was a refusal
    And each accepted job is recorded
    And the first job is accepted within 0.5 s of the store's return

  Scenario: Lost responses are no outage
    # Guards against refusals, and copies of jobs, because of a store that answers most
    # calls: the next attempt of a write shows whether it was executed.
    Given 4 entries, and a job handed in once each 0.1 s
    When the store loses each 4th response to a write for 3 s
    Then no job is refused, and none has an unknown outcome

  Scenario: A write is not given up while a slow store answers others first
    # Guards against writes that a slow store could never finish, since each attempt
    # would be given up when a later call is answered.
    Given 4 entries, and a job handed in once each 0.1 s
    When the store takes 0.29 s for a write and 0.2 s for others, for 3 s
    Then no job is refused, and none has an unknown outcome

  Scenario: A leader that is parted from the store while others are not
    # Guards against false refusals: the parted leader refuses what it has not sent, and
    # the next leader must not run it.
    Given 4 entries, and a job handed in once each 0.1 s
    When only the leader loses the store for 3 s
    Then no refused job is recorded
    And each refusal came within 2.3 s

  Scenario: A data centre that is parted during an outage of the store
    # Guards against entries that stay in the balancer's rotation because the last
    # heartbeat that reached them said that the store is unavailable to all: in trouble-2
    # (demands) callers of a parted data centre got 503 for 6 s, and other data centres
    # could have served them.
    Given 4 entries, and a job handed in once each 0.1 s
    When the store is silent for 3 s, and an entry is parted from the others 2 s later
    Then the parted entry is not ready 2 s after that, and the others are
    And each refusal came within 2.3 s
