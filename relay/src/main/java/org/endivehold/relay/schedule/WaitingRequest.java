package org.endivehold.relay.schedule;

import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.share.EngineCost;

/**
 * A request that waits for engines.
 *
 * @param request the request as it was submitted
 * @param profile the engines of its service
 * @param listener receives the decision
 * @param submittedAt when it was submitted, in milliseconds
 */
public record WaitingRequest(
        EngineRequest request, EngineProfile profile, EngineScheduler.Listener listener, double submittedAt) {
    /** Returns the id of the request at the engines. */
    public JobId id() {
        return request.id();
    }

    /** Returns the properties of the request at a later time. */
    public PromptNeed need(double now) {
        return request.need().after(now - submittedAt);
    }

    TrafficClass traffic() {
        return request.need().traffic();
    }

    /** Returns whether the request has a class other than the default. */
    boolean isClassed() {
        return !traffic().equals(TrafficClass.DEFAULT);
    }

    /** Returns what the request is predicted to take from the engines. */
    EngineCost cost() {
        return EngineCost.of(request.need(), profile);
    }

    /** Returns when the caller began to wait for the next event, as far as that is known, in milliseconds. */
    double arrivedAt() {
        return submittedAt - request.need().elapsedMillis();
    }

    /** Returns the time in which one engine alone prefills the prompt, in milliseconds. */
    double prefillMillis() {
        return profile.prefillMillis(request.need().promptTokens(), 1);
    }

    double weightPerPrefillMillis() {
        return request.need().weight() / prefillMillis();
    }
}
