package org.endivehold.daemon.settings;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * A fault in a settings file.
 *
 * @param path the field as a JSON pointer, such as {@code /callers/port}; {@code /} for the whole file
 * @param reason description of the fault
 */
public record SettingsFault(String path, String reason) {
    /**
     * Returns the fault as an exception.
     *
     * @return an exception of type {@code SETTINGS_INVALID}
     */
    public EndiveholdException failure() {
        return new EndiveholdException(ErrorType.SETTINGS_INVALID, path, reason);
    }
}
