package org.celeryusher.standin.fleet

/**
 * Prepares this process to run many nodes. It must be called before any other code that uses coroutines.
 *
 * Each connector of a Ktor CIO engine blocks one thread of `Dispatchers.IO` in its selector. There are 64 threads by default, and with
 * more connectors than threads, nodes hang without any error.
 */
internal fun prepareForManyNodes() {
    System.setProperty("kotlinx.coroutines.io.parallelism", IO_THREADS.toString())
}

private const val IO_THREADS = 2_048
