# Runs clang-tidy on all tracked C sources, with the compile commands of build
# folder $1. Its configuration treats warnings as errors.
set -eu
git ls-files '*.c' | xargs -P 8 -n 4 clang-tidy -p "$1" --quiet 2> /dev/null
