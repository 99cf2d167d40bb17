Feature: A bad version gets a small share and nothing soon after its faults show

  Background:
    Given 3 VMs that serve two shards with two replicas each
    And version v2 runs beside v1

  Scenario: The version fails at once
    When queries come at 40 a second
    And 4 s pass
    And half of the requests to v2 fail
    And a note moves all traffic to v2 within 300 s
    And a VM vetoes v2
    And 3 s pass
    Then v2 is sent nothing for 5 s
    And v2 got at most 6 of 100 runs before the veto
    And the move is taken back on all VMs
    And all promises held

  Scenario: The version fails on one route, after it has begun well
    When queries come at 40 a second
    And 4 s pass
    And a note moves all traffic to v2 within 300 s
    And 20 s pass
    And all requests to v2 on route search fail
    And a VM vetoes v2
    And 3 s pass
    Then v2 is sent nothing for 5 s
    And the move is taken back on all VMs
    And all promises held

  Scenario: The hour passes while the platform is down
    When queries come at 20 a second
    And 4 s pass
    And a note moves all traffic to v2 within 40 s
    And 15 s pass
    And the platform goes down
    And 26 s pass
    Then all VMs compute the same shares and v2 has none
    And v2 is sent nothing for 3 s
    When the platform comes back
    And 8 s pass
    Then the move is taken back on all VMs
    And all promises held

  Scenario: Two operators apply notes at the same time
    When two operators apply a note for v2 at vm-1 and vm-2 at the same time
    Then exactly one note was accepted
