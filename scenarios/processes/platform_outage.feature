Feature: Processes: ordinary queries keep working through hours without the platform

  Background:
    Given a running tier of 3 daemons

  Scenario: The platform process goes silent and comes back
    When the process of the platform is stopped
    Then every VM of the running tier answers 20 queries whole
    And a command through vm-1 is refused as not run or reported as unknown
    When the process of the platform is resumed
    Then a command through vm-1 runs within 8 s
    And every VM of the running tier answers 20 queries whole
    And the refused command ran at most once on all backend servers

  Scenario: The platform process is killed and all daemons are replaced
    When the process of the platform is killed
    Then every VM of the running tier answers 20 queries whole
    And a command through vm-1 is refused as not run or reported as unknown
    When the processes of all VMs are replaced one by one
    Then every VM of the running tier holds the configuration from before
    And every VM of the running tier answers 20 queries whole
