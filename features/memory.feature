Feature: Engines release the memory of a request whose caller or entry is gone

  Scenario Outline: The caller goes away
    When a caller disconnects while its request is <phase>
    Then no engine holds memory after 2 seconds

    Examples:
      | phase      |
      | prefilling |
      | decoding   |
      | streaming  |

  Scenario: The caller goes away and cancels are lost
    Given every engine loses the next 2 cancellations
    When a caller disconnects while its request is streaming
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
    And in-flight notes to peers are lost for one second
    When entry e1 dies while its request is streaming
    Then no engine holds memory after 10 seconds

  Scenario: An entry that runs is disconnected from its peers
    Given entries e1 in a, e2 in a, e3 in b
    When entry e1 is disconnected from its peers while it streams 2000 tokens
    Then the caller has received the complete answer exactly once
