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

  Scenario: A late response about an ended lease does not replace the next one
    # Guards against two leaders (TWICE, issue 43): the leader took the response for one about
    # its new and valid lease, and bound the leader item to a third one. While the response
    # to that write was missing it went on to renew the second, which nothing depended on.
    Given a leader with two renewals on their way to the store, whose lease has ended
    When the first response has led to a new lease, and the second one arrives
    Then the new lease is the only one, and the leader item is bound to it
