Feature: Replies of the leader that arrive late

  Scenario: A reply to the process before a restart answers no request of the next one
    # Guards against callers that are told that a job is accepted which no leader has stored
    # (LOST): requests were numbered from 1 in each process, so that a reply that was held up
    # for longer than the restart took answered the request with that number of another job.
    Given 3 requests of an entry to the leader to accept a job
    When the entry restarts, and sends 3 requests for other jobs
    And the replies to the first 3 requests arrive
    Then none of the other jobs counts as accepted
    And each of them does when its own reply arrives
