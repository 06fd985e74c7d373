#!/bin/sh
# Compiles the stand-ins and the scripts of all cases into target/review. Needs the build of the deploy file, whose jar they use.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -cp target/celeryusher.jar -d target/review $(find review -name '*.java')
