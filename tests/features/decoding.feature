Feature: Data that is nested too deeply
  Guards against processes that end because another writer's data can't be
  decoded: the error of the decoder is not the usual one then.

  Scenario Outline: Data of another writer
    Guards against the end of the loop that receives it.

    When <what> holds 2000 nested lists in a field that nothing reads
    Then it counts as data that can't be decoded

    Examples:
      | what                            |
      | an endpoint's entry             |
      | the operators' configuration    |
      | a storage instance's entry      |
      | the holders of an account       |
      | a message of another instance   |
      | a record of the journal         |
      | a reply of the store            |
