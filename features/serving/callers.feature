Feature: The callers' port refuses bad input explicitly
  Guards against a malformed, late or foreign request that is run, left without an
  answer, or answered with something else than the documented refusal.

  Background:
    Given an endpoint
    And teams "hotels" and "ferries", of which "ferries" may not use the queue

  Scenario Outline: A request with "<headers>" and body "<body>"
    When a request with "<headers>" and body "<body>" is sent
    Then it is refused with <status>, "not run" and "<code>"
    And no endpoint saw it

    Examples: headers
      | headers                                                | body  | status | code       |
      | KEY; Briarshed-Idempotent: yes                         | whole | 400    | bad-header |
      | KEY; Briarshed-Idempotent: true; Briarshed-Idempotent: true | whole | 400 | bad-header |
      | KEY; Briarshed-Urgent: 1                               | whole | 400    | bad-header |
      | KEY; Briarshed-Deadline-Ms: 0                          | whole | 400    | bad-header |
      | KEY; Briarshed-Deadline-Ms: 60001                      | whole | 400    | bad-header |
      | KEY; Briarshed-Deadline-Ms: 1e3                        | whole | 400    | bad-header |
      | KEY; Briarshed-Deadline-Ms: -5                         | whole | 400    | bad-header |
      | KEY; Briarshed-Job-Id: a b                             | whole | 400    | bad-header |
      | KEY; Briarshed-Job-Id: LONG                            | whole | 400    | bad-header |
      | KEY; Authorization: Bearer other                       | whole | 400    | bad-header |
      | KEY; Content-Length: many                              | none  | 400    | bad-request |
      | KEY; Bad Name: x                                       | whole | 400    | bad-request |
      | KEY; Briarshed-Job-Id: LINE                            | whole | 400    | bad-request |

    Examples: keys
      | headers                       | body  | status | code             |
      |                               | whole | 401    | key-missing      |
      | Authorization: Basic abc      | whole | 401    | key-missing      |
      | Authorization: Bearer         | whole | 401    | key-missing      |
      | Authorization: Bearer k-1.abc | whole | 401    | key-not-valid    |
      | KEY-FERRIES                   | whole | 403    | team-not-allowed |

    Examples: bodies
      | headers | body                   | status | code           |
      | KEY     | over the limit         | 413    | body-too-large |
      | KEY     | chunked over the limit | 413    | body-too-large |
      | KEY     | slow                   | 408    | slow-sender    |
      | KEY     | short                  | 400    | short-body     |
      | KEY     | short after a pause    | 400    | short-body     |
      | KEY     | short chunked          | 400    | short-body     |
      | KEY     | broken chunk           | 408    | slow-sender    |

  Scenario Outline: Another path or method is refused in JSON too
    When "<method>" is requested on "<path>"
    Then it is refused with <status>, "not run" and "<code>"

    Examples:
      | method | path                | status | code               |
      | POST   | /queues/absent/jobs | 404    | no-such-queue      |
      | GET    | /queues/proofs/jobs | 405    | method-not-allowed |
      | POST   | /queues             | 404    | not-found          |

  Scenario Outline: A "<subject>" <event> while the job waits
    Given the endpoint is busy
    When a job waits and the "<subject>" is <event>
    Then it is refused with <status>, "not run" and "<code>"
    And no endpoint saw it

    Examples:
      | subject   | event      | status | code                    |
      | key       | withdrawn  | 401    | key-not-valid           |
      | key       | expired    | 401    | key-not-valid           |
      | team      | excluded   | 403    | team-not-allowed        |
      | authority | lost       | 503    | configuration-not-fresh |

  Scenario: A full queue refuses a job before its body is read
    Given the queue holds no job
    When a request with "KEY" and body "slow" is sent
    Then it is refused with 429, "not run" and "queue-full"

  Scenario: The freshness check is made between the connection and the first byte
    When a job's authority is lost while it connects to the endpoint
    Then it is refused with 503, "not run" and "configuration-not-fresh"
    And no endpoint saw it

  Scenario: An open queue without a key serves without authority
    Given the queue is open and the authority is lost
    When a request with "Briarshed-Job-Id: open-1" and body "whole" is sent
    Then it is answered with 200

  Scenario: A compressed body stays as it is
    When a request with "KEY; Content-Encoding: gzip" and body "whole" is sent
    Then it is answered with 200
    And the endpoint got the body as it was sent

  Scenario Outline: The caller disconnects while a <kind> job is <state>
    Given the endpoint is busy
    When the caller of a <kind> job that is <state> disconnects
    Then <effect>

    Examples:
      | kind           | state   | effect                                     |
      | idempotent     | queued  | its place in the queue is free within 0.2 s |
      | non-idempotent | queued  | its place in the queue is free within 0.2 s |
      | idempotent     | running | the endpoint stops it                      |
      | non-idempotent | running | the endpoint finishes it                   |

  Scenario: Readiness is reported with its reason
    Then readiness is 200 "ready" at first
    And readiness is 503 "stopping" once a stop is announced
    And a job after the drain is refused as "stopping"
