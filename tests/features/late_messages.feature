Feature: Messages are delayed, duplicated or reordered

  Scenario: All connections duplicate and reorder messages
    Given a system with 2 entries and three stages of engines
    And every connection duplicates 1 message in 5 and reorders 1 in 50
    When 12 callers request 12 tokens each through all entries
    Then messages were duplicated and reordered
    And no caller received a token of another answer
    And at least 6 answers are complete
    And the run journals are consistent

  Scenario: Connections between sidecars have different delays
    Given a system with 2 entries and three stages of engines
    And the connections between sidecars are delayed by up to 60 ms
    When 12 callers request 12 tokens each through all entries
    Then every answer is complete and equals the fault-free answer
    And the run journals are consistent

  Scenario: Messages of an old attempt arrive while a new one runs
    Given a system with 2 entries and one engine for each stage
    When the link from stage 0 to stage 1 stalls after 6 of 24 tokens
    And the link recovers once a new attempt has begun
    Then the answer is complete and equals the fault-free answer
    And the run journals are consistent
    And the request took at least 2 attempts

  Scenario: Tokens of an old attempt reach the entry while a new one runs
    Given a system with 2 entries and three stages of engines
    When the link from stage 2 to the entry stalls after 6 of 24 tokens
    And the link recovers once a new attempt has begun
    Then the answer is complete and equals the fault-free answer
    And the run journals are consistent
    And the request took at least 2 attempts
