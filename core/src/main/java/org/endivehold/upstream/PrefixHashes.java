package org.endivehold.upstream;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Hashes of the prefixes of a prompt, one per complete block of {@link #BLOCK_TOKENS} tokens.
 *
 * <p>Each hash is computed over one block, seeded with the hash of the preceding block. So, except for hash collisions,
 * two prompts have the same hash number i if and only if their first i + 1 blocks are equal. Engines have to compute
 * the same hashes, since daemons compare them with those in cache events.
 */
public final class PrefixHashes {
    /** Length of a block, in tokens. */
    public static final int BLOCK_TOKENS = 256;

    private PrefixHashes() {}

    /**
     * Computes the hashes of all prefixes that consist of complete blocks.
     *
     * @param prompt the prompt in UTF-8
     * @param bytesPerToken assumed length of a token, in bytes
     * @return one hash per complete block
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
