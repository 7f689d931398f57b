#!/bin/sh
# Builds the stand-ins of review/4 to review/8: they are Python scripts, so it compiles them once to see that they can run.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
names = [pathlib.Path("review/fleet_2.py"), *pathlib.Path("review").glob("[45678]/*.py"),
         *(pathlib.Path("test/platform/soak") / name for name in ("store.py", "wire.py"))]
for name in names:
    compile(name.read_text(), str(name), "exec")
print(f"{len(names)} stand-ins can run")
END
test -x target/bin/sailpath-gateway || { echo "target/bin/sailpath-gateway is missing: run the build of deploy/system.toml" >&2; exit 1; }
