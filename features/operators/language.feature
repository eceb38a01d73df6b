Feature: Every finding of a script is reported with its position
  Guards against a script that is not parsed as its author meant it, and against
  findings that do not say where the error is and what was expected.

  Scenario Outline: A line that does not parse
    When the script "<script>" is parsed
    Then the script has a finding at column <column> that says "<message>"

    Examples:
      | script                                  | column | message                                  |
      | craete pool proofs budget 1             | 1      | did you mean 'create'?                   |
      | create pool proofs budgit 1             | 20     | did you mean 'budget'?                   |
      | create pool proofs                      | 19     | 'create pool' also needs 'budget'        |
      | create pool proofs slots 8              | 27     | also needs 'budget'                      |
      | create pool proofs budget               | 26     | the line ends too early; expected a whole number |
      | create pool proofs budget one           | 27     | expected a whole number                  |
      | create pool proofs budget 1 budget 2    | 36     | 'budget' is given more than once         |
      | create pool Proofs budget 1             | 13     | expected a name of a-z                   |
      | create pools proofs budget 1            | 8      | did you mean 'pool'?                     |
      | change pool proofs                      | 19     | the line ends too early; expected 'budget' |
      | create queue q pool p teams a,,b        | 31     | expected a name                          |
      | create team hotels share many limit 2   | 26     | expected a number                        |
      | add instance i-1 address 10.0.0.1       | 26     | expected an address such as 127.0.0.1:9001 |
      | add instance i-1 rack r1                | 25     | also needs 'pool', 'data-centre', 'address' |
      | rotate key k-1 overlap 60               | 24     | expected a duration                      |
      | evacuate rack r1                        | 10     | expected 'data-centre'                   |
      | take out racks r1                       | 10     | did you mean 'rack'?                     |
      | start wave w pool a                     | 14     | did you mean 'pools'?                    |
      | show job                                | 6      | did you mean 'jobs'?                     |
      | show jobs where team is hotels          | 22     | expected one of = != < >                 |
      | show jobs group pool                    | 17     | expected 'by'                            |
      | show pools # and so on @                | 0      |                                          |
      | show pools @                            | 12     | expected 'by', 'columns'                 |
      | delete                                  | 7      | expected 'pool', 'queue' or 'team'       |
      | dry run dry run                         | 9      | expected 'add'                           |

  Scenario: All findings of a script are reported together and in order
    When this script is parsed
      """
      # A comment and an empty line are skipped.

      craete pool a budget 1
      create pool b budget 1
      create pool c
      dry run create team t share 1 limit 1
      """
    Then the script has findings on lines 3, 5, 6

  Scenario Outline: A script without commands or with too many
    When a script of <count> lines "<line>" is parsed
    Then the script has a finding at column 1 that says "<message>"

    Examples:
      | count | line       | message                      |
      | 1     |            | the script has no command    |
      | 2     | # nothing  | the script has no command    |
      | 1001  | show pools | a script has at most 1000    |

  Scenario: Any text is parsed or has findings with positions inside it
    Then 300 generated scripts parse or have findings inside their text

  Scenario Outline: A finding that depends on the documents
    Given the documents of the language page
    When the script "<script>" is applied
    Then the script has a finding at column <column> that says "<message>"
    And the documents are as before

    Examples:
      | script                                       | column | message                                       |
      | create pool proofs budget 1                  | 13     | pool 'proofs' already exists                  |
      | create pool more budget -1                   | 25     | budget must be at least 0                     |
      | create pool more budget 1 slots 0            | 33     | slots must be at least 1                      |
      | create pool more budget 1 port 70000         | 32     | port must be at most 65535                    |
      | create pool more budget 1 spare              | 27     | pool 'reserve' is already the spare pool      |
      | change pool prufs budget 1                   | 13     | did you mean 'proofs'?                        |
      | delete pool proofs                           | 13     | still used by queues proofing, samples        |
      | delete pool proofs                           | 13     | still has instances i-1, i-2, i-3             |
      | create team more share 0 limit 2             | 24     | share must be above 0                         |
      | create team hotels share 1 limit 2           | 13     | already exists (write 'change team')          |
      | delete team hotels                           | 13     | still named by queue proofing                 |
      | delete team hotels                           | 13     | still has key k-1a2b3c4d                      |
      | create queue more pool prooofs               | 24     | unknown pool 'prooofs' (did you mean 'proofs' |
      | create queue more pool proofs teams a, hotel | 40     | did you mean 'hotels'?                        |
      | create queue more pool proofs open teams hotels | 42  | open to all takes no teams                    |
      | change queue proofing open                   | 23     | open to all takes no teams                    |
      | create key for team hotel                    | 21     | did you mean 'hotels'?                        |
      | withdraw key k-00000000                      | 14     | unknown key 'k-00000000'                      |
      | add instance i-1 pool reserve rack r1 data-centre dc1 address 127.0.0.1:1 | 14 | already in pool 'proofs' (write 'move |
      | add instance i-9 pool proofs rack r1 data-centre dc1 address 127.0.0.1:9001 | 62 | belongs to instance 'i-1'     |
      | add instance i-9 pool proofs rack r1 data-centre dc2 address 127.0.0.1:1 | 35 | is in data centre 'dc1'          |
      | add instance i-9 pool proofs rack r1 data-centre dc1 address 999.0.0.1:1 | 62 | is not an address                |
      | remove instance i-10                         | 17     | unknown instance 'i-10'                       |
      | move instance i-1 to pool proofs             | 27     | already in that pool                          |
      | move instance i-3 to pool reserve            | 15     | is failed, not serving                        |
      | move instance i-1 to pool reserve            | 15     | budget of pool 'proofs' is used up            |
      | start wave w-1 pools proofs                  | 12     | wave 'w-1' is already running                 |
      | start wave w-2 pools proofs                  | 22     | wave 'w-1' already covers instance i-2        |
      | start wave w-2 pools reserve                 | 22     | these pools have no instance                  |
      | resume wave w-1                              | 13     | wave 'w-1' is running                         |
      | take out rack r7                             | 15     | no instance is in rack 'r7'                   |
      | evacuate data-centre dc9                     | 22     | no instance is in data centre 'dc9' (did you mean |
      | return data-centre dc1                       | 20     | unknown evacuated data centre 'dc1'           |
      | forget member entry-7                        | 15     | unknown member 'entry-7'                      |
      | if version = 1                               | 14     | the configuration is at version 7             |
      | if fleet version = 1                         | 20     | the fleet is at version 3                     |
      | show pools where budgit > 1                  | 18     | pools have no column 'budgit' (did you mean   |
      | show pools columns pool group by spare       | 20     | exclude each other                            |
      | show pools since 2h                          | 18     | only 'show changes' takes 'since'             |
