package org.endivehold.grant;

import org.endivehold.misc.UpstreamName;

/**
 * What this daemon may use of one upstream at one instant.
 *
 * @param upstream the upstream
 * @param freeSlots slots not in use
 * @param freeMemoryTokens KV memory not in use, in tokens
 * @param usedSlots slots in use by this daemon
 * @param waitingPrefillTokens prompt tokens waiting there, by the grantor's last report plus this daemon's own since
 * @param longAllowed whether long prompts may go there
 */
public record Share(
        UpstreamName upstream,
        int freeSlots,
        long freeMemoryTokens,
        int usedSlots,
        long waitingPrefillTokens,
        boolean longAllowed) {}
