Feature: Metrics
  Every refusal and every retry is counted by its reason, and the page lists all
  metrics.

  Background:
    Given a system that all scenarios of the feature share

  Scenario Outline: A refusal is counted at the instance that was called
    When a caller sends a call that is refused as "<reason>"
    Then the refusal "<reason>" is counted once, at that instance

    Examples:
      | reason           |
      | bad_request      |
      | body_too_large   |
      | unknown_class    |
      | unknown_model    |
      | unknown_service  |
      | unknown_program  |
      | program_ended    |
      | turn_gap         |
      | turn_conflict    |
      | receipt_invalid  |
      | budget_exhausted |
      | act_conflict     |
      | act_unknown      |
      | foreign_program  |
      | config_conflict  |
      | config_invalid   |
      | unknown_config   |

  Scenario: A retry is counted by the outcome of the previous attempt
    When services break connections until a call was retried
    Then the retry "broken" is counted

  Scenario: Each reason has its own counter
    When each reason for a refusal and each for a retry happens once
    Then each is exported with a count of 1

  Scenario: Counters are at the beginning of the page
    Guards against the loss of what was counted where only the first kilobytes of
    the page are kept.

    When durations are observed and then a stream that was cut off is counted
    Then the page begins with that counter and ends with metrics of the runtime

  Scenario: Durations, gauges and traffic
    When a program has a streamed turn through another domain
    Then these have values above 0 at any instance
      | name                                 |
      | rattanmill_request_seconds_count     |
      | rattanmill_first_token_seconds_count |
      | rattanmill_in_flight                 |
      | rattanmill_shards                    |
      | rattanmill_programs                  |
      | rattanmill_lease_held                |
      | rattanmill_kv_calls_total            |
      | rattanmill_peer_in_bytes_total       |
      | rattanmill_peer_out_bytes_total      |

  Scenario: The page lists the metrics of the code
    When docs/METRICS.md is compared with the code
    Then both have the same names and labels
    And the page has every value of the labels
