package org.endivehold.config;

import java.util.List;
import org.endivehold.misc.CustomerName;

/**
 * A customer.
 *
 * @param name the customer
 * @param keyHashes SHA-256 hashes of its API keys, in lower-case hexadecimal
 * @param weight share in fair queueing, positive
 * @param maxConcurrent most requests in progress at one daemon
 * @param maxQueued most requests waiting at one daemon
 */
public record Customer(CustomerName name, List<String> keyHashes, int weight, int maxConcurrent, int maxQueued) {}
