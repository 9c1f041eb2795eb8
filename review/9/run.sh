#!/bin/bash
# Kills stores while topics are taken up and written to, and writes to the topics again a minute later; see claim.txt.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the kills out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for needed in gateway agent store controller review-standin-2; do
	if [ ! -x "$root/target/$needed" ]; then
		echo "target/$needed is missing: run the build of the deploy file and review/build-2.sh" | tee "$here/record.txt"
		exit 2
	fi
done
timeout -k 5 -s TERM 117 "$root/target/review-standin-2" dead "$root" "$here/record.txt" > /dev/null
code=$?
[ $code -le 2 ] || code=2
exit $code
