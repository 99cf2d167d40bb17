Feature: A request that crashes backend servers is refused after two crashes

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: The caller sends it again and again to different VMs
    When queries that contain POISON crash every server
    And a query with POISON is sent to vm-1, then vm-2, then vm-3, then vm-1, 3 s apart
    Then the servers crashed at most 2 times
    And the last of these queries was refused as crashes_backends
    And the same query without POISON is answered whole at each VM

  Scenario: The platform is down and the first VM is killed in between
    When queries that contain POISON crash every server
    And the platform goes down
    And a query with POISON is sent to vm-1, then vm-2, 3 s apart
    And vm-1 is killed
    And 4 s pass
    And a query with POISON is sent to vm-3, then vm-2, 3 s apart
    Then the servers crashed at most 2 times
    And the last of these queries was refused as crashes_backends
