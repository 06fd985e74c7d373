#!/bin/sh
# Builds target/celeryusher.jar for the deployment, and beside it an archive of the classes that a node loads, which shortens each start.
# The archive is valid only with the same JVM, the same jar under the same relative path, and the same collector.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -Dmaven.test.skip=true -Dktlint.skip=true package
cp target/celeryusher-platform-standin/celeryusher-platform-standin-0.1.0-all.jar target/celeryusher.jar
java -XX:+UseSerialGC -XX:ArchiveClassesAtExit=target/celeryusher.jsa -Djava.net.preferIPv4Stack=true -jar target/celeryusher.jar rehearse >target/rehearse.log 2>&1 ||
    { cat target/rehearse.log >&2; exit 1; }
