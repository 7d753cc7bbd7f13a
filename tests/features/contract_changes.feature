Feature: An accepted change takes effect at all entries within 10 seconds and persists

  Scenario: Two operators edit one contract concurrently
    Given a system with 3 entries and three stages of engines
    And a customer raced
    When two operators concurrently change the concurrency limit of raced, 8 times
    Then each time one edit was accepted and the other was rejected with a conflict
    And every entry has the last accepted concurrency limit of raced within 10 seconds

  Scenario: Operators edit different contracts concurrently through all entries
    Given a system with 3 entries and three stages of engines
    When 3 operators concurrently create 6 new customers each
    Then every entry accepts the keys of all 18 customers within 10 seconds

  Scenario: An entry is paused during a change and resumes
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When entry1 is paused
    And the key of rotated is replaced through entry0
    And entry1 resumes 4 seconds later
    Then only the new key is accepted at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds
    And entry1 admitted no request with the old key after it resumed

  Scenario: The store goes down immediately after a change is accepted
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When the key of rotated is replaced through entry0
    And the store goes down immediately
    Then only the new key is accepted at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds

  Scenario: The entry that accepted a change dies immediately
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When the key of rotated is replaced through entry0
    And entry0 is killed immediately
    Then only the new key is accepted at all running entries within 10 seconds
    And the old key is refused at all running entries for 3 more seconds

  Scenario: The store's response to a change is lost
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    And the table loses its next response to a write
    When the key of rotated is replaced through entry0
    Then only the new key is accepted at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds

  Scenario: A partitioned entry receives a change when its links are restored
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When entry2 is partitioned from the store and the other entries
    And the key of rotated is replaced through entry0
    Then the response lists entry2 as unconfirmed
    When the links of entry2 are restored
    Then only the new key is accepted at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds
