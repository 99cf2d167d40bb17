Feature: Each answer is whole, from one snapshot, and reports its coverage truthfully

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: The shards are divided anew in mid-query and the old snapshot goes at once
    When queries come at 40 a second
    And 1 s pass
    And the index is divided into three shards as snapshot s2 and s1 is gone
    And 2 s pass
    Then queries have been answered from s2
    And at least 95 of 100 answers are whole
    And all promises held

  Scenario: The snapshot changes under a hedge
    When v1-00-dc-a answers 5 times slower
    And queries come at 40 a second
    And 1 s pass
    And the replicas change to snapshot s2 with the same shards
    And 2 s pass
    Then queries have been answered from s2
    And at least 95 of 100 answers are whole
    And all promises held

  Scenario: A replica is lost
    When queries come at 20 a second
    And 1 s pass
    And v1-00-dc-a is lost
    And 2 s pass
    Then at least 95 of 100 answers are whole
    And all promises held

  Scenario: All replicas of a shard are lost
    When queries come at 30 a second
    And 1 s pass
    And v1-00-dc-a is lost
    And v1-00-dc-b is lost
    And 2 s pass
    Then some answers lack shard 00
    And all promises held

  Scenario: Answers arrive on the wrong exchange
    When one answer in three of v1-00-dc-a names another request
    And queries come at 40 a second
    And 2 s pass
    Then at least 95 of 100 answers are whole
    And all promises held
