#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: plain Java, no libraries. The daemons are built by the build command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 -d target/review-2 review/standins-2/*.java
