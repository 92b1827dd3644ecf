# Runs the case in the folder ``here``; exits with 1 if the rule was broken, 0
# if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. Read by the run.sh of each case.
root=$(cd "$here/../.." && pwd)
paths=$root/target/deps:$root/review:$root/tests
for library in "$root"/libs/*/src; do paths=$paths:$library; done
export PYTHONPATH="$paths" PYTHONDONTWRITEBYTECODE=1
cd "$root" || exit 2
timeout -k 5 118 python3 "$here/run.py" "$here/record.txt"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
