/*
 * Copies of the store's items that daemons pass on: the store, two daemons that watch, one that follows them.
 *
 * The store changes two keys of the prefix, and others, which only raise its revision. A watching daemon takes all
 * changes since its revision and passes them on; from time to time it says that its copy is current. The follower also
 * reads the store itself. Connections may be cut: what was on them is lost.
 *
 * Property: at every moment the follower's items are those that the store had at the follower's revision, and that
 * revision never falls.
 *
 * Variants, each of which breaks it:
 *   NO_GAP            changes are taken though earlier ones are missing
 *   ADVANCE_BLINDLY   the revision rises with the word of a daemon whose items may differ
 *   TAKE_OLD          changes are taken though something newer is known
 */

#define REVISIONS 3
#define KEYS 2
#define WATCHERS 2
#define GONE 0
#define LINK 2

/* What the store changed at each revision: a key, or KEYS for another prefix; and whether it was removed. */
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
/* kind, revision after which (or since which nothing changed), revision up to which, revision before */
chan link[WATCHERS] = [LINK] of { mtype, byte, byte, byte };

/* The item of a key at a revision: the revision of its last change, or GONE. */
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

/* Applies the store's changes after one revision and up to another to a copy. */
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
    /* The connection is cut, and the next message goes over a new one. */
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
            /* It lacks something and has asked for all. */
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
    /* It watches the store itself. */
    :: atomic {
            follower.revision < storeRevision ->
            old = follower.revision;
            applyChanges(follower, old, storeRevision);
            checkFollower();
            old = 0; c = 0; r = 0; k = 0; want = 0
        }
    od
}
