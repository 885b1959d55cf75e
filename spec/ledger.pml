/*
 * At-most-once execution of calls that share an idempotency key.
 *
 * CALLS calls claim the same key of the key-value service by compare-and-swap, each with its own identifier. The
 * response to a write may be lost; the write may then have taken effect, take effect later, or never take effect. The
 * daemon of a call may crash at any point. A claim whose call was not sent is released; it may be released also if the
 * write of the claim takes effect only later.
 *
 * Properties: at most one call runs; a call that was refused as not run did not run.
 *
 * Variants, each of which violates a property:
 *   SEND_FIRST        the call is sent before its claim is known to be held
 *   BLIND_WRITE       the claim is written whether or not the key exists
 *   LOST_IS_HELD      a lost response to a claim counts as success
 *   LOST_IS_REFUSED   a call whose outcome could not be recorded is answered as not run
 *   RERUN_OLD         a claim whose holder seems to have crashed is taken over, and its call is run
 *   RELEASE_ANY       a release deletes the key whichever call holds it
 */
#define CALLS 3
#define FREE 0

byte holder = FREE;		/* the call that holds the key, plus one; FREE if none */
bool recorded;			/* the outcome of the holder's call is recorded */
bool lateClaim[CALLS];		/* delayed writes of claims, which take effect later */
bool lateDelete[CALLS];		/* delayed deletes of claims */
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
	/* The response is lost; the write takes effect now, later, or never. */
	:: atomic { claimArrives(me); goto lost }
	:: atomic { !lateClaim[me] -> lateClaim[me] = true; goto lost }
	:: goto lost
	/* The key-value service refuses the write. */
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
	:: goto end			/* the daemon crashes */
	fi;
send:
	atomic { sendOnce() };
	if
	:: goto end			/* the daemon crashes, or no response arrives and this cannot be recorded */
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
	:: goto release			/* checks again whether a delayed claim has taken effect */
	:: goto end
	fi;
end:	skip
}

/* Delayed writes take effect. */
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
