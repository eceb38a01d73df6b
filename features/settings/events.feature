Feature: The catalogue of events matches its documentation
  Guards against an event that operators cannot find in the documentation.

  Scenario: Every event is documented with its number, level and message
    Given the catalogue of events
    Then each event has a unique number
    And the documentation lists exactly the events of the catalogue
    And each event is used by a program
