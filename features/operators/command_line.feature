Feature: The command line
  Guards against a wrong exit code, findings without their file, and keys in the output,
  any of which would make the program unsafe to use in scripts.

  Background:
    Given an operators' server with the documents of the language page
    And member "entry-2" answers
    And a file "fleet.briar" with
      """
      create team more share 1 limit 2
      create key for team more
      """
    And a file "wrong.briar" with
      """
      # two faults
      craete team more
      delete pool
      """
    And a file "unknown.briar" with
      """
      delete pool prufs
      """

  Scenario Outline: Exit codes and output
    When the program runs with <arguments>
    Then it ends with <code> and says "<text>"
    And its output has no operator's key

    Examples:
      | arguments                                | code | text                                  |
      | show pools                               | 0    | reserve                               |
      | show pools where spare = true            | 0    | reserve                               |
      | do "show pools"                          | 0    | from entry-1 (dc1, 0.0 s old)         |
      | run fleet.briar                          | 0    | accepted; configuration version 8     |
      | check fleet.briar                        | 0    | dry run, nothing changed              |
      | run wrong.briar                          | 2    | wrong.briar:2:1: 'craete' is not      |
      | run wrong.briar                          | 2    | wrong.briar:3:12: the line ends too   |
      | check wrong.briar                        | 2    | wrong.briar:3:12: the line ends too   |
      | check unknown.briar                      | 2    | unknown.briar:1:13: unknown pool 'prufs' (did you mean 'proofs'?) |
      | run missing.briar                        | 2    | missing.briar cannot be read          |
      | do                                       | 2    | Missing argument                      |
      | forget                                   | 2    | No such command                       |
      | --format yaml show pools                 | 2    | Invalid value                         |
      | --address "" show pools                  | 2    | no address                            |
      | --address "" check fleet.briar           | 0    | names were not checked                |
      | --key guessed show pools                 | 6    | not recognized                        |
      | --address 127.0.0.1:1 do "delete queue samples" | 5 | nothing was sent                   |
      | do "forget member entry-2"               | 3    | entry-2 answers                       |

  Scenario: A change that is not in force everywhere has its own exit code
    Given member "entry-2" lags behind
    When the program runs with do "withdraw key k-1a2b3c4d"
    Then it ends with 4 and says "not yet in force at: entry-2"

  Scenario Outline: A lost response is not reported as a refusal
    # Guards against a second key or wave made by an operator who repeats a command.
    Given an entry that <fault>
    When the program runs with do "delete queue samples"
    Then it ends with 5 and says "repeat the command with --change-id"

    Examples:
      | fault                                    |
      | closes the connection without a response |
      | responds with a page that is not JSON    |

  Scenario: Results in JSON
    When the program runs with --format json run fleet.briar
    Then it ends with 0 and prints JSON whose result 2 has a key

  Scenario: A retry with the change id of the first attempt takes effect once
    When the program runs with do "create key for team hotels" --change-id c-1
    And the program runs with do "create key for team hotels" --change-id c-1
    Then it ends with 0 and says "already accepted as version 8"

  Scenario: The hash of an operator's key for the settings
    When the program reads "secret-of-maria" and runs with hash-key
    Then it ends with 0 and prints the hash of "secret-of-maria"
