# Fails if a name from the platform's protocol or settings is used outside
# platform/, the deployment files, the documentation, the stand-in of the platform
# and the tests that need it. The names are the string literals of platform/ that
# are more than one plain word, except those that are common in the settings of
# reverse proxies ("ordinary").
set -u
ordinary='timeout_ms|header_timeout_ms|max_body_bytes|max_header_bytes|max_batch'
names=$(grep -ohE '"(/-/[a-z/]+|[A-Za-z]+([_-][A-Za-z]+)+)"' platform/*.c |
  tr -d '"' | grep -vxE "Last-Event-Id|not_found|retry-after|$ordinary" | sort -u)
[ -n "$names" ] || { echo "names.sh: no names found in platform/"; exit 1; }
bad=0
for name in $names bind_addrs port_range seed_nodes contract_params /-/; do
  found=$(git grep -nF -e "$name" -- packages emulator bench tests tools \
    ':!tests/unit/test_adapter.c' ':!tests/unit/test_config_watch.c' ':!tests/unit/test_duty_client.c' ':!tests/unit/test_pob.c' ':!tests/unit/test_standin_platform.c' \
    ':!tests/soak/soak_config.c' \
    ':!emulator/standin/platform.c' ':!emulator/standin/published.c' \
    ':!emulator/standin/published.h' ':!tools/names.sh' |
    grep -vE '(_|[a-z])'"$name"'|'"$name"'[a-z_]')
  if [ -n "$found" ]; then
    printf 'platform name used outside platform/: %s\n%s\n' "$name" "$found"
    bad=1
  fi
done
exit $bad
