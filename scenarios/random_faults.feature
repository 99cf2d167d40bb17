Feature: Random failures break no promise

  Scenario: Random failures for a minute
    Given 4 VMs that serve two shards with two replicas each
    When queries come at 10 a second
    And random failures happen for 60 s
    And all failures end
    And 20 s pass
    Then all VMs are ready
    And all promises held
