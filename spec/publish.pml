/*
 * Concurrent publishing of configurations by several operators, and their propagation to daemons.
 *
 * An operator replaces the head of the configuration by compare-and-swap against the revision that it edited. The
 * response to the swap may be lost; the write may then have taken effect, take effect later, or never take effect. The
 * operator reads the revision after the one that it edited: its own publish identifier there means that the publish was
 * accepted; another identifier means a conflict, since a delayed swap can no longer match; if there is no such revision
 * yet, the outcome is unknown and the operator repeats the same swap. Daemons learn revisions from a watch that lags
 * and from one another.
 *
 * A configuration is modelled as the set of publishes that it contains.
 *
 * Properties: no daemon goes back to a lower revision; an accepted publish is part of every later configuration; a
 * publish refused as a conflict is never in force.
 *
 * Variants, each of which violates a property:
 *   BLIND_WRITE       the head is written without comparison
 *   LOST_IS_CONFLICT  a lost response counts as a conflict
 *   HEAD_ONLY         the operator checks only the publisher of the head, which may be a later publish based on its own
 *   REBASE            after a conflict the old edit is written over the new head
 *   ANY_REVISION      a daemon applies every revision that it receives
 */
#define OPERATORS 3
#define DAEMONS 2
#define MAX_REVISIONS 6
#define BIT(n) (1 << (n))

byte revision = 0;
byte content[MAX_REVISIONS + 1];
byte publisher[MAX_REVISIONS + 1];	/* publish identifier of each revision, plus one; 0 if none */
byte accepted;				/* set of accepted publishes */
byte conflicts;				/* set of publishes refused as conflicts */

bool late[OPERATORS];			/* delayed swaps, which arrive later */
byte lateExpected[OPERATORS];
byte lateContent[OPERATORS];

byte force[DAEMONS];			/* revision in force */
byte best[DAEMONS];			/* highest revision that was ever in force */

#define INTACT ((content[revision] & accepted) == accepted && (content[revision] & conflicts) == 0)

inline swapArrives(me, expected, value) {
	if
#ifdef BLIND_WRITE
	:: revision < MAX_REVISIONS ->
#else
	:: revision == expected && revision < MAX_REVISIONS ->
#endif
		revision++;
		content[revision] = value;
		publisher[revision] = me + 1;
		assert(INTACT)
	:: else
	fi
}

proctype Operator(byte me) {
	byte base;
	byte edit;
	byte tries = 0;

	d_step { base = revision; edit = content[revision] | BIT(me) };
swap:
	if
	:: atomic { revision == base -> swapArrives(me, base, edit); goto accept }
	:: atomic { revision != base -> goto lost }
	/* The response is lost; the write takes effect now, later, or never. */
	:: atomic { swapArrives(me, base, edit); goto lost }
	:: atomic { !late[me] -> late[me] = true; lateExpected[me] = base; lateContent[me] = edit; goto lost }
	:: goto lost
	fi;
lost:
#ifdef LOST_IS_CONFLICT
	goto conflict;
#endif
	if
#ifdef HEAD_ONLY
	:: atomic { revision > base && publisher[revision] == me + 1 -> goto accept }
	:: atomic { revision > base && publisher[revision] != me + 1 -> goto conflict }
#else
	:: atomic { revision > base && publisher[base + 1] == me + 1 -> goto accept }
	:: atomic { revision > base && publisher[base + 1] != me + 1 -> goto conflict }
#endif
	:: atomic { revision == base && tries < 1 -> tries++; goto swap }
	:: goto end				/* reported as unknown */
	fi;
accept:
	atomic { accepted = accepted | BIT(me); assert(INTACT) };
	goto end;
conflict:
#ifdef REBASE
	if
	:: atomic { tries < 1 -> tries++; base = revision; goto swap }
	:: true
	fi;
#endif
	atomic { conflicts = conflicts | BIT(me); assert(INTACT) };
end:	skip
}

inline learn(d, r) {
#ifdef ANY_REVISION
	force[d] = r;
#else
	if
	:: r > force[d] -> force[d] = r
	:: else
	fi;
#endif
	assert(force[d] >= best[d]);
	best[d] = force[d]
}

proctype Daemon(byte me) {
	byte r;
	do
	/* The watch lags: it may deliver any revision up to the current one. */
	:: atomic { r = 0; do :: r < revision -> r++ :: break od; learn(me, r); r = 0 }
	:: atomic { learn(me, force[1 - me]) }
	od
}

active proctype Network() {
	do
	:: d_step { late[0] -> late[0] = false; swapArrives(0, lateExpected[0], lateContent[0]) }
	:: d_step { late[1] -> late[1] = false; swapArrives(1, lateExpected[1], lateContent[1]) }
	:: d_step { late[2] -> late[2] = false; swapArrives(2, lateExpected[2], lateContent[2]) }
	od
}

init {
	atomic { run Operator(0); run Operator(1); run Operator(2); run Daemon(0); run Daemon(1) }
}
