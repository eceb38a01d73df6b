Feature: The catalogue of events and its page agree
  Guards against an event that operators cannot look up.

  Scenario: Every event stands on the page with its number, level and message
    Given the catalogue of events
    Then each event has a number of its own
    And the page lists exactly the events of the catalogue
    And each event is used by a program
