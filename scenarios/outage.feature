Feature: Queries go on without the platform

  Scenario: Two minutes without the platform
    Given 3 VMs that serve two shards with two replicas each
    When the platform goes down
    And queries come at 5 a second
    And 120 s pass
    Then no query failed
    And 3 VMs are ready
    When the platform comes back
    Then the platform gets at most 40 calls in any second of the next 10 s
    And all promises held

  Scenario: A VM that its peers do not reach does not flood the platform
    Given 4 VMs that serve two shards with two replicas each
    When vm-1 is cut off from its peers
    Then the platform gets at most 40 calls in any second of the next 10 s
    When the cuts are healed
    And vm-2 is cut off from its peers
    Then the platform gets at most 40 calls in any second of the next 10 s
    And all promises held
