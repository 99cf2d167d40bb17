Feature: A cold backend server never gets more load than it bears

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: One replica turns cold without warning under load
    When queries come at 70 a second
    And 1 s pass
    And v1-00-dc-a turns cold
    And 4 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And all promises held

  Scenario: One replica restarts under load
    When queries come at 70 a second
    And 1 s pass
    And v1-00-dc-a crashes
    And 4 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And v1-00-dc-a crashed 1 time
    And all promises held

  Scenario: All replicas of the service restart at once
    When queries come at 60 a second
    And 2 s pass
    And all replicas crash
    And 4 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And every replica crashed 1 time
    And all promises held

  Scenario: The owner is killed while the replica is cold and another VM takes over
    When queries come at 60 a second
    And 1 s pass
    And v1-00-dc-a crashes
    And 0.7 s pass
    And the owner of v1-00-dc-a is killed
    And 4 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And v1-00-dc-a crashed 1 time
    And all promises held

  Scenario: The owner is paused while the replica turns cold and wakes after another VM took over
    When queries come at 60 a second
    And 2 s pass
    And the owner of v1-00-dc-a is paused
    And v1-00-dc-a crashes
    And 4 s pass
    And the paused VM resumes
    And 4 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And v1-00-dc-a crashed 1 time
    And all promises held

  Scenario: The owner is paused just before it sends and wakes after another VM took over
    When queries come at 60 a second
    And 1 s pass
    And v1-00-dc-a crashes
    And the owner of v1-00-dc-a is paused while it connects to the restarted server
    And 4.2 s pass
    And the paused VM resumes
    And 2 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And v1-00-dc-a crashed 1 time
    And all promises held

  Scenario: Two VMs do not see each other
    When queries come at 60 a second
    And vm-1 and vm-2 are cut from each other
    And 2 s pass
    And all replicas crash
    And 4 s pass
    And the cuts are healed
    And 2 s pass
    Then every replica crashed 1 time
    And all promises held

  Scenario: The platform is down at the same time
    When the platform goes down
    And queries come at 60 a second
    And 1 s pass
    And all replicas crash
    And 1 s pass
    And the owner of v1-00-dc-a is killed
    And 4 s pass
    Then v1-00-dc-a has run requests since it turned cold
    And every replica crashed 1 time
    And all promises held
