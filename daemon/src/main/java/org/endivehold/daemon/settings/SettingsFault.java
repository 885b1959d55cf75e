package org.endivehold.daemon.settings;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * One fault of a settings file.
 *
 * @param path where, as a JSON pointer such as {@code /callers/port}
 * @param reason what is wrong
 */
public record SettingsFault(String path, String reason) {
    /**
     * Returns the fault as a typed failure.
     *
     * @return a failure of type {@code SETTINGS_INVALID}
     */
    public EndiveholdException failure() {
        return new EndiveholdException(ErrorType.SETTINGS_INVALID, path, reason);
    }
}
