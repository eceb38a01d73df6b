Feature: Processes that end while a crowd of clients stays
  Guards against a process that is killed at the end of its grace, because it waits for
  clients, or takes the time that it was frozen for a part of its own.

  @alone
  Scenario Outline: A crowd and a freeze do not keep a process from ending
    Given the door "platform callers" with 96 MB and 1000 descriptors
    When 200 clients send "everything" and stay
    And <trouble>
    Then the process ends on SIGTERM within its grace

    Examples:
      | trouble                                          |
      | the process is frozen while a second crowd comes |
      | the process is frozen when it gets SIGTERM       |
