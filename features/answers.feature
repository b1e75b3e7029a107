Feature: Every caller gets the whole answer to its own request, once

  Scenario Outline: Chunks go wrong on their way
    Given the decode engines have the fault <fault> at token 5
    When a caller asks for 20 tokens
    Then the caller has the whole answer

    Examples:
      | fault      |
      | drop_at    |
      | double_at  |
      | swap_at    |
      | foreign_at |
      | cut_at     |

  Scenario: The very last chunk is lost
    Given the decode engines have the fault drop_at at token 19
    When a caller asks for 20 tokens
    Then the caller has the whole answer

  Scenario: A stream stalls for good
    Given engine d1 has the fault stall_at at token 5
    And engine d2 is dead until the stream has 5 tokens
    When a caller asks for 20 tokens
    Then the caller has the whole answer

  Scenario Outline: An engine dies
    When engine <engine> dies while a request for 20 tokens is <phase>
    Then the caller has the whole answer
    And no engine holds memory after 5 seconds

    Examples:
      | engine        | phase      |
      | the prefill's | prefilling |
      | the decode's  | prefilling |
      | the decode's  | decoding   |
      | the decode's  | streaming  |

  Scenario: A prefill answers late, after another one was ordered
    Given engine p1 is slow to prefill by 5 seconds
    And engine p2 is slow to prefill by 1 seconds
    And a prefill may take 2 seconds
    When a caller asks for 20 tokens
    Then the caller has the whole answer
    And no engine holds memory after 10 seconds

  Scenario: KV expires before the decode imports it
    Given engines keep KV for 0.5 seconds
    And the decode engines hang for 1 seconds once
    When a caller asks for 20 tokens
    Then the caller has the whole answer
    And no engine holds memory after 5 seconds

  Scenario: Every engine is gone in the middle
    When all decode engines die while a request for 20 tokens is streaming
    Then the caller is told that the answer broke off
