Feature: No engine memory stays held by a request whose caller is gone

  Scenario Outline: The caller goes away
    When a caller goes away while its request is <phase>
    Then no engine holds memory after 2 seconds

    Examples:
      | phase      |
      | prefilling |
      | decoding   |
      | streaming  |

  Scenario: The caller goes away and cancels are lost
    Given every engine loses the next 2 cancels
    When a caller goes away while its request is streaming
    Then no engine holds memory after 5 seconds

  Scenario Outline: The entry dies
    Given entries e1 in a, e2 in a, e3 in b
    When entry e1 dies while its request is <phase>
    Then no engine holds memory after 10 seconds

    Examples:
      | phase      |
      | prefilling |
      | decoding   |
      | streaming  |

  Scenario: The entry dies and its first notes were lost
    Given entries e1 in a, e2 in a, e3 in b
    And notes to peers are lost for a second
    When entry e1 dies while its request is streaming
    Then no engine holds memory after 10 seconds

  Scenario: The entry is only cut off from its peers
    Given entries e1 in a, e2 in a, e3 in b
    When entry e1 is cut off from its peers while it streams 2000 tokens
    Then the caller has the whole answer
