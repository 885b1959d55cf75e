/*
 * Sharing of one upstream between daemons by grants that expire, and takeover by a second grantor.
 *
 * Two daemons act as grantors and three hold grants of one slot each, on an upstream that bears CAPACITY slots. Holder 2
 * is missing from the host list at first. The key-value service is modelled by the owner of the lease and its epoch; that
 * it is out is covered by leases that are not renewed. Messages are lost, late and duplicated.
 *
 * Time is modelled by its consequences. A grant's time runs on the holder's clock from when it sent the request, so a
 * grant has always expired at its holder, also one still under way, when the grantor counts it as expired. A grantor
 * stops trusting its lease before the service lets it lapse.
 *
 * Serial numbers are modelled by whether a message carries the current one, so that the number of grants is unbounded.
 *
 * Variants, each of which breaks the property:
 *   NO_FENCE          a holder that answered a successor still accepts grants of older epochs
 *   NO_STATEMENT      a successor does not wait for the old grantor's statement
 *   NO_SERIAL         a hand-back counts although its grant is no longer current
 *   NO_LEASE          a grantor without a valid lease allocates capacity that expired, or that it found unallocated
 *   FORGET_ASKED      a successor forgets a host that it asked once the host list drops it
 *   NO_REVALIDATION   a grantor acts as if it had its lease after a pause in which the lease lapsed
 *   HAND_BACK_OLD     a holder that answered a successor hands its share back to the old grantor
 *   RENEW_RESTARTED   a grantor renews a grant for a new process on the holder's host
 *   ANSWER_BY_HOST    an answer of an earlier process on a holder's host counts as that of the present one
 *   RENEW_LATE        a grantor renews a share that was stated too late to find room
 *   RESTART_STATES    a new process on the old grantor's host answers for the old one
 */
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef HOLDERS
#define HOLDERS 3
#endif
#define CAPACITY (HOLDERS - 1)
#define LAST (HOLDERS - 1)
#define NOBODY 2
#define AT(g, h) ((g) * HOLDERS + (h))
#define BIT(n) (1 << (n))

/* The key-value service. */
byte owner = 0;
byte epoch = 1;
byte owners = 0;		/* bit e: the grantor that took epoch e */

/* Grantors. */
bool acting[2];
bool lease[2];
byte ep[2];
bool dead[2];
bool hasTable[2];		/* remembers what it allocated in its last epoch */
bool complete[2];
byte room[2];			/* slots that it may allocate while its lease is valid */
byte handed[2];			/* those among them that it may also allocate without a valid lease */
byte orphaned[2];		/* slots allocated to processes of holders that have ended */
byte waitHolders[2];		/* holders that have to answer before the takeover is complete */
byte waitGrantors[2];		/* grantors whose earlier tenure has to be settled */
bool alloc[2 * HOLDERS];
bool answered[2 * HOLDERS];

/* Holders. */
bool listed[HOLDERS];
bool share[HOLDERS];			/* the holder may use one slot */
bool current[HOLDERS];		/* its grant has the current serial number */
byte shareEpoch[HOLDERS];	/* epoch whose grantor counts the share and takes it back */
byte source[HOLDERS];		/* epoch of the grant that gave the share its time */
byte fence[HOLDERS];

/* Messages under way. */
bool grantSent[2 * HOLDERS];
bool grantCurrent[2 * HOLDERS];
byte grantEpoch[2 * HOLDERS];
bool answerSent[HOLDERS];
bool answerShare[HOLDERS];
byte answerEpoch[HOLDERS];
bool backSent[HOLDERS];
bool backCurrent[HOLDERS];
byte backEpoch[HOLDERS];

byte deaths = DEATHS;
byte restarts = RESTARTS;
byte i;

#ifdef NO_LEASE
#define MAY_COUNT_FREE(g) true
#else
#define MAY_COUNT_FREE(g) lease[g]
#endif

inline clearBack(h) {
	backSent[h] = false;
	backCurrent[h] = false;
	backEpoch[h] = 0
}

/* A hand-back whose grant is not current is ignored, so it is removed at once. */
inline outdateBack(h) {
#ifdef NO_SERIAL
	backCurrent[h] = false
#else
	clearBack(h)
#endif
}

/* A new serial number: whatever carries an earlier one is no longer current. */
inline newSerial(g, h) {
	if
	:: shareEpoch[h] == ep[g] -> current[h] = false
	:: else
	fi;
	if
	:: backEpoch[h] == ep[g] -> outdateBack(h)
	:: else
	fi;
	if
	:: grantEpoch[AT(g, h)] == ep[g] -> grantCurrent[AT(g, h)] = false
	:: else
	fi
}

