package org.celeryusher.standin

internal const val PLACEHOLDER: Int = 1
