/*
 * Replication of the store's items between daemons: the store, two daemons that watch it, and one daemon that follows
 * the watchers.
 *
 * The store changes two keys of the watched prefix, and keys outside it, which only increase its revision. A watcher
 * applies all changes since its revision to its copy and forwards them; from time to time it reports up to which
 * revision its copy is current. The follower also reads the store itself. A connection may be cut: the messages in
 * flight on it are lost.
 *
 * Property: in every state the follower's items equal those that the store had at the follower's revision, and that
 * revision never decreases.
 *
 * Variants, each of which violates the property:
 *   NO_GAP            changes are applied although earlier ones are missing
 *   ADVANCE_BLINDLY   the revision advances on the report of a daemon whose items may differ
 *   TAKE_OLD          changes are applied although newer ones are known
 */

#define REVISIONS 3
#define KEYS 2
#define WATCHERS 2
#define GONE 0
#define LINK 2

/* The change at each revision of the store: the key, or KEYS for one outside the prefix; and whether it was removed. */
byte changedKey[REVISIONS + 1];
bool removed[REVISIONS + 1];
byte storeRevision;

typedef Copy {
    byte revision;
    byte changedAt;
    byte item[KEYS];
};
Copy watcher[WATCHERS];
Copy follower;

mtype = { CHANGED, CURRENT };
/*
 * Fields: kind; revision of the watcher's last change before this message; revision up to which the message is valid;
 * for CHANGED, the watcher's revision before the changes.
 */
chan link[WATCHERS] = [LINK] of { mtype, byte, byte, byte };

/* Sets result to the item of a key at a revision: the revision of its last change, or GONE. */
inline itemAt(key, at, result) {
    result = GONE;
    r = 1;
    do
    :: r > at -> break
    :: else ->
        if
        :: changedKey[r] == key && removed[r] -> result = GONE
        :: changedKey[r] == key && !removed[r] -> result = r
        :: changedKey[r] != key -> skip
        fi;
        r++
    od
}

/* Applies the store's changes after revision from, up to and including revision upTo, to a copy. */
inline applyChanges(copy, from, upTo) {
    c = from + 1;
    do
    :: c > upTo -> break
    :: else ->
        if
        :: changedKey[c] == KEYS -> skip
#ifndef TAKE_OLD
        :: changedKey[c] < KEYS && c <= copy.revision -> skip
        :: changedKey[c] < KEYS && c > copy.revision ->
#else
        :: changedKey[c] < KEYS && copy.item[changedKey[c]] >= c -> skip
        :: changedKey[c] < KEYS && copy.item[changedKey[c]] < c ->
#endif
            copy.changedAt = c;
            copy.item[changedKey[c]] = (removed[c] -> GONE : c)
        fi;
        c++
    od;
    if
    :: upTo > copy.revision -> copy.revision = upTo
    :: else -> skip
    fi
}

inline checkFollower() {
    k = 0;
    do
    :: k == KEYS -> break
    :: else ->
        itemAt(k, follower.revision, want);
        assert(follower.item[k] == want);
        k++
    od
}

active proctype Store() {
    byte key;
    bool gone;
    do
    :: storeRevision < REVISIONS ->
        atomic {
            select(key : 0 .. KEYS);
            if
            :: gone = true
            :: gone = false
            fi;
            changedKey[storeRevision + 1] = key;
            removed[storeRevision + 1] = gone;
            storeRevision++
        }
    :: storeRevision == REVISIONS -> break
    od
}

active [WATCHERS] proctype Watcher() {
    byte c;
    byte me = _pid - 1;
    byte before;
    byte from;
    do
    :: d_step {
            watcher[me].revision < storeRevision && len(link[me]) < LINK ->
            before = watcher[me].changedAt;
            from = watcher[me].revision;
            applyChanges(watcher[me], from, storeRevision);
            if
            :: watcher[me].changedAt > before -> link[me]!CHANGED(before, storeRevision, from)
            :: else -> skip
            fi;
            before = 0;
            from = 0;
            c = 0
        }
    :: d_step {
            len(link[me]) < LINK && watcher[me].revision > follower.revision ->
            link[me]!CURRENT(watcher[me].changedAt, watcher[me].revision, 0)
        }
    /* The connection is cut and its messages are lost; the next message uses a new connection. */
    :: d_step {
            len(link[me]) > 0 ->
            do
            :: len(link[me]) > 0 -> link[me]?_,_,_,_
            :: len(link[me]) == 0 -> break
            od;
            before = 0
        }
    od
}

#ifndef TAKE_OLD
#define NEWER (upTo > follower.revision)
#else
#define NEWER true
#endif

active proctype Follower() {
    byte c;
    byte r;
    byte k;
    byte want;
    byte w;
    byte after;
    byte upTo;
    byte first;
    byte old;
    do
    :: atomic {
            select(w : 0 .. WATCHERS - 1);
            old = follower.revision;
            if
            :: link[w]?[CHANGED,_,_,_] ->
                link[w]?CHANGED(after, upTo, first);
                if
#ifndef NO_GAP
                :: follower.revision < after -> skip
                :: follower.revision >= after && NEWER ->
#else
                :: NEWER ->
#endif
                    applyChanges(follower, first, upTo)
                :: else -> skip
                fi
            :: link[w]?[CURRENT,_,_,_] ->
                link[w]?CURRENT(after, upTo, first);
                if
#ifndef ADVANCE_BLINDLY
                :: follower.revision >= after && upTo > follower.revision -> follower.revision = upTo
#else
                :: upTo > follower.revision -> follower.revision = upTo
#endif
                :: else -> skip
                fi
            /* The follower has missed changes and requested a full copy. */
            :: watcher[w].revision > follower.revision ->
                follower.item[0] = watcher[w].item[0];
                follower.item[1] = watcher[w].item[1];
                follower.revision = watcher[w].revision
            :: len(link[w]) == 0 -> skip
            fi;
            assert(follower.revision >= old);
            checkFollower();
            after = 0; upTo = 0; first = 0; w = 0; old = 0; c = 0; r = 0; k = 0; want = 0
        }
    /* The follower reads the changes from the store itself. */
    :: atomic {
            follower.revision < storeRevision ->
            old = follower.revision;
            applyChanges(follower, old, storeRevision);
            checkFollower();
            old = 0; c = 0; r = 0; k = 0; want = 0
        }
    od
}
