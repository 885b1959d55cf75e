package org.endivehold.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of the system's own hosts; it lags behind the truth. */
public interface HostList {
    /**
     * Reads the list.
     *
     * @return the hosts that the platform believes to be live or leaving; fails with {@code HOST_LIST_UNAVAILABLE}
     */
    CompletionStage<List<HostEntry>> hosts();
}
