Feature: The operator's items that evacuate data centres

  Scenario Outline: Each item evacuates the data centre that its key names
    # Guards against an item that cannot be read and hides the others, or that is
    # passed over although its key tells everything, and against a line in each read.
    Given a store with the evacuations <keys>
    When the evacuations are read 3 times
    Then <evacuated> are evacuated, and <lines> lines name what cannot be read

    Examples:
      | keys                               | evacuated | lines |
      | z1={} z2={}                        | z1, z2    | 0     |
      | z1={} z2=nonsense                  | z1, z2    | 1     |
      | z1={} z2=[]                        | z1, z2    | 1     |
      | z1={} z2=                          | z1, z2    | 1     |
      | ={} z1={"by":"x"}                  | z1        | 1     |
      | z1={} (a name of 150 characters)={} | z1       | 1     |
      | z/1={}                             | z/1       | 0     |

  Scenario: A removal is reported once
    # Guards against a removal that is not noticed, and against watches that return at once
    # again and again after it (twice as many calls of the store on the shared day
    # evacuate).
    Given a store with the evacuations z1={} z2={}
    When z1 is removed, and written and removed again, before the next watch
    Then the watch reports that z1 was returned, and the next one reports nothing
