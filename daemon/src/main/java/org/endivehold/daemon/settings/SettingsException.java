package org.endivehold.daemon.settings;

import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Thrown for a settings file that is unreadable or invalid. Lists all faults; the message has only the first. */
public final class SettingsException extends EndiveholdException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Creates the exception.
     *
     * @param faults the faults; at least one
     */
    public SettingsException(List<SettingsFault> faults) {
        super(ErrorType.SETTINGS_INVALID, faults.get(0).path(), faults.get(0).reason());
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns all faults.
     *
     * @return the faults in order of their paths
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
