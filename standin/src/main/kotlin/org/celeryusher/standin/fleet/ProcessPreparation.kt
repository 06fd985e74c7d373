package org.celeryusher.standin.fleet

/**
 * Prepares this process to carry many nodes; call it before anything else runs.
 *
 * Each connector of a Ktor CIO engine blocks one thread of `Dispatchers.IO` in its selector, and there are 64 by default: with more
 * connectors than threads, nodes stand still without any error.
 */
internal fun prepareForManyNodes() {
    System.setProperty("kotlinx.coroutines.io.parallelism", IO_THREADS.toString())
}

private const val IO_THREADS = 2_048
