package org.endivehold.placement;

import org.endivehold.config.RequestClass;

/**
 * What placement needs to know of a request.
 *
 * @param promptTokens estimated prompt length in tokens
 * @param maxTokens longest answer in tokens
 * @param requestClass how urgent it is
 * @param longPrompt whether it exceeds the route's bound for long prompts
 */
public record PlacementRequest(long promptTokens, int maxTokens, RequestClass requestClass, boolean longPrompt) {}
