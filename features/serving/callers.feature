Feature: The HTTP server for callers rejects invalid requests
  Guards against a malformed, late or unauthorized request that is run, gets no
  response, or gets a response other than the documented refusal.

  Background:
    Given an endpoint
    And teams "hotels" and "ferries", of which "ferries" may not use the queue

  Scenario Outline: A request with "<headers>" and body "<body>"
    When a request with "<headers>" and body "<body>" is sent
    Then it is refused with <status>, "not run" and "<code>"
    And no endpoint received it

    Examples: headers
      | headers                                                     | body     | status | code        |
      | KEY; Briarshed-Idempotent: yes                              | complete | 400    | bad-header  |
      | KEY; Briarshed-Idempotent: true; Briarshed-Idempotent: true | complete | 400    | bad-header  |
      | KEY; Briarshed-Urgent: 1                                    | complete | 400    | bad-header  |
      | KEY; Briarshed-Deadline-Ms: 0                               | complete | 400    | bad-header  |
      | KEY; Briarshed-Deadline-Ms: 60001                           | complete | 400    | bad-header  |
      | KEY; Briarshed-Deadline-Ms: 1e3                             | complete | 400    | bad-header  |
      | KEY; Briarshed-Deadline-Ms: -5                              | complete | 400    | bad-header  |
      | KEY; Briarshed-Job-Id: a b                                  | complete | 400    | bad-header  |
      | KEY; Briarshed-Job-Id: LONG                                 | complete | 400    | bad-header  |
      | KEY; Authorization: Bearer other                            | complete | 400    | bad-header  |
      | KEY; Content-Length: many                                   | none     | 400    | bad-request |
      | KEY; Bad Name: x                                            | complete | 400    | bad-request |
      | KEY; Briarshed-Job-Id: LINE                                 | complete | 400    | bad-request |

    Examples: keys
      | headers                       | body     | status | code             |
      |                               | complete | 401    | key-missing      |
      | Authorization: Basic abc      | complete | 401    | key-missing      |
      | Authorization: Bearer         | complete | 401    | key-missing      |
      | Authorization: Bearer k-1.abc | complete | 401    | key-not-valid    |
      | KEY-FERRIES                   | complete | 403    | team-not-allowed |

    Examples: bodies
      | headers | body                   | status | code           |
      | KEY     | over the limit         | 413    | body-too-large |
      | KEY     | chunked over the limit | 413    | body-too-large |
      | KEY     | slow                   | 408    | slow-sender    |
      | KEY     | short                  | 400    | short-body     |
      | KEY     | short after a pause    | 400    | short-body     |
      | KEY     | short chunked          | 400    | short-body     |
      | KEY     | broken chunk           | 408    | slow-sender    |

  Scenario Outline: An unknown path or a wrong method is refused with a JSON body
    When "<method>" is requested on "<path>"
    Then it is refused with <status>, "not run" and "<code>"

    Examples:
      | method | path                | status | code               |
      | POST   | /queues/absent/jobs | 404    | no-such-queue      |
      | GET    | /queues/proofs/jobs | 405    | method-not-allowed |
      | POST   | /queues             | 404    | not-found          |

  Scenario Outline: The "<subject>" is <event> while the job waits
    Given the endpoint is busy
    When a job waits and the "<subject>" is <event>
    Then it is refused with <status>, "not run" and "<code>"
    And no endpoint received it

    Examples:
      | subject   | event      | status | code                    |
      | key       | withdrawn  | 401    | key-not-valid           |
      | key       | expired    | 401    | key-not-valid           |
      | team      | excluded   | 403    | team-not-allowed        |
      | authority | lost       | 503    | configuration-not-fresh |

  Scenario: A full queue refuses a job before its body is read
    Given the queue's limit is 0 jobs
    When a request with "KEY" and body "slow" is sent
    Then it is refused with 429, "not run" and "queue-full"

  Scenario: Authority is checked after connecting and before the first byte is sent
    When a job's authority is lost while it connects to the endpoint
    Then it is refused with 503, "not run" and "configuration-not-fresh"
    And no endpoint received it

  Scenario: An open queue runs jobs without a key while the entry has no authority
    Given the queue is open and the authority is lost
    When a request with "Briarshed-Job-Id: open-1" and body "complete" is sent
    Then it is answered with 200

  Scenario: A compressed body is forwarded unchanged
    When a request with "KEY; Content-Encoding: gzip" and body "complete" is sent
    Then it is answered with 200
    And the endpoint received the body unchanged

  Scenario Outline: The caller disconnects while a <kind> job is <state>
    Given the endpoint is busy
    When the caller of a <kind> job that is <state> disconnects
    Then <effect>

    Examples:
      | kind           | state   | effect                                       |
      | idempotent     | queued  | its place in the queue is freed within 0.2 s |
      | non-idempotent | queued  | its place in the queue is freed within 0.2 s |
      | idempotent     | running | the endpoint stops it                        |
      | non-idempotent | running | the endpoint finishes it                     |

  Scenario: Readiness is reported with its reason
    Then readiness is 200 "ready" at first
    And readiness is 503 "stopping" once a stop is announced
    And a job after the drain is refused as "stopping"
