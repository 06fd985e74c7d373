package org.celeryusher.standin.report

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import org.slf4j.LoggerFactory

/** Keeps the product's logs at errors, for commands that print tables. */
internal fun quietLogs() {
    val logger = LoggerFactory.getLogger("org.celeryusher")
    if (logger is Logger) logger.level = Level.ERROR
}
