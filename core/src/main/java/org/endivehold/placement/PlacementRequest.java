package org.endivehold.placement;

import org.endivehold.config.RequestClass;

/**
 * The properties of a request that placement uses.
 *
 * @param promptTokens estimated prompt length in tokens
 * @param maxTokens maximum length of the answer in tokens
 * @param requestClass its scheduling class
 * @param longPrompt whether the prompt exceeds the route's limit for long prompts
 */
public record PlacementRequest(long promptTokens, int maxTokens, RequestClass requestClass, boolean longPrompt) {}
