# Installs those of the Debian packages given as arguments that are missing.
set -eu
missing=
for p in "$@"; do
  dpkg -s "$p" > /dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing > /dev/null
