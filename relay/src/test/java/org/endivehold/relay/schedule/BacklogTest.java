package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.route.TrafficClass;
import org.junit.jupiter.api.Test;

class BacklogTest {
    private static final int SHORT = 5_000;
    private static final int MEDIUM = 45_000;
    private static final int LONG = 190_000;
    private static final int MAX_SEARCHES = 8;

    private final WaitingRequests requests = new WaitingRequests();
    private final Backlog backlog = new Backlog(100);

    private WaitingRequest add(long tokens) {
        WaitingRequest entry = requests.request(tokens, TrafficClass.DEFAULT);
        assertTrue(backlog.add(entry));
        return entry;
    }

    /** A long prompt that came first would delay the short ones behind it. */
    @Test
    void requestsOfTheDefaultClassAreTriedByWeightPerPrefillTime() {
        JobId longPrompt = add(LONG).id();
        JobId medium = add(MEDIUM).id();
        JobId first = add(SHORT).id();
        JobId second = add(SHORT).id();
        backlog.runTurn(requests);
        assertEquals(List.of(first, second, medium, longPrompt), new ArrayList<>(requests.placed));
        assertEquals(0, backlog.size());
    }

    /** A turn that searched engines for every request would block the event loop. */
    @Test
    void aTurnDoesABoundedNumberOfSearches() {
        for (int i = 0; i < 50; i++) {
            add(SHORT);
            add(LONG);
        }
        requests.fits = entry -> false;
        backlog.runTurn(requests);
        assertEquals(MAX_SEARCHES, requests.searched.size());
    }

    /** A request that was withdrawn and still counted as unplaced would keep its claim on engines. */
    @Test
    void theFirstUnplacedRequestOfAServiceIsThatOfTheLastTurn() {
        JobId medium = add(MEDIUM).id();
        WaitingRequest longPrompt = add(LONG);
        requests.fits = entry -> !entry.equals(longPrompt);
        backlog.runTurn(requests);
        assertFalse(backlog.contains(medium));
        assertEquals(Optional.of(longPrompt), backlog.firstUnplaced(WaitingRequests.SERVICE));
        assertEquals(Optional.empty(), backlog.firstUnplaced("other"));
        backlog.remove(longPrompt.id());
        assertEquals(Optional.empty(), backlog.firstUnplaced(WaitingRequests.SERVICE));
    }

    /** A late request that stayed would keep its caller from retrying elsewhere. */
    @Test
    void aLateRequestThatFitsNowhereIsRefused() {
        WaitingRequest late = add(SHORT);
        WaitingRequest inTime = add(SHORT);
        requests.late.add(late.id());
        requests.fits = entry -> false;
        backlog.runTurn(requests);
        assertEquals(List.of(late.id()), new ArrayList<>(requests.refused));
        assertTrue(backlog.contains(inTime.id()));
    }

    /** Eight short prompts that fit nowhere kept a long one from being tried until it was refused. */
    @Test
    void endlessShortPromptsThatFitNowhereDoNotHideALongOne() {
        for (int i = 0; i < 20; i++) {
            add(SHORT);
        }
        WaitingRequest longPrompt = add(LONG);
        WaitingRequest medium = add(MEDIUM);
        requests.fits = entry -> entry.equals(longPrompt) || entry.equals(medium);
        backlog.runTurn(requests);
        assertEquals(List.of(medium.id(), longPrompt.id()), new ArrayList<>(requests.placed));
        assertEquals(MAX_SEARCHES, requests.searched.size());
    }

    /** With more groups than searches, the first groups would otherwise take all searches of every turn. */
    @Test
    void everyGroupOfManyServicesIsSearchedAfterAFewTurns() {
        for (int service = 0; service < 12; service++) {
            assertTrue(backlog.add(requests.request("service-" + service, SHORT, TrafficClass.DEFAULT)));
        }
        requests.fits = entry -> false;
        for (int turn = 0; turn < 12; turn++) {
            backlog.runTurn(requests);
        }
        assertEquals(12, requests.searched.size());
    }

    /** A burst of more prompts than a turn searches for would be refused although engines have room. */
    @Test
    void aLateRequestIsNotRefusedWhileTheSearchesOfItsGroupFindEngines() {
        for (int i = 0; i < 12; i++) {
            requests.late.add(add(SHORT).id());
        }
        backlog.runTurn(requests);
        backlog.runTurn(requests);
        assertEquals(12, requests.placed.size());
        assertTrue(requests.refused.isEmpty());
    }

    @Test
    void theRequestsOfOneDaemonAreListed() {
        JobId id = add(SHORT).id();
        assertEquals(List.of(id), backlog.submittedBy("daemon"));
        assertEquals(List.of(), backlog.submittedBy("other"));
    }
}
