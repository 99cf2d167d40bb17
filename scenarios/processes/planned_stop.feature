Feature: Processes: a planned stop interrupts no request in flight

  Background:
    Given a running tier of 3 daemons

  Scenario: A daemon gets SIGTERM under load
    When callers send queries and commands with 1000 ms to the running tier
    And the process of vm-2 gets SIGTERM and ends with exit status 0
    And 200 more requests are answered by the running tier
    Then every request to the running tier was answered whole
    And every command of the load ran exactly once

  Scenario: All daemons are replaced one after the other under load
    When callers send queries and commands with 4000 ms to the running tier
    And the processes of all VMs are replaced one by one
    And 200 more requests are answered by the running tier
    Then every request to the running tier was answered whole
    And every command of the load ran exactly once

  Scenario: A daemon is replaced under load with short deadlines
    When callers send queries and commands with 1000 ms to the running tier
    And the process of vm-2 is replaced
    And 200 more requests are answered by the running tier
    Then every request to the running tier was answered whole
    And every command of the load ran exactly once
