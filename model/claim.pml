/* Claim and consent.
 *
 * Two routers receive calls with the same idempotency key. A claim is created by a
 * compare-and-swap before the first byte is sent to the service. The answer to that write
 * may be lost after the write took effect, and the write may also arrive late. A router
 * may pause at any moment: a process that is not scheduled is paused, so no clock can be
 * trusted. In the holder's memory, consent and dispatch exclude each other. A router may
 * crash, which loses its memory. The store may be restored from a copy: the claim is then
 * what it was, its revisions are given out again, and each later answer shows that the
 * store was restored.
 *
 * Mutants: TIMEOUT releases a claim because the holder does not answer; NO_BOOK gives
 * consent without checking in the attempt table whether the call was dispatched;
 * BLIND_RETRY dispatches after a lost answer without reading the claim back; NO_ERA trusts
 * a claim, or its absence, in a store that may have lost another one.
 */
#define FREE 0
#define HELD 1
#define RELEASED 2
#define DONE 3

byte state = FREE;	/* of the claim in the store */
byte holder = 0;	/* 1 or 2 */
byte revision = 0;
bool restored = false;	/* the store was restored since the key was made */

bool dispatched[3];	/* by router, in its memory: the call may have been sent */
bool abandoned[3];	/* by router, in its memory: it will not send the call */
bool alive[3];
byte executions = 0;	/* of the call at the service */
byte reported_not_run[3];	/* by router: its caller was told that the call was not run */
bool write_delayed[3];	/* by router: its write of the claim has not arrived yet */
byte delayed_revision[3];	/* the revision that the delayed write expects */

inline cas(r, expected, ok) {
	if
	:: revision == expected -> holder = r; state = HELD; revision++; ok = true
	:: else -> ok = false
	fi
}

/* an answer names the era of the store */
inline observe() {
#ifdef NO_ERA
	skip
#else
	may_be_lost = restored
#endif
}

proctype Router(byte r) {
	byte read_revision; bool ok; byte other; byte tries = 0; bool may_be_lost = false;
	other = 3 - r;
read_claim:
	skip;
	if
	:: tries >= 2 -> goto not_run
	:: else -> tries++
	fi;
	atomic { read_revision = revision; observe();
		if
		:: state == FREE || state == RELEASED ->
			if
			:: may_be_lost -> goto outcome_unknown
			:: else -> skip
			fi
		:: state == DONE -> goto end
		:: state == HELD && holder == r -> goto dispatch
		:: else -> goto ask_consent
		fi };
	if
	:: atomic { true -> cas(r, read_revision, ok); observe();	/* the answer arrives */
		if
		:: ok -> goto dispatch
		:: else -> goto read_claim
		fi }
	:: atomic { true -> cas(r, read_revision, ok) }	/* the write takes effect, but its answer is lost */
#ifdef BLIND_RETRY
		; goto dispatch
#else
		; goto read_claim
#endif
	:: atomic { write_delayed[r] = true; delayed_revision[r] = read_revision }; goto read_claim
	:: goto not_run	/* the store does not answer */
	fi;
ask_consent:
	skip;
	/* ask the other router to abandon its attempt */
	if
	:: atomic { alive[other] ->
		if
#ifdef NO_BOOK
		:: true ->
#else
		:: !dispatched[other] ->
#endif
			abandoned[other] = true;
			/* release the claim with compare-and-swap */
			if
			:: revision == read_revision -> state = RELEASED; revision++
			:: else -> skip
			fi
#ifndef NO_BOOK
		:: dispatched[other] -> goto outcome_unknown
#endif
		fi }
	:: atomic { !alive[other] -> goto outcome_unknown }
#ifdef TIMEOUT
	:: atomic { state = RELEASED; revision++ }
#endif
	fi;
	goto read_claim;
dispatch:
	skip;
	atomic {
		if
		:: abandoned[r] -> goto not_run
		:: !abandoned[r] && may_be_lost -> goto outcome_unknown
		:: else -> dispatched[r] = true
		fi };
	/* the router may pause here for any length of time */
	atomic { alive[r] -> executions++ };
	if
	:: atomic { state = DONE; revision++ }
	:: skip	/* the outcome could not be recorded */
	fi;
	goto end;
not_run:
	skip;
	atomic {
		if
		:: !dispatched[r] -> abandoned[r] = true; reported_not_run[r] = 1
		:: else -> skip
		fi };
	goto end;
outcome_unknown:
	skip;
end:
	skip
}

/* a delayed write arrives */
proctype Network() {
	bool ok;
	end: do
	:: atomic { write_delayed[1] -> cas(1, delayed_revision[1], ok); write_delayed[1] = false }
	:: atomic { write_delayed[2] -> cas(2, delayed_revision[2], ok); write_delayed[2] = false }
	od
}

/* the store comes back from a copy, perhaps twice */
proctype Restore() {
	byte copied_state; byte copied_holder; byte copied_revision; byte i;
	atomic { copied_state = state; copied_holder = holder; copied_revision = revision };
	for (i : 1 .. 2) {
		if
		:: atomic { state = copied_state; holder = copied_holder; revision = copied_revision; restored = true }
		:: skip
		fi
	}
}

proctype Crash() {
	if
	:: alive[1] = false
	:: skip
	fi
}

proctype Monitor() {
	end: do
	:: atomic { executions > 1 -> assert(false) }
	:: atomic { reported_not_run[1] == 1 && dispatched[1] -> assert(false) }
	:: atomic { reported_not_run[2] == 1 && dispatched[2] -> assert(false) }
	od
}

init {
	atomic {
		alive[1] = true; alive[2] = true;
		run Router(1); run Router(2); run Network(); run Crash(); run Restore(); run Monitor()
	}
}
