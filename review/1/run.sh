#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -f "$root/router/target/stoatrill.jar" ] && [ -f ../out/BadClients.class ] || { echo "not built: see review/build.sh" >&2; exit 2; }
exec java -Xmx1g -Dreview.root="$root" -cp ../out BadClients record.txt
