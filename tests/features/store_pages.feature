Feature: Lists of the platform's store that come in parts
  What a list leaves out counts as removed: calls would no longer go to
  endpoints that are up, and storage instances would not be asked any more.

  Scenario Outline: A list that is not whole
    If the part that came passed for the whole, the watch would report all
    other entries as removed.

    Given a watch of 5 entries in pages of 2
    When the history is lost and the next list <fault>
    Then no entry is reported as removed within 10 seconds
    And all entries are listed again

    Examples:
      | fault                            |
      | announces a page that is empty   |
      | repeats its first page once      |
      | ends within its second page      |
      | has an error for its second page |

  Scenario: Entries change between the pages of a list
    The pages are no snapshot. A watch that went on from the last page would
    miss the change of an entry of the first page.

    Given a watch of 5 entries in pages of 2
    When the history is lost and between two pages the first entry is removed and the last one changes
    Then exactly the first entry is reported as removed within 10 seconds
    And the watch knows all entries as they are

  Scenario Outline: Pages without an end
    Guards against a process that keeps all of them until its memory is used up.

    When a prefix is listed whose pages of <entries> entries of <size> bytes never end
    Then there is no list after at most <pages> pages

    Examples:
      | entries | size    | pages |
      | 500     | 10      | 201   |
      | 1       | 1000000 | 64    |

  Scenario: The longest list
    Given a store with 100000 entries in pages of 500
    When the prefix is listed
    Then the list has 100000 entries
