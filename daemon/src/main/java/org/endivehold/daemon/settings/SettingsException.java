package org.endivehold.daemon.settings;

import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** A settings file with faults, all of them listed. */
public final class SettingsException extends EndiveholdException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Creates the failure.
     *
     * @param faults at least one fault
     */
    public SettingsException(List<SettingsFault> faults) {
        super(ErrorType.SETTINGS_INVALID, faults.get(0).path(), faults.get(0).reason());
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns every fault.
     *
     * @return the faults, in order of their paths
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
