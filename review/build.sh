#!/bin/sh
# Builds the platform's programs with the line `build` of deploy/system.toml if they are not there yet. The
# stand-ins are Python scripts and need no build.
cd "$(dirname "$0")/.." || exit 2
if [ -x target/bin/cometstand-platform-store ] && [ -x target/bin/cometstand-platform-sidecar ]; then
  exit 0
fi
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
