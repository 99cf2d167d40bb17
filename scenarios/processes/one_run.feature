Feature: Processes: a request that may not be repeated runs at most once

  Background:
    Given a running tier of 3 daemons

  Scenario: The holder of a key is killed after its claim
    Given the backend servers of the command service need 1000 ms for a run
    When a running tier gets a command through vm-1 and its claim is recorded
    And the process of vm-1 is killed
    And a running tier gets the same command through vm-2
    Then the command is answered with its outcome or reported as unknown
    And the command ran at most once on all backend servers
    When the backend servers of the command service need 5 ms for a run
    And the process of vm-1 is started again
    And a running tier gets the same command through every VM
    Then the command ran at most once on all backend servers

  Scenario: The holder of a key is stopped in the middle of its claim and woken
    Given the platform of the running tier answers after 600 ms
    When a running tier gets a command through vm-1 and its claim is recorded
    And the process of vm-1 is stopped
    And the platform of the running tier answers at once
    And a running tier gets the same command through vm-2
    Then the command is answered with its outcome or reported as unknown
    When the process of vm-1 is resumed
    And every answer to the command has arrived
    Then the command ran at most once on all backend servers
    When a running tier gets the same command through every VM
    Then the command ran at most once on all backend servers

  Scenario: The holder of a key is stopped while a backend server runs the command
    Given the backend servers of the command service need 1000 ms for a run
    When a running tier gets a command through vm-1 and it runs on a backend server
    And the process of vm-1 is stopped
    And a running tier gets the same command through vm-2
    Then the command is answered with its outcome or reported as unknown
    When the process of vm-1 is resumed
    And every answer to the command has arrived
    Then the command ran exactly once on all backend servers
