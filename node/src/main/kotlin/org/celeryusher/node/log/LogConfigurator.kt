package org.celeryusher.node.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import net.logstash.logback.encoder.LogstashEncoder
import net.logstash.logback.fieldnames.LogstashFieldNames
import org.slf4j.Logger.ROOT_LOGGER_NAME

/**
 * Sets up the log: one JSON object a line, on the stream that the system property `celeryusher.log.stream` names, at the level that
 * `CELERYUSHER_LOG_LEVEL` names. A file that `logback.configurationFile` names is used instead.
 *
 * In code rather than in a file, whose parser costs much of the start of a node.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (System.getProperty("logback.configurationFile") != null) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        context.getLogger("org.celeryusher").level = Level.toLevel(valueOf("CELERYUSHER_LOG_LEVEL") ?: "INFO")
        val root = context.getLogger(ROOT_LOGGER_NAME)
        root.level = Level.WARN
        root.addAppender(asynchronousAppender(context))
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun asynchronousAppender(context: LoggerContext): AsyncAppender =
        AsyncAppender().also {
            it.context = context
            it.name = "asynchronous"
            it.queueSize = QUEUED_LINES
            it.isNeverBlock = true
            it.addAppender(consoleAppender(context))
            it.start()
        }

    private fun consoleAppender(context: LoggerContext): ConsoleAppender<ILoggingEvent> =
        ConsoleAppender<ILoggingEvent>().also {
            it.context = context
            it.name = "json"
            it.target = valueOf("celeryusher.log.stream") ?: "System.err"
            it.encoder = jsonEncoder(context)
            it.start()
        }

    private fun jsonEncoder(context: LoggerContext): LogstashEncoder =
        LogstashEncoder().also {
            it.context = context
            it.isIncludeMdc = false
            it.fieldNames =
                LogstashFieldNames().apply {
                    version = IGNORED
                    levelValue = IGNORED
                    thread = IGNORED
                }
            it.start()
        }

    private fun valueOf(name: String): String? = System.getProperty(name) ?: System.getenv(name)

    private companion object {
        const val QUEUED_LINES = 8_192

        /** The name with which the encoder leaves a field out. */
        const val IGNORED = "[ignore]"
    }
}
