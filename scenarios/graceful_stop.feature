Feature: A planned stop interrupts no request

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: One VM stops under load
    When queries come at 40 a second
    And 1 s pass
    And vm-2 is stopped
    And 1 s pass
    Then no query failed
    And all promises held

  Scenario: A VM stops while the platform is down
    When the platform goes down
    And queries come at 40 a second
    And 1 s pass
    And vm-2 is stopped
    And 1 s pass
    Then no query failed
    And all promises held

  Scenario: All VMs are replaced one by one under load
    When queries come at 30 a second
    And 1 s pass
    And all VMs are replaced one by one
    Then no query failed
    And at least 3 VMs are ready
    And all promises held
