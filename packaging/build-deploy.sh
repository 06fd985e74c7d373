#!/bin/sh
# Builds target/celeryusher.jar for the deployment, and beside it an archive of its loaded classes, which shortens each start.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -Dmaven.test.skip=true -Dktlint.skip=true -pl platform -am package
