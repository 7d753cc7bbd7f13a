Feature: An entry dies while it streams an answer
  The sidecars cancel what it ran, and the caller sends the request again.

  Scenario: The caller sends the request again through another entry
    Given a system with 3 entries and three stages of engines
    And each engine takes 20 ms for a step
    When entry0 is killed after 5 of 100 tokens
    Then the caller has a true beginning of the answer and no end
    And 5 seconds later no engine runs that request any more
    When the caller sends the request again through entry1
    Then the second answer is whole and identical to the undisturbed one
    And the journals pass
