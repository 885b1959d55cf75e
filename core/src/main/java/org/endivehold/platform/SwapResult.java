package org.endivehold.platform;

import java.util.Optional;

/**
 * The result of a compare-and-swap.
 *
 * @param swapped whether this call wrote the key
 * @param current the entry after the call; empty if the key does not exist
 */
public record SwapResult(boolean swapped, Optional<StoreEntry> current) {}
