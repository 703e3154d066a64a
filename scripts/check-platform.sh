#!/bin/sh
# The platform's names, formats and calls stand in platform/ and deploy/ only,
# and nothing in src/ includes what is there.
set -eu
cd "$(dirname "$0")/.."
words='/v1/|/promotions|Duty-Holder|Fencing-Token|Expected-Instance|WAITFOR|STEPDOWN|DEALLOC |sapphirestair-(groups|vms|duties)|max_conns|at_rev|sync_replicas|bounded_staleness|fleetbench'
if git ls-files 'src/*.[ch]' 'src/**/*.[ch]' | sort -u \
    | grep -v -e '^src/plugins/platform_http.c$' -e '^src/plugins/admin_http.c$' \
    -e '^src/ctl/' | xargs grep -nE "$words"; then
  echo "src/ holds words of the platform; decode them in platform/" >&2
  exit 1
fi
if git ls-files 'src/*.[ch]' 'src/**/*.[ch]' | xargs grep -nE '#include "platform/'; then
  echo "src/ includes a header of platform/" >&2
  exit 1
fi
# It decides nothing: no timers of its own beside those that end connections,
# and no look into the core's state but counters and readiness.
if grep -nE 'node\.(config|members|sessions|owned|promotions)' platform/*.c; then
  echo "platform/ looks into the core's state" >&2
  exit 1
fi
echo "platform: its words stay in platform/ and deploy/"
