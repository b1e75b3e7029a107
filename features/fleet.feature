Feature: Leaving endpoints, planned stops and configuration

  Scenario Outline: An endpoint is leaving
    Given requests come all the time
    When engine d1 says that it is leaving by <word>
    Then d1 gets no new work after 4 seconds

    Examples:
      | word             |
      | its report       |
      | the list         |
      | its refusals     |
      | a peer's word    |

  Scenario: An endpoint's reports stop
    Given requests come all the time
    When the reports of d1 stop
    Then d1 gets no new work after 6 seconds

  Scenario: A planned stop with long streams
    When entry e1 is stopped while it streams 400 tokens
    Then the caller has the whole answer
    And new requests are refused with stopping
    And the stop has ended

  Scenario: A planned stop with an order that runs
    Given an order takes 3 seconds
    When entry e1 is stopped while an order runs
    Then every caller that stayed has an answer
    And the stop has ended

  Scenario: A configuration reaches an entry that is cut off from the platform
    Given entries e1 in a, e2 in a, e3 in b
    When e1 is cut off from the platform and a configuration is published
    Then it is in force everywhere after 3 seconds

  Scenario: The platform goes back to an old replica
    Given entries e1 in a, e2 in a
    When a configuration is published and the platform goes stale
    Then no entry goes back to the old one

  Scenario: An entry starts beside a stale platform
    Given entries e1 in a, e2 in a
    When a configuration is published, the platform goes stale, and e3 starts
    Then e3 has the new configuration when it is ready

  Scenario: An entry starts while the platform is down
    Given entries e1 in a, e2 in a
    When the platform is down for an hour and e3 starts
    Then e3 has the new configuration when it is ready

  Scenario: An invalid configuration is published
    Given entries e1 in a, e2 in a
    When an invalid configuration is published, then a valid one
    Then it is in force everywhere after 3 seconds

  Scenario: A planned stop with a caller that reads slowly
    Given callers take 1 seconds for each part of an answer
    When entry e1 is stopped at the very end of an answer
    Then the stop has ended only after the caller had the whole answer

  Scenario: A planned stop with an order's answer on its way
    Given callers take 1 seconds for each part of an answer
    When entry e1 is stopped while an order runs
    Then the stop has ended only after the caller had the whole answer
