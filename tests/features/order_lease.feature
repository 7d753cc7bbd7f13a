Feature: An order never takes effect on a request after its lease has lapsed

  Scenario Outline: A sidecar is paused past its lease while an engine that <kind> obeys
    Given a system in which s0-1 <kind>
    And its engine takes 2 seconds to obey an order
    When operators want version 2 on s0-1
    And its sidecar is paused for 4 seconds while the order is under way
    And operators want version 1 on s0-1 again
    And a caller asks for 60 tokens while s0-1 is the only engine of stage 0
    Then the answer is whole and identical to the undisturbed one
    And the order of version 2 was not trusted
    And s0-1 serves version 1 in the end
    And the journals pass

    Examples:
      | kind                     |
      | checks fencing numbers   |
      | ignores fencing numbers  |

  Scenario Outline: An order of a dead sidecar takes effect late at an engine that <kind>
    Given a system in which s0-1 <kind>
    And its engine takes 6 seconds to obey an order
    When operators want version 2 on s0-1
    And its sidecar dies while the order is under way and another one starts
    And operators want version 1 on s0-1 again
    And a caller asks for 60 tokens while s0-1 is the only engine of stage 0
    Then the answer is whole and identical to the undisturbed one
    And the late order took effect and was taken back
    And the request took at least 2 attempts
    And s0-1 serves version 1 in the end
    And the journals pass

    Examples:
      | kind                     |
      | checks fencing numbers   |
      | ignores fencing numbers  |
