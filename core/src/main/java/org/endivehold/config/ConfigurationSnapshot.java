package org.endivehold.config;

import org.endivehold.misc.Revision;

/**
 * A configuration in force.
 *
 * @param revision its revision
 * @param digest SHA-256 over its canonical form, in lower-case hexadecimal
 * @param configuration the objects
 */
public record ConfigurationSnapshot(Revision revision, String digest, Configuration configuration) {}
