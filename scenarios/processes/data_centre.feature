Feature: Processes: a data centre that is out gets no new work after 3 s

  Background:
    Given a running tier of 3 daemons

  Scenario: A data centre is taken out under load with stragglers
    Given 1 in 50 runs on the backend servers takes 20 times as long
    When callers send queries to the running tier
    And an operator takes data centre kollam of the running tier out
    Then replicas in kollam get no request that is sent 3 s later or after
    And every request to the running tier was answered whole
    When an operator brings data centre kollam of the running tier in
    Then replicas in kollam get requests again within 15 s
