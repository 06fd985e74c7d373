package org.celeryusher.node

internal const val PLACEHOLDER: Int = 1
