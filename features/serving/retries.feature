Feature: Retries stay within their budget, and failing endpoints are ejected
  Guards against retries that amplify an overload, and against an endpoint that fails
  every job immediately and so attracts all jobs.

  Scenario Outline: Half of the endpoints of a pool always have the fault "<fault>"
    When 300 idempotent jobs run in a pool of which 4 of 8 endpoints have the fault "<fault>"
    Then at most 1.2 attempts were made for each job
    And every job was answered, at least <finished> of them with 200
    And no job that was refused as "not run" started

    Examples:
      | fault                  | finished |
      | fail                   | 270      |
      | unreachable            | 270      |
      | close after some bytes | 270      |
      | close after all bytes  | 270      |

  Scenario: All endpoints fail every request
    When 200 idempotent jobs run in a pool of which 4 of 4 endpoints have the fault "fail"
    Then at most 1.2 attempts were made for each job
    And every job was answered, at least 0 of them with 200

  Scenario: An endpoint that fails every request is ejected and gets one job on probation
    When jobs run for 2.5 s in a pool of which 1 of 2 endpoints have the fault "fail"
    Then the failing endpoint got from 6 to 12 jobs
    And a job sent after its recovery and the end of its ejection readmits it

  Scenario: The only endpoint of a pool is never ejected
    When 20 idempotent jobs run in a pool of which 1 of 1 endpoints have the fault "fail"
    Then the failing endpoint got at least 20 jobs
