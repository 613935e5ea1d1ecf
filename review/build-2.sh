#!/bin/sh
# Builds the stand-ins of the second review. They are Python without libraries:
# it checks that they and the soak's store, which they use, can be compiled.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PYTHON'
import glob
import pathlib

names = ["review/standins_2.py", "review/sync_2.py", *glob.glob("review/*/case.py")]
names += ["soak/store.py", "soak/items.py", "soak/webserver.py"]
for name in names:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON
