#!/bin/sh
# Builds the stand-ins that the cases 4 to 7 start: those of the second review
# and the project's own. They use the libraries that the build of the deploy
# file puts into target/deps; run that first.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q --invalidation-mode checked-hash \
    review/rig2 tests/standins
for module in rig2.site rig2.runner standins.sitestore standins.siterunner; do
    PYTHONPATH=target/deps:review:tests python3 -c "import $module"
done
