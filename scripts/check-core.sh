#!/bin/sh
# Checks by includes and symbols that src/core does no input or output.
set -eu
cd "$(dirname "$0")/.."
B=${B:-build}
if grep -nE '#include[ ]*[<"](ev\.h|sys/socket|netinet|unistd|time\.h|sys/time|libpq|curl|microhttpd|plugins/|kernel/(stream|httpd|plugin|settings)\.h)' src/core/*.[ch]; then
  echo "src/core includes a header for input or output" >&2
  exit 1
fi
for file in "$B"/src/core/*.o; do
  if nm -u "$file" | grep -E ' U (socket|connect|send|recv|read|write|open|fopen|time|clock_gettime|gettimeofday|g_get_(real|monotonic)_time|getenv|g_getenv|g_random_int|rand|ev_[a-z_]+|PQ[a-zA-Z]+|curl_[a-z_]+|MHD_[a-z_]+)$'; then
    echo "$file calls a function that does input or output" >&2
    exit 1
  fi
done
echo "src/core: no input or output"
