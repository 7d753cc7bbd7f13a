Feature: Messages arrive late, doubled or out of order

  Scenario: All connections double and swap messages
    Given a system with 2 entries and three stages of engines
    And every connection doubles 1 message in 5 and swaps 1 in 50
    When 12 callers ask for 12 tokens each through all entries
    Then messages were doubled and swapped
    And nobody received a token of another answer
    And at least 6 answers are whole
    And the journals pass

  Scenario: Connections between sidecars are late by different times
    Given a system with 2 entries and three stages of engines
    And the connections between sidecars are late by up to 60 ms
    When 12 callers ask for 12 tokens each through all entries
    Then every answer is whole and identical to the undisturbed one
    And the journals pass

  Scenario: Messages of an old attempt arrive while a new one runs
    Given a system with 2 entries and one engine for each stage
    When the link from stage 0 to stage 1 holds back everything after 6 of 24 tokens
    And the link lets everything through once a new attempt has begun
    Then the answer is whole and identical to the undisturbed one
    And the journals pass
    And the request took at least 2 attempts

  Scenario: Tokens of an old attempt reach the entry while a new one runs
    Given a system with 2 entries and three stages of engines
    When the link from stage 2 to the entry holds back everything after 6 of 24 tokens
    And the link lets everything through once a new attempt has begun
    Then the answer is whole and identical to the undisturbed one
    And the journals pass
    And the request took at least 2 attempts
