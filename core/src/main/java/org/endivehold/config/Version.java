package org.endivehold.config;

import org.endivehold.misc.ModelName;
import org.endivehold.misc.VersionName;

/**
 * One version of a model's weights.
 *
 * @param name the version
 * @param model its model
 * @param weightBytes size of the weights in the weight store, in bytes
 */
public record Version(VersionName name, ModelName model, long weightBytes) {}
