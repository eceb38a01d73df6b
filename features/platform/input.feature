Feature: Input that cannot be read

  Scenario Outline: A job that is not valid
    When a caller hands in <body>
    Then the finding names <place>

    Examples:
      | body                                                                | place         |
      | {"steps":[{"count":1}]}                                             | spec          |
      | {"spec":"x"}                                                        | steps         |
      | {"spec":"x","steps":[]}                                             | steps         |
      | {"spec":"x","steps":[{"count":0}]}                                  | steps.0.count |
      | {"spec":"x","steps":[{"count":"1"}]}                                | count         |
      | {"spec":"x","steps":[{"count":1,"after":[0]}]}                      | steps.0.after |
      | {"spec":"x","steps":[{"count":1},{"count":1,"after":[5]}]}          | steps.1.after |
      | {"spec":7,"steps":[{"count":1}]}                                    | spec          |
      | not json                                                            | JSON          |

  Scenario: A job's id is not valid
    When a caller hands in a job under the id "../etc"
    Then the finding names the id

  Scenario: Every field of a step is decoded
    When a caller hands in a job with every field
    Then each field of the step holds its value

  Scenario Outline: An endpoint's entry from another writer
    Given two registered endpoints and an entry <value>
    When the endpoints are read
    Then the two are there, and the entry is logged once

    Examples:
      | value                                                                     |
      | not json                                                                  |
      | {}                                                                        |
      | {"backend":"p","address":"a","zone":"z","state":"asleep","capacity":{}}   |
      | {"backend":"p","address":7,"zone":"z","state":"ready","capacity":{}}      |
      | [1,2]                                                                     |

  Scenario: A configuration that cannot be read leaves the last one in force
    Given an entry with configuration 3
    When "{"version":"four"}" is written
    Then configuration 3 is in force
    When configuration 2 is written
    Then configuration 3 is in force
    When configuration 5 is written
    Then configuration 5 is in force

  Scenario: Queues are found by host and longest prefix
    Given an entry with queues "/a/" and "/a/b/" on "h.example"
    Then "/a/b/0123" addresses "/a/b/" and "/a/0123" addresses "/a/"
    And "/c/0123" and another host address none

  Scenario: All findings of a settings file are told together
    When a settings file lacks "node-name" and has a text for "limits.cores"
    Then the findings name both

  Scenario: Fields of the settings that are not known are ignored
    When a settings file has a field "colour"
    Then it has no findings
