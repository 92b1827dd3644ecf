Feature: Changes of the configuration
  An accepted configuration is in force everywhere within seconds and is never
  reverted, whatever the key-value service and the links do.

  Background:
    Given a system that all scenarios of the feature share

  Scenario: The store's response is lost after the write
    The key-value service stores the change and its response is lost. If a
    failure is reported, the operator repeats the change or believes that the
    old target is in force.

    Given the store loses the response to the next write of the configuration
    When change "lost-1" sets the default target to 21
    Then the change is accepted with the next number
    And "classes.default.target_seconds" becomes 21 at every instance

  Scenario: The response to the operator is lost and the change is repeated
    The connection to the operator breaks after the change was accepted. The
    command repeats the same change, which must neither conflict with itself nor
    be applied twice.

    When change "again-1" sets the default target to 22
    And change "again-1" is repeated
    Then the change is accepted with the same number
    And "classes.default.target_seconds" becomes 22 at every instance

  Scenario: A change is repeated after another operator's change
    Another operator's change was accepted between the lost response and the
    repeat. If a conflict is reported, the first operator believes that the
    change was not made.

    When change "again-2" sets the default target to 23
    And another change sets the default target to 24
    And change "again-2" is repeated
    Then the change is accepted with the same number
    And "classes.default.target_seconds" becomes 24 at every instance

  Scenario: A change id is reused for another change
    When change "twice-1" sets the default target to 25
    And change "twice-1" is repeated with another target
    Then the change is refused as "config_conflict" and "no"

  Scenario: The store is unavailable
    When the store is down
    And change "down-1" sets the default target to 26
    Then the change is refused as "store_unavailable" and "no"
    When the store is up again
    Then no instance has the default target 26

  Scenario: The stored document is invalid
    The store was edited by hand. If the document were treated as missing, it
    would be overwritten with a low number, which no instance adopts: the change
    would be confirmed and never be in force.

    When the stored configuration is corrupted by hand
    And change "broken-1" sets the default target to 27
    Then the change is refused as "internal" and "no"
    When the stored configuration is repaired by hand
    And change "broken-2" sets the default target to 28
    Then the change is accepted with the next number

  Scenario: The store lost the configuration
    The service was restored from an older backup or is empty. If the next
    change were numbered from there, the instances would already know its number
    from an earlier change, so they would keep their old document.

    When the stored configuration is deleted by hand
    And change "empty-1" sets the default target to 29
    Then the change is accepted with the next number
    And "classes.default.target_seconds" becomes 29 at every instance

  Scenario: Partitioned instances are listed and receive the change later
    A failure domain is partitioned from the others and the store. The operator
    must learn which instances still use the old targets, and these must adopt
    the new ones without intervention when the links are restored.

    When the links of failure domain 2 to the store and the others are cut
    And the operator runs "target set default 31 --percent 80"
    Then the command exits with 7
    And it says "alba-north-1"
    And it says "alba-north-2"
    When all links are restored
    Then "classes.default.target_seconds" becomes 31 at every instance

  Scenario: Changes that would lose programs are refused
    When a change removes failure domain "alba-west"
    Then the change is refused as "config_invalid" and "no"
    When a change gives failure domain "alba-west" 7 shards
    Then the change is refused as "config_invalid" and "no"

  Scenario: The history has operators and times and is bounded
    When 75 changes are accepted one after another
    Then the history has the last 50 of them, with operator and time
    And the store keeps fewer than 65 earlier documents

  Scenario: Instances that are permanently gone are no longer listed
    An instance is replaced under another name. If it were listed forever, no
    later change would be reported as in force everywhere. An instance that is
    only partitioned must still be listed, and still receive heartbeats.

    Given instances "cut-off", "replaced" and "owner" that lose their leases at 0 s
    And a heartbeat of "cut-off" arrives at 50 s
    Then at 59 s all three are known
    And at 109 s "cut-off" and "owner" are known
    And at 111 s "owner" is known
    But while the store is unavailable, no instance is removed
