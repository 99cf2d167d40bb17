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

  Scenario: A VM stops while a long request is in flight
    When v1-00-dc-a answers 40 times slower
    And v1-00-dc-b answers 40 times slower
    And v1-01-dc-a answers 40 times slower
    And v1-01-dc-b answers 40 times slower
    And key K1 is sent to vm-2 with 6 s to answer
    And vm-2 is stopped
    Then vm-2 answers answered within 0.1 s
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
