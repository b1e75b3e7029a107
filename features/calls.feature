Feature: An unrepeatable call runs at most once, and a call refused as "not run" never runs

  Scenario Outline: The connection to the endpoint fails
    Given the connection to each service fails <moment> sending
    When an order is posted
    Then the caller receives the execution status <ran>
    And the order ran at most <count> times

    Examples:
      | moment | ran     | count |
      | before | no      | 0     |
      | during | unknown | 0     |
      | after  | unknown | 1     |

  Scenario Outline: A service runs the call and answers with a status that says it did not
    Given entries e1 in a, e2 in a
    And each service executes an order and answers with status <status>
    When an order is posted through e1 and posted again through e2
    Then the caller receives status 502 and the error endpoint_failed
    And the caller receives the execution status unknown
    And the second caller receives status 409 and the error key_outcome_unknown
    And the order with the key ran exactly once

    Examples:
      | status |
      | 408    |
      | 421    |
      | 429    |
      | 503    |

  Scenario: One key at two entries at once
    Given entries e1 in a, e2 in a, e3 in b
    When orders with one key are posted through e1, e2, e3 at the same time
    Then every caller has received the same answer with status 200
    And the order with the key ran exactly once

  Scenario: One key with two different bodies
    Given entries e1 in a, e2 in a, e3 in b
    When two orders with one key and different bodies are posted
    Then the second caller is refused with key_mismatch
    And the order with the key ran exactly once

  Scenario: The owner of the key dies after the call ran
    Given entries e1 in a, e2 in a, e3 in a
    When an order is posted, the owner of its key dies, and the order is posted again
    Then the second caller receives the execution status unknown
    And the order with the key ran exactly once

  Scenario: All entries are replaced after the call ran
    Given entries e1 in a, e2 in a
    When an order is posted, all entries are replaced, and the order is posted again
    Then the second caller receives the execution status unknown
    And the order with the key ran exactly once

  Scenario: One key on both sides of a cut
    Given entries e1 in a, e2 in a, e3 in b, e4 in b
    When the data centres are disconnected and orders with one key are posted in both
    Then the order with the key ran at most once

  Scenario: One key on both sides of a cut within a data centre
    Given entries e1 in a, e2 in a
    When entries e1 and e2 are disconnected and orders with one key are posted to both
    Then the order with the key ran at most once

  Scenario: A key whose home data centre is disconnected runs there
    Given entries e1 in a, e2 in a, e3 in b, e4 in b
    When the data centres are disconnected and an order is posted in the home of its key
    Then the order with the key ran exactly once

  Scenario: A stopping entry does not say of a key that it did not run
    Given entries e1 in a, e2 in a
    When an order runs through e2 and is posted again to e1, which is stopping
    Then the second caller receives the execution status unknown

  Scenario: The caller goes away while its order runs
    Given entries e1 in a, e2 in a
    And each service executes an order in 2 seconds
    When an order is posted, its caller disconnects, and the order is posted again
    Then every caller that stayed connected has received an answer
    And the order with the key ran exactly once
