#!/bin/sh
# Measures control traffic, platform calls, CPU time and memory of one idle VM,
# in deployments of 2 to 12 VMs in one to three failure domains with 1 to 9
# servers.  The slopes in docs/CAPACITY.md come from these figures.
set -eu
cd "$(dirname "$0")/.."
file=$(mktemp)
trap 'rm -f "$file"' EXIT
measure() { # domains, VMs per domain, servers, label
  cat >"$file" <<S
deployment domains=$1 vms=$2 servers=$3
wait 3000
run 'm() { curl -s http://\$SS_VM_0:7200/metrics; }; cpu() { awk "{print \\\$14+\\\$15}" /proc/\$SS_VM_PID_0/stat; }; a=\$(m); c=\$(cpu); sleep 10; b=\$(m); d=\$(cpu); v() { echo "\$1" | sed -n "s/^sapphirestair_\$2_total //p"; }; echo "$4: control bytes/s \$(( (\$(v "\$b" control_bytes) - \$(v "\$a" control_bytes)) / 10 )) messages/s \$(( (\$(v "\$b" control_messages) - \$(v "\$a" control_messages)) / 10 )) platform calls/10s \$(( \$(v "\$b" platform_calls) - \$(v "\$a" platform_calls) )) cpu_ms/10s \$(( (d - c) * 10 )) rss_kb \$(sed -n "s/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p" /proc/\$SS_VM_PID_0/status)"'
S
  build/ss-scenario "$file"
}
measure a 2 1 "2 vms, 1 server "
measure a,b 2 1 "4 vms, 1 server "
measure a,b,c 2 1 "6 vms, 1 server "
measure a,b,c 4 1 "12 vms, 1 server"
measure a,b,c 2 3 "6 vms, 3 servers"
measure a,b,c 2 9 "6 vms, 9 servers"
