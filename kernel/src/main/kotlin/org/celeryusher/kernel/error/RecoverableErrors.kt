package org.celeryusher.kernel.error

/**
 * Whether a reader or a background task can go on with its next input after this error.
 *
 * Bytes from outside can exhaust the stack of a thread or the memory for one value. Both are free again once the work on these bytes has
 * been abandoned. Any other [Error] says that the process itself is broken.
 */
public val Throwable.isRecoverable: Boolean get() = this is Exception || this is StackOverflowError || this is OutOfMemoryError
