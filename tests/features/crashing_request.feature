Feature: One request crashes each engine that runs it

  Scenario: It is sent again through every entry, one after another
    Given a system with 3 entries and 6 engines in the first stage
    And a request that crashes every engine of the first stage
    And 12 other requests are running
    When the request is sent through every entry, one after another
    Then at most 3 engines have died
    And at least 1 engine has died
    And the request never got an answer, and was refused at the end
    And every other answer is whole and identical to the undisturbed one
    And the journals pass

  Scenario: It is sent through every entry at once
    Given a system with 3 entries and 6 engines in the first stage
    And a request that crashes every engine of the first stage
    And 12 other requests are running
    When the request is sent through every entry at once, and then again
    Then at most 3 engines have died
    And at least 1 engine has died
    And the request never got an answer, and was refused at the end
    And every other answer is whole and identical to the undisturbed one
    And the journals pass
