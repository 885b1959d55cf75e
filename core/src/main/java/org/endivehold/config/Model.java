package org.endivehold.config;

import org.endivehold.misc.ModelName;

/**
 * A language model as callers name it.
 *
 * @param name the name in a caller's request
 * @param maxContextTokens maximum length of prompt and answer together, in tokens
 */
public record Model(ModelName name, long maxContextTokens) {}
