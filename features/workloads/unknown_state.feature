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

  Scenario: A list of ends that stays incomplete ends no run of an earlier leader
    # Guards against a task that starts again after its success (TWICE, read from the
    # code): the new leader waited for the run leases, which say nothing of an endpoint
    # that responds, and whose further ends are listed once the store has taken these.
    Given a new leader of an endpoint at which 600 tasks have ended
    And another endpoint "b" that is free
    When the endpoint lists 500 of the ends and says that there are more
    And the store has taken none of them 20 s later
    Then no task of these starts again
    When it lists the others
    Then the job is completed

  Scenario: A job keeps its attempts after its queue was removed and the leader has changed
    # Guards against a job that is shown as failed without cause (LOST, read from the
    # code): a new leader does not find the queue, and took one attempt for its rule.
    Given a job of a queue with 2 attempts, accepted by the leader
    When the queue is removed, and a new leader restores the records
    And a run of the job fails
    Then the job is not shown as failed
    When a second run of the job fails
    Then the job is shown as failed

  Scenario: A new leader keeps to a team's limit before it knows all runs
    # Guards against a team over its limit after a change of the leader (QUOTA, read from
    # the code): usage was counted from the endpoints that had been polled, and what ran
    # at the others counted as nothing.
    Given a leader of epoch 3 and a team whose runs at "b" use its whole limit
    When "a" answers a poll and "b" has not been polled
    Then no new job of that team starts
    When "b" lists its runs
    Then no new job of that team starts
    When the runs at "b" end
    Then a new job of that team starts

  Scenario: A job that was accepted is not refused while the next leader reads the records
    # Guards against a refusal that is not true (read from the code): a leader that had
    # not read the records refused a job that the last leader had accepted.
    Given 3 entries, of which the leader has accepted a job
    When the leader is killed, and the job is submitted again before the next one has read the records
    Then that submission is not refused

  Scenario: The pace that an earlier leader has set is set again
    # Guards against a best-effort run that stays slow for good (read from the code): a
    # new leader took the pace for full, which an earlier one may have reduced.
    Given a new leader with an endpoint that lists a best-effort run
    When it runs alone at its endpoint
    Then an order sets it to full speed

  Scenario: A registration of another writer does not replace an endpoint
    # Guards against a task that runs twice (TWICE, read from the code): a registration
    # of a pool that the configuration does not name is of another writer. A later start
    # in it on the same instance removed the runs of the endpoint there.
    Given a leader with a configuration, and a task that runs at "a" on instance "m"
    When "x" of the pool "other" registers with a later start on that instance
    Then the run at "a" goes on
    And no task starts at "x"

  Scenario Outline: A later registration of a known pool replaces an endpoint
    # Guards against runs that are kept until their lease expires, although their
    # instance has a later incarnation.
    Given a leader with <configuration>, and a task that runs at "a" on instance "m"
    When "x" of the pool "<pool>" registers with a later start on that instance
    Then the run at "a" has ended

    Examples:
      | configuration    | pool  |
      | a configuration  | pool  |
      | no configuration | other |

  Scenario: A pool that a newer configuration adds is known at once
    # Guards against the same, while the leader reads of a new pool after its endpoints.
    Given a leader with a configuration, and a task that runs at "a" on instance "m"
    When "x" of the pool "other" registers with a later start on that instance
    Then the run at "a" goes on
    When a newer configuration adds that pool and the registrations are read again
    Then the run at "a" has ended

  Scenario Outline: A registration of another writer under an endpoint's name
    # Guards against a task that runs twice (TWICE, read from the code): the registration
    # has a pool that the configuration does not name, and removed the runs of the
    # endpoint, or sent its orders to another address.
    Given a leader with a configuration, and a task that runs at "a" on instance "m"
    When another writer registers "a" in an unknown pool at another address, started <when>
    Then the run at "a" goes on
    And orders to "a" go to its own address

    Examples:
      | when             |
      | later            |
      | at the same time |

  Scenario: A registration of another writer hides no endpoint from a new leader
    # Guards against a task that runs twice (TWICE, read from the code): the registration
    # names a pool that is not configured, so that restored jobs of the endpoint's own
    # pool did not wait for it, and the record of endpoints with runs was not used.
    Given a new leader with a restored job, and "a" of the pool "pool" in the record
    When another writer has registered "a" in the pool "other" when the records are read
    Then the job waits until "a" has answered a poll at its own address

  Scenario: No task starts at an endpoint while a record without it is being written
    # Guards against a task that runs twice after a change of the leader (TWICE, read from
    # the code): the endpoint is registered again during the write, and the next leader
    # does not learn that it may have runs.
    Given a leader with endpoints "a" and "b", of which "b" is not registered any more
    When "b" is registered again while the record without it is being written
    Then no task starts at "b" before a record with it is written

  Scenario Outline: No task starts at an endpoint before its restart is recorded
    # Guards against a task that runs twice after a change of the leader (TWICE, issue 52): the
    # endpoint had restarted under its name and kept runs for the longest lease, and the next
    # leader did not learn that it had restarted.
    Given a leader with endpoints "a" and "b", of which "b" has joined and "a" is recorded
    When "b" restarts <evidence> while the record with it is being written
    Then no task starts at "b" before a record with it is written

    Examples:
      | evidence     |
      | registered   |
      | unregistered |
