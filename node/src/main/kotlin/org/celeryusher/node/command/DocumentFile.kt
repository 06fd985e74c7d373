package org.celeryusher.node.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.configuration.ConfigurationParser
import java.io.IOException
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Reads the configuration documents that a command line names. */
internal object DocumentFile {
    /**
     * Returns the bytes of the file [name], or a message that says why it cannot be read.
     *
     * It reads at most one byte more than the maximum document size, which suffices for the parser to refuse a file that is too large.
     */
    fun read(name: String): Either<String, ByteArray> =
        try {
            val path = Path.of(name)
            when {
                Files.isDirectory(path) -> "\"$name\" is a directory".left()
                else -> Files.newInputStream(path).use { it.readNBytes(ConfigurationParser.MAXIMUM_DOCUMENT_BYTES + 1) }.right()
            }
        } catch (_: NoSuchFileException) {
            "there is no file \"$name\"".left()
        } catch (error: InvalidPathException) {
            "\"${printableLine(name)}\" is not a file name: ${error.reason}".left()
        } catch (error: IOException) {
            "the file \"$name\" cannot be read: ${error.javaClass.simpleName}".left()
        }
}
