Feature: Callers' port with TLS
  Guards against connections that take descriptors and memory before they count as
  connections of clients: before that, they have to complete a TLS handshake.

  Scenario: An error after a handshake is logged, and its connection closed
    # Guards against a connection that stays open, and an error that nobody sees.
    Given a callers' port with TLS, and a head's time of 0.5 s
    When the first connection cannot be served after its handshake
    Then it is closed, and "TLS handshake" is logged as failed
    And an ordinary request over TLS is answered

  Scenario Outline: A client that does not complete its handshake is closed
    Given a callers' port with TLS, and a head's time of 0.5 s
    When a client sends <what> and stays
    Then it is closed long before the handshake time of the library
    And an ordinary request over TLS is answered

    Examples:
      | what                      |
      | nothing                   |
      | the start of a handshake  |
