#!/bin/sh
# Runs the jar that follows this stub in the same file. CELERYUSHER_JAVA_FLAGS replaces the default JVM flags.
export MALLOC_ARENA_MAX="${MALLOC_ARENA_MAX:-2}"
flags="${CELERYUSHER_JAVA_FLAGS:--Xmx48m -Xss256k -XX:+UseSerialGC -XX:ReservedCodeCacheSize=24m -XX:ActiveProcessorCount=2 -XX:TieredStopAtLevel=4 -XX:+ExitOnOutOfMemoryError}"
case "${1:-}" in
    demo | measure) flags="${CELERYUSHER_JAVA_FLAGS:--Xmx3g -Xss512k -XX:+UseParallelGC}" ;;
esac
# Word splitting of the flags is intended.
# shellcheck disable=SC2086
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" $flags -Djava.net.preferIPv4Stack=true -jar "$0" "$@"
exit 127
