Feature: Leaving endpoints, planned stops and configuration

  Scenario Outline: An endpoint is leaving
    Given entry e1 receives requests continuously
    When engine d1 is announced as leaving by <source>
    Then engine d1 receives no new orders after 4 seconds

    Examples:
      | source              |
      | its report          |
      | the platform's list |
      | its refusals        |
      | a peer's heartbeat  |

  Scenario: An endpoint's reports stop
    Given entry e1 receives requests continuously
    When the load reports of engine d1 stop
    Then engine d1 receives no new orders after 6 seconds

  Scenario: A planned stop with long streams
    When a planned stop of entry e1 begins while it streams 400 tokens
    Then the caller has received the complete answer exactly once
    And new requests are refused with stopping
    And the planned stop has completed

  Scenario: A planned stop with an order that runs
    Given each service executes an order in 3 seconds
    When a planned stop of entry e1 begins while an order runs
    Then every caller that stayed connected has received an answer
    And the planned stop has completed

  Scenario: A configuration reaches an entry that is cut off from the platform
    Given entries e1 in a, e2 in a, e3 in b
    When entry e1 is disconnected from the platform and a configuration is published
    Then the new configuration is in force on all entries after 3 seconds

  Scenario: The platform goes back to an old replica
    Given entries e1 in a, e2 in a
    When a configuration is published and the platform returns the old one again
    Then no entry reverts to the old configuration

  Scenario: An entry starts beside a stale platform
    Given entries e1 in a, e2 in a
    When a configuration is published, the platform returns the old one again, and e3 starts
    Then the new configuration is in force on entry e3 when it is ready

  Scenario: An entry starts while the platform is down
    Given entries e1 in a, e2 in a
    When the platform is unavailable for an hour and e3 starts
    Then the new configuration is in force on entry e3 when it is ready

  Scenario: An invalid configuration is published
    Given entries e1 in a, e2 in a
    When an invalid configuration is published, then a valid one
    Then the new configuration is in force on all entries after 3 seconds

  Scenario: A planned stop with a caller that reads slowly
    Given callers read each part of an answer after a delay of 1 seconds
    When a planned stop of entry e1 begins after the last token of an answer
    Then the planned stop has completed only after the caller received the complete answer

  Scenario: A planned stop with an order's answer on its way
    Given callers read each part of an answer after a delay of 1 seconds
    When a planned stop of entry e1 begins while an order runs
    Then the planned stop has completed only after the caller received the complete answer
