package org.endivehold.upstream;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Hashes of the prefixes of a prompt, one per whole block of {@link #BLOCK_TOKENS} tokens.
 *
 * <p>Each hash covers its block and, as seed, the hash before it; so two prompts share hash number i exactly when their
 * first i + 1 blocks are equal (up to collisions). Daemons and engines compute the same hashes.
 */
public final class PrefixHashes {
    /** Tokens per block. */
    public static final int BLOCK_TOKENS = 256;

    private PrefixHashes() {}

    /**
     * Hashes all prefixes.
     *
     * @param prompt the prompt in UTF-8
     * @param bytesPerToken bytes that make one token
     * @return one hash per whole block
     */
    public static long[] of(byte[] prompt, int bytesPerToken) {
        int block = BLOCK_TOKENS * bytesPerToken;
        long[] hashes = new long[prompt.length / block];
        int seed = 0;
        for (int i = 0; i < hashes.length; i++) {
            long[] pair = MurmurHash3.hash128x64(prompt, i * block, block, seed);
            hashes[i] = pair[0];
            seed = (int) (pair[0] ^ (pair[0] >>> 32));
        }
        return hashes;
    }
}
