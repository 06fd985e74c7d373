package org.celeryusher.standin.report

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import org.slf4j.LoggerFactory

/** Sets the log level of celeryusher to ERROR, for commands that print reports. */
internal fun quietLogs() {
    val logger = LoggerFactory.getLogger("org.celeryusher")
    if (logger is Logger) logger.level = Level.ERROR
}
