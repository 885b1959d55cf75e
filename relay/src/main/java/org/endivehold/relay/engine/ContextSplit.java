package org.endivehold.relay.engine;

/**
 * A way of dividing a request's context among engines.
 *
 * @param engines number of engines that hold a part each; one of them decodes the answer and needs a slot
 * @param heldTokens memory that each of them needs, in tokens
 */
public record ContextSplit(int engines, long heldTokens) {}
