Feature: Every caller receives the complete answer to its own request exactly once

  Scenario Outline: Chunks go wrong on their way
    Given the decode engines have the fault <fault> at token 5
    When a caller requests 20 tokens
    Then the caller has received the complete answer exactly once

    Examples:
      | fault      |
      | drop_at    |
      | double_at  |
      | swap_at    |
      | foreign_at |
      | cut_at     |

  Scenario: The last chunk is lost
    Given the decode engines have the fault drop_at at token 19
    When a caller requests 20 tokens
    Then the caller has received the complete answer exactly once

  Scenario: A stream stalls permanently
    Given engine d1 has the fault stall_at at token 5
    And engine d2 is unreachable until the caller has received 5 tokens
    When a caller requests 20 tokens
    Then the caller has received the complete answer exactly once

  Scenario Outline: An engine dies
    When the engine assigned to <work> dies while a request for 20 tokens is <phase>
    Then the caller has received the complete answer exactly once
    And no engine holds memory after 5 seconds

    Examples:
      | work        | phase      |
      | the prefill | prefilling |
      | the decode  | prefilling |
      | the decode  | decoding   |
      | the decode  | streaming  |

  Scenario: A prefill completes late, after a second one was ordered
    Given engine p1 delays each prefill by 5 seconds
    And engine p2 delays each prefill by 1 seconds
    And the prefill timeout is 2 seconds
    When a caller requests 20 tokens
    Then the caller has received the complete answer exactly once
    And no engine holds memory after 10 seconds

  Scenario: KV expires before the decode imports it
    Given engines keep KV for 0.5 seconds
    And each decode engine delays its next decode by 1 seconds
    When a caller requests 20 tokens
    Then the caller has received the complete answer exactly once
    And no engine holds memory after 5 seconds

  Scenario: All decode engines die during the stream
    When all decode engines die while a request for 20 tokens is streaming
    Then the caller has received a part of the answer and the error stream_broken