inline sendGrant(g, h) {
	newSerial(g, h);
	grantSent[AT(g, h)] = true;
	grantCurrent[AT(g, h)] = true;
	grantEpoch[AT(g, h)] = ep[g]
}

inline clearGrant(g, h) {
	grantSent[AT(g, h)] = false;
	grantCurrent[AT(g, h)] = false;
	grantEpoch[AT(g, h)] = 0
}

inline clearShare(h) {
	share[h] = false;
	current[h] = false;
	shareEpoch[h] = 0;
	source[h] = 0
}

/* Messages to a tenure that is over would be ignored; removing them at once keeps the state space small. */
inline forgetMessages(g) {
	for (i : 0 .. LAST) {
		if
		:: backSent[i] && backEpoch[i] == ep[g] -> clearBack(i)
		:: else
		fi;
		if
		:: answerSent[i] && answerEpoch[i] == ep[g] -> clearAnswer(i)
		:: else
		fi
	}
	i = 0
}

inline clearAnswer(h) {
	answerSent[h] = false;
	answerShare[h] = false;
	answerEpoch[h] = 0
}

/* Whether the earlier tenure of grantor x is over and its grants have expired, as seen in an epoch after it. */
#define OWNED(h, x) (share[h] && ((owners >> source[h]) & 1) == x)
#define TENURE_OVER(x) (!acting[x] && !hasTable[x])
#define SERVED(h, x) (OWNED(h, x) || grantSent[AT(x, h)])
#if HOLDERS == 3
#define ALL(f, x) (f(0, x) | (f(1, x) << 1) | (f(2, x) << 2))
#define SUM(f, x) (f(0, x) + f(1, x) + f(2, x))
#else
#define ALL(f, x) (f(0, x) | (f(1, x) << 1))
#define SUM(f, x) (f(0, x) + f(1, x))
#endif
#define GRANTS_GONE(x) (SUM(SERVED, x) == 0)

/* Whether the grants of holder h have expired, but for those that the other grantor still renews in an older epoch. */
#define RENEWED_BY(o, h, e) (acting[o] && ep[o] == (e) && fence[h] <= (e))
#define HOLDER_EXPIRED(g, h) ((!share[h] || RENEWED_BY(1 - g, h, source[h])) \
	&& (!grantSent[AT(0, h)] || RENEWED_BY(1 - g, h, grantEpoch[AT(0, h)])) \
	&& (!grantSent[AT(1, h)] || RENEWED_BY(1 - g, h, grantEpoch[AT(1, h)])))

#define HAS_ALLOC(h, g) alloc[AT(g, h)]
#define HAS_ANSWERED(h, g) answered[AT(g, h)]
#define IS_LISTED(h, g) listed[h]
#define IN_USE(h, g) share[h]
#define ALLOCATED(g) ALL(HAS_ALLOC, g)
#define ANSWERED(g) ALL(HAS_ANSWERED, g)
#define COUNT(g) SUM(HAS_ALLOC, g)
#define LISTED ALL(IS_LISTED, 0)

