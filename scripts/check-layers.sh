#!/bin/sh
# Checks which layers of src/core include which.  From the lowest to the highest:
# membership and configuration, leases and promotions, statements.  A module
# includes headers of its own layer and of lower ones.  The modules listed in
# UPWARD still include a higher layer; the list may only get shorter.
set -eu
cd "$(dirname "$0")/.."
MEMBERSHIP="members roles rank relay relay_views isolation peers watch config
  config_order config_store era config_sync directory parse settling backoff
  subscribers fanout platform_calls voters voter_change contact lease_listing"
PROMOTION="promote suspicion coordinator term_raise lease lease_keeper placement
  predict duty voter_coordinator"
UPWARD="config_sync.c:owned.h isolation.c:owned.h isolation.c:promotion.h
  watch.c:owned.h watch.c:promotion.h
  coordinator.c:owned.h lease.c:owned.h promote.c:internal.h"
bad=0
found=""

check () { # module, headers that it must not include
  for header in $2; do
    for file in "$1.c" "$1.h"; do
      [ -e "src/core/$file" ] || continue
      grep -q "^#include \"core/$header\"" "src/core/$file" || continue
      found="$found $file:$header"
      case " $(echo $UPWARD) " in
        *" $file:$header "*) ;;
        *) echo "src/core/$file includes core/$header, of a higher layer" >&2; bad=1 ;;
      esac
    done
  done
}

for module in $MEMBERSHIP; do
  check "$module" "promotion.h requests.h owned.h entry.h owner.h internal.h"
done
for module in $PROMOTION; do
  check "$module" "requests.h owned.h entry.h owner.h internal.h"
done
for entry in $UPWARD; do
  case " $found " in
    *" $entry "*) ;;
    *) echo "scripts/check-layers.sh: $entry is gone from the code; remove it" >&2; bad=1 ;;
  esac
done
[ "$bad" = 0 ] || exit 1
echo "src/core: layers include downwards, but for $(echo $UPWARD | wc -w) places"
