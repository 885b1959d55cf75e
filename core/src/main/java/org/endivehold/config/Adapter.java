package org.endivehold.config;

import org.endivehold.misc.AdapterName;
import org.endivehold.misc.VersionName;

/**
 * An adapter that applies to one version of a model.
 *
 * @param name the adapter
 * @param version the version that it adapts
 */
public record Adapter(AdapterName name, VersionName version) {}