inline grantorSteps(g) {
	if
	/* Lease: believed lost, renewed, taken. */
	:: d_step { acting[g] && lease[g] -> lease[g] = false; handed[g] = 0 }
	:: d_step { acting[g] && !lease[g] && owner == g && epoch == ep[g] -> lease[g] = true; handed[g] = 0 }
	:: d_step { !dead[g] && owner == NOBODY && epoch < EPOCHS ->
		waitHolders[g] = LISTED | (hasTable[g] * (ALLOCATED(g) | waitHolders[g]));
		waitGrantors[g] = BIT(1 - g) | (hasTable[g] * waitGrantors[g]) | ((1 - hasTable[g]) * BIT(g));
#ifdef NO_STATEMENT
		waitGrantors[g] = 0;
#endif
		forgetMessages(g);
		owner = g;
		epoch++;
		owners = owners | (g << epoch);
		ep[g] = epoch;
		acting[g] = true;
		lease[g] = true;
		hasTable[g] = true;
		complete[g] = false;
		room[g] = 0;
		handed[g] = 0;
		orphaned[g] = 0;
		for (i : 0 .. LAST) { alloc[AT(g, i)] = false; answered[AT(g, i)] = false }
		i = 0 }

	/* Takeover: the other grantor stops and states its table; a tenure without a table has to expire. */
	:: d_step { acting[g] && !dead[1 - g] && ep[1 - g] < ep[g] && (acting[1 - g] || (waitGrantors[g] & BIT(1 - g))) ->
		forgetMessages(1 - g);
		acting[1 - g] = false;
		lease[1 - g] = false;
		handed[1 - g] = 0;
		room[1 - g] = 0;
		if
#ifdef RESTART_STATES
		:: true ->
#else
		:: hasTable[1 - g] || ep[1 - g] == 0 ->
#endif
			/* Unless it has itself an earlier tenure to settle, which the statement does not cover. */
			waitGrantors[g] = (waitGrantors[g] & ~BIT(1 - g)) | (waitGrantors[1 - g] & BIT(1 - g));
			waitHolders[g] = waitHolders[g] | (hasTable[1 - g] * ((ALLOCATED(1 - g) | waitHolders[1 - g]) & ~ANSWERED(g)));
			if
			:: waitGrantors[g] & BIT(1 - g) -> hasTable[1 - g] = false
			:: else
			fi
		:: else
		fi }
	:: d_step { acting[g] && (waitGrantors[g] & BIT(1 - g)) && TENURE_OVER(1 - g) && GRANTS_GONE(1 - g) ->
		waitGrantors[g] = waitGrantors[g] & ~BIT(1 - g) }
	:: d_step { acting[g] && (waitGrantors[g] & BIT(g)) && GRANTS_GONE(g) ->
		waitGrantors[g] = waitGrantors[g] & ~BIT(g) }
	:: d_step { acting[g] && !complete[g] && waitHolders[g] == 0 && waitGrantors[g] == 0 && MAY_COUNT_FREE(g) ->
		complete[g] = true;
		room[g] = (CAPACITY > COUNT(g) + orphaned[g] -> CAPACITY - COUNT(g) - orphaned[g] : 0) }
	:: d_step { acting[g] && orphaned[g] > 0 && MAY_COUNT_FREE(g) -> orphaned[g]--; room[g]++ }

	/* Death and a new process on the same host. */
	:: d_step { !dead[g] && deaths > 0 ->
		deaths--;
		forgetMessages(g);
		dead[g] = true;
		acting[g] = false;
		lease[g] = false;
		hasTable[g] = (ep[g] == 0);
		complete[g] = false;
		room[g] = 0;
		handed[g] = 0;
		orphaned[g] = 0;
		waitHolders[g] = 0;
		waitGrantors[g] = 0;
		for (i : 0 .. LAST) { alloc[AT(g, i)] = false; answered[AT(g, i)] = false }
		i = 0 }
	:: d_step { dead[g] -> dead[g] = false }
	fi
}

