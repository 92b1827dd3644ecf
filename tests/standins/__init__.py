"""Small stand-ins for the platform and the endpoints, one process each.

Each is started as ``python -m standins.NAME ADDRESS ...``. ``GET /faults``
shows a stand-in's faults and ``POST /faults`` with some of the same fields
sets them. ``GET /stats`` shows what it counted.
"""
