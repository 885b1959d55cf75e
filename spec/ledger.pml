/*
 * At most one run of calls that share an idempotency key.
 *
 * CALLS calls claim one key of the key-value service by compare-and-swap, each with an identifier of its own. The answer
 * to a write may get lost; the write may then have taken effect, take effect later, or never. A call's daemon may die at
 * any point. A claim whose call was not sent is released; it may be released also if its write lands later.
 *
 * Properties: at most one call runs; a call that was refused as not run did not run.
 *
 * Variants, each of which breaks them:
 *   SEND_FIRST        the call is sent before its claim is known to stand
 *   BLIND_WRITE       the claim is written whether or not the key exists
 *   LOST_IS_HELD      a lost answer to a claim counts as success
 *   LOST_IS_REFUSED   a call whose record got lost is answered as not run
 *   RERUN_OLD         a claim whose holder seems dead is taken over and run
 *   RELEASE_ANY       a release deletes the key whoever holds it
 */
#define CALLS 3
#define FREE 0

byte holder = FREE;		/* call that holds the key, plus one */
bool recorded;			/* the holder's entry is recorded */
bool lateClaim[CALLS];		/* a claim that will still arrive */
bool lateDelete[CALLS];
byte runs;
bool ran[CALLS];
bool refused[CALLS];

#define OWN (me + 1)

inline claimArrives(c) {
	if
#ifdef BLIND_WRITE
	:: true -> holder = c + 1; recorded = false
#else
	:: holder == FREE -> holder = c + 1; recorded = false
#endif
	:: else
	fi
}

inline deleteArrives(c) {
	if
#ifdef RELEASE_ANY
	:: holder != FREE -> holder = FREE; recorded = false
#else
	:: holder == c + 1 && !recorded -> holder = FREE
#endif
	:: else
	fi
}

inline sendOnce() {
	runs++;
	ran[me] = true;
	assert(runs <= 1);
	assert(!refused[me])
}

proctype Call(byte me) {
	byte tries = 0;
#ifdef SEND_FIRST
	goto send;
#endif
claim:
	if
	:: atomic { holder != FREE && holder != OWN -> goto taken }
	:: atomic { holder == FREE || holder == OWN -> claimArrives(me); goto held }
	/* The answer is lost, and the write takes effect now, later, or never. */
	:: atomic { claimArrives(me); goto lost }
	:: atomic { !lateClaim[me] -> lateClaim[me] = true; goto lost }
	:: goto lost
	/* The service refuses the write. */
	:: goto giveUp
	fi;
lost:
#ifdef LOST_IS_HELD
	goto held;
#endif
	if
	:: atomic { holder == OWN -> goto held }
	:: atomic { holder != FREE && holder != OWN -> goto taken }
	:: atomic { holder == FREE && tries < 2 -> tries++; goto claim }
	:: goto giveUp
	fi;
taken:
#ifdef RERUN_OLD
	if
	:: atomic { holder != FREE && !recorded -> holder = OWN; goto held }
	:: goto end
	fi;
#endif
	goto end;
held:
	if
	:: goto send
	:: goto giveUp
	:: goto end			/* the daemon dies */
	fi;
send:
	atomic { sendOnce() };
	if
	:: goto end			/* the daemon dies, or no answer comes and this cannot be recorded */
	:: atomic {
		if
		:: holder == OWN -> recorded = true
		:: else
		fi;
		goto end }
#ifdef LOST_IS_REFUSED
	:: goto giveUp
#endif
	fi;
giveUp:
	atomic { refused[me] = true; assert(!ran[me]) };
release:
	if
	:: atomic { deleteArrives(me) }
	:: lateDelete[me] = true
	:: goto end
	fi;
	if
	:: goto release			/* looks again whether a late claim has landed */
	:: goto end
	fi;
end:	skip
}

/* Writes that were under way arrive. */
active proctype Network() {
	byte c;
	do
	:: d_step { lateClaim[0] -> lateClaim[0] = false; claimArrives(0) }
	:: d_step { lateClaim[1] -> lateClaim[1] = false; claimArrives(1) }
	:: d_step { lateClaim[2] -> lateClaim[2] = false; claimArrives(2) }
	:: d_step { lateDelete[0] -> lateDelete[0] = false; deleteArrives(0) }
	:: d_step { lateDelete[1] -> lateDelete[1] = false; deleteArrives(1) }
	:: d_step { lateDelete[2] -> lateDelete[2] = false; deleteArrives(2) }
	od
}

init {
	atomic { run Call(0); run Call(1); run Call(2) }
}