inline pairSteps(g, h) {
	if
	/* The holder answers the grantor's question: it states its share and refuses older epochs. */
	:: d_step { acting[g] && !answered[AT(g, h)] && fence[h] <= ep[g] ->
#ifndef NO_FENCE
		fence[h] = ep[g];
#endif
		answerSent[h] = true;
		answerShare[h] = share[h];
		answerEpoch[h] = ep[g];
#ifndef HAND_BACK_OLD
		if
		:: share[h] -> shareEpoch[h] = ep[g]; current[h] = true
		:: else
		fi
#endif
		}
	:: d_step { answerSent[h] && acting[g] && answerEpoch[h] == ep[g] && !answered[AT(g, h)] ->
		answered[AT(g, h)] = true;
		waitHolders[g] = waitHolders[g] & ~BIT(h);
		/* A share that was stated late and finds no room has expired since; it is not renewed. */
		if
#ifdef RENEW_LATE
		:: answerShare[h] && complete[g] && room[g] == 0 -> alloc[AT(g, h)] = true
#endif
		:: answerShare[h] && !complete[g] -> alloc[AT(g, h)] = true
		:: answerShare[h] && complete[g] && room[g] > 0 -> alloc[AT(g, h)] = true; room[g]--
		:: else
		fi;
		clearAnswer(h) }
	:: d_step { acting[g] && (waitHolders[g] & BIT(h)) && !listed[h] && HOLDER_EXPIRED(g, h) ->
		waitHolders[g] = waitHolders[g] & ~BIT(h);
		if
		:: answerEpoch[h] == ep[g] -> clearAnswer(h)
		:: else
		fi }

	/* Allocation, renewal, expiry; either message may be lost while an older one is still under way. */
	:: d_step { acting[g] && answered[AT(g, h)] && !alloc[AT(g, h)] && room[g] > 0 && (MAY_COUNT_FREE(g) || handed[g] > 0) ->
		room[g]--;
		if
		:: handed[g] > 0 -> handed[g]--
		:: else
		fi;
		alloc[AT(g, h)] = true;
		sendGrant(g, h) }
	:: d_step { acting[g] && answered[AT(g, h)] && alloc[AT(g, h)] -> sendGrant(g, h) }
	:: d_step { acting[g] && answered[AT(g, h)] && alloc[AT(g, h)] && grantSent[AT(g, h)] -> newSerial(g, h) }
	:: d_step { acting[g] && alloc[AT(g, h)] && MAY_COUNT_FREE(g) ->
		if
		:: share[h] && shareEpoch[h] == ep[g] -> clearShare(h)
		:: else
		fi;
		if
		:: grantSent[AT(g, h)] && grantEpoch[AT(g, h)] == ep[g] -> clearGrant(g, h)
		:: else
		fi;
		newSerial(g, h);
		alloc[AT(g, h)] = false;
		room[g]++ }

	/* Grants arrive or get lost. */
	:: d_step { grantSent[AT(g, h)] && grantEpoch[AT(g, h)] >= fence[h] ->
		share[h] = true;
		shareEpoch[h] = grantEpoch[AT(g, h)];
		source[h] = grantEpoch[AT(g, h)];
		current[h] = grantCurrent[AT(g, h)];
		clearGrant(g, h);
		assert(SUM(IN_USE, 0) <= CAPACITY) }
	:: d_step { grantSent[AT(g, h)] -> clearGrant(g, h) }

	/* A hand-back arrives; it may arrive again. */
	:: d_step { backSent[h] && acting[g] && backEpoch[h] == ep[g] ->
		if
#ifdef NO_SERIAL
		:: alloc[AT(g, h)] ->
#else
		:: alloc[AT(g, h)] && backCurrent[h] ->
#endif
			alloc[AT(g, h)] = false;
			newSerial(g, h);
			room[g]++;
			if
			:: !lease[g] -> handed[g]++
			:: else
			fi
		:: else
		fi }
	fi
}

inline holderSteps(h) {
	if
	:: d_step { share[h] -> clearShare(h) }
	:: d_step { share[h] ->
		backSent[h] = true;
		backCurrent[h] = current[h];
		backEpoch[h] = shareEpoch[h];
		if
		:: !current[h] -> outdateBack(h)
		:: else
		fi;
		clearShare(h) }
	:: d_step { backSent[h] -> clearBack(h) }
	:: d_step { answerSent[h] -> clearAnswer(h) }
	:: d_step { listed[h] ->
		listed[h] = false;
#ifdef FORGET_ASKED
		waitHolders[0] = waitHolders[0] & ~BIT(h);
		waitHolders[1] = waitHolders[1] & ~BIT(h)
#endif
		}
	:: d_step { restarts > 0 ->
		restarts--;
		clearShare(h);
		clearAnswer(h);
		clearBack(h);
		clearGrant(0, h);
		clearGrant(1, h);
		fence[h] = 1;
#ifndef RENEW_RESTARTED
		orphaned[0] = orphaned[0] + alloc[AT(0, h)];
		orphaned[1] = orphaned[1] + alloc[AT(1, h)];
		alloc[AT(0, h)] = false;
		alloc[AT(1, h)] = false;
#ifndef ANSWER_BY_HOST
		answered[AT(0, h)] = false;
		answered[AT(1, h)] = false;
#endif
#endif
		}
	fi
}

active proctype System() {
	d_step {
		acting[0] = true;
		lease[0] = true;
		ep[0] = 1;
		hasTable[0] = true;
		hasTable[1] = true;
		complete[0] = true;
		room[0] = CAPACITY;
		for (i : 0 .. LAST) { fence[i] = 1; listed[i] = (i != LAST) }
		i = 0
	}
	do
	:: grantorSteps(0)
	:: grantorSteps(1)
	:: pairSteps(0, 0)
	:: pairSteps(0, 1)
#if HOLDERS == 3
	:: pairSteps(0, 2)
	:: pairSteps(1, 2)
	:: holderSteps(2)
#endif
	:: pairSteps(1, 0)
	:: pairSteps(1, 1)
	:: holderSteps(0)
	:: holderSteps(1)
	/* The service lets the lease lapse. */
#ifdef NO_REVALIDATION
	:: d_step { owner != NOBODY -> owner = NOBODY }
#else
	:: d_step { owner != NOBODY && !(acting[owner] && lease[owner] && ep[owner] == epoch) -> owner = NOBODY }
#endif
	od
}
