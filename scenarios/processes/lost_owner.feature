Feature: Processes: one VM sends to a replica

  Background:
    Given a running tier of 3 daemons

  Scenario: An owner is stopped and woken under load
    When callers send queries to vm-1 and vm-3 of the running tier
    And the process of vm-2 is stopped
    Then coverage of the running tier is whole again within 4 s
    When the process of vm-2 is resumed
    Then the running tier is whole again within 5 s
    And no replica of the running tier had more requests in progress than slots

  Scenario: An owner is killed under load
    When callers send queries to vm-1 and vm-3 of the running tier
    And the process of vm-2 is killed
    Then coverage of the running tier is whole again within 4 s
    And no replica of the running tier had more requests in progress than slots
