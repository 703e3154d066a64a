# Plays days and tells of each in one line; read by variants.sh and kinds.sh.

die () {
  echo "$(basename "$0"): $*" >&2
  exit 2
}

# days_check SITE DIR: whether a script's own arguments can be used.
days_check () {
  [ -n "${FLEETBENCH:-}" ] || die "FLEETBENCH names no program"
  [ -r "$1" ] || die "$1 can't be read"
  case $(realpath -m "$2")/ in
    "$(git rev-parse --show-toplevel)"/*) die "$2 is in the repository" ;;
  esac
  mkdir -p "$2"
}

day_row_head () {
  printf '%-21s %7s %7s %s\n' "$1" worth served 'broken rules'
}

# day_row NAME SITE DAY LOG: fails if a rule was broken, a process ended of
# itself or the day was not played.
day_row () {
  "$FLEETBENCH" run "$2" "$3" --no-cpu \
    --why "$1 on $(basename "$2")" > "$4" 2>&1 || true
  awk -v name="$1" '
    /^day / { head = 1; next }
    head == 1 { worth = $4; served = $5; head = 2 }
    /BROKEN/ || /[1-9][0-9]* exits of its own/ { broken = broken " " $0 }
    END {
      printf "%-21s %7s %7s %s\n", name, worth ? worth : "-",
             served ? served : "-", broken ? broken : worth ? "none" : "not played"
      exit broken != "" || !worth
    }' "$4"
}
