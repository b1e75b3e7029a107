Feature: A call that may not be repeated runs at most once, and "not run" is true

  Scenario Outline: The connection to the endpoint fails
    Given the connection to the service is cut <moment> sending
    When an order is posted
    Then the caller hears that it ran: <ran>
    And the order ran at most <times> times

    Examples:
      | moment | ran     | times |
      | before | no      | 0     |
      | during | unknown | 0     |
      | after  | unknown | 1     |

  Scenario: One key at two entries at once
    Given entries e1 in a, e2 in a, e3 in b
    When one key is posted through e1, e2, e3 at once
    Then every caller has the same answer
    And the key ran exactly once

  Scenario: One key with two different bodies
    Given entries e1 in a, e2 in a, e3 in b
    When one key is posted with two different bodies
    Then the second caller is refused with key_mismatch
    And the key ran exactly once

  Scenario: The owner of the key dies after the call ran
    Given entries e1 in a, e2 in a, e3 in a
    When a key is posted, its owner dies, and it is posted again
    Then the second caller hears that it ran: unknown
    And the key ran exactly once

  Scenario: All entries are replaced after the call ran
    Given entries e1 in a, e2 in a
    When a key is posted, all entries are replaced, and it is posted again
    Then the second caller hears that it ran: unknown
    And the key ran exactly once

  Scenario: One key on both sides of a cut
    Given entries e1 in a, e2 in a, e3 in b, e4 in b
    When the data centres are cut from each other and one key is posted on both sides
    Then the key ran at most once

  Scenario: One key on both sides of a cut within a data centre
    Given entries e1 in a, e2 in a
    When e1 and e2 are cut from each other and one key is posted on both sides
    Then the key ran at most once

  Scenario: A key whose home is cut off can be made here
    Given entries e1 in a, e2 in a, e3 in b, e4 in b
    When the data centres are cut from each other and a key of this home is posted
    Then the key ran exactly once

  Scenario: A stopping entry does not say of a key that it did not run
    Given entries e1 in a, e2 in a
    When a key runs through e2 and is posted to e1, which is stopping
    Then the second caller hears that it ran: unknown

  Scenario: The caller goes away while its order runs
    Given entries e1 in a, e2 in a
    And an order takes 2 seconds
    When a key is posted, its caller goes away, and it is posted again
    Then every caller that stayed has an answer
    And the key ran exactly once
