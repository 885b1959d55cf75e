package org.endivehold.relay.simulation;

/** The daemon that a simulated request is sent to. */
interface RequestDaemon {
    void submit(SimulatedRequest request);

    /** A request produced its first event. */
    void firstEvent(SimulatedRequest request);

    /** A request ended. */
    void ended(SimulatedRequest request);
}
