Feature: An accepted change is in force everywhere within 10 seconds and stays

  Scenario: Two operators edit one contract at once
    Given a system with 3 entries and three stages of engines
    And a customer raced
    When two operators change the concurrency of raced at once, 8 times
    Then each time one edit was accepted and the other was told of the conflict
    And every entry has the last accepted concurrency of raced within 10 seconds

  Scenario: Operators edit different contracts at once through all entries
    Given a system with 3 entries and three stages of engines
    When 3 operators make 6 new customers each at once
    Then every entry knows all 18 customers within 10 seconds

  Scenario: An entry is paused through a change and wakes
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When entry1 is paused
    And the key of rotated is replaced through entry0
    And entry1 wakes 4 seconds later
    Then the new key is in force at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds
    And entry1 admitted nothing with the old key after it woke

  Scenario: The store goes away just after a change was accepted
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When the key of rotated is replaced through entry0
    And the store goes away at once
    Then the new key is in force at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds

  Scenario: The entry that accepted a change dies at once
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When the key of rotated is replaced through entry0
    And entry0 is killed at once
    Then the new key is in force at all running entries within 10 seconds
    And the old key is refused at all running entries for 3 more seconds

  Scenario: The store's answer to a change is lost
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    And the table loses its next answer to a write
    When the key of rotated is replaced through entry0
    Then the new key is in force at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds

  Scenario: A cut-off entry learns of a change when its links return
    Given a system with 3 entries and three stages of engines
    And a customer rotated
    When entry2 is cut off from the store and the other entries
    And the key of rotated is replaced through entry0
    Then the answer names entry2 as unconfirmed
    When the links of entry2 return
    Then the new key is in force at all entries within 10 seconds
    And the old key is refused at all entries for 3 more seconds
