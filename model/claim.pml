/* Claim and consent.
 *
 * Two routers get the same key. A claim is created with compare-and-swap before
 * the first byte; its answer may be lost after the write took effect, and the
 * write may also arrive late. A router may pause at any moment: a process that
 * is not scheduled is paused, so no clock can be trusted. The holder's consent
 * and its dispatch exclude each other in its memory. A router may die, which
 * loses its memory.
 *
 * Mutants: TIMEOUT takes a claim over because the holder does not answer;
 * NO_BOOK gives consent without looking whether the call was dispatched;
 * BLIND_RETRY dispatches after a lost answer without reading the claim back.
 */
#define FREE 0
#define HELD 1
#define RELEASED 2
#define DONE 3

byte state = FREE;	/* of the claim in the store */
byte holder = 0;	/* 1 or 2 */
byte revision = 0;

bool dispatched[3];	/* in the router's memory: may be sent */
bool abandoned[3];
bool alive[3];
byte runs = 0;	/* at the service */
byte said_not_run[3];
bool late[3];	/* a write that is still on its way */
byte late_revision[3];

inline cas(r, expected, ok) {
	if
	:: revision == expected -> holder = r; state = HELD; revision++; ok = true
	:: else -> ok = false
	fi
}

proctype Router(byte r) {
	byte seen; bool ok; byte other; byte tries = 0;
	other = 3 - r;
again:
	skip;
	if
	:: tries >= 2 -> goto notrun
	:: else -> tries++
	fi;
	atomic { seen = revision;
		if
		:: state == FREE || state == RELEASED -> skip
		:: state == DONE -> goto end
		:: state == HELD && holder == r -> goto send
		:: else -> goto ask
		fi };
	if
	:: atomic { true -> cas(r, seen, ok);	/* answered */
		if
		:: ok -> goto send
		:: else -> goto again
		fi }
	:: atomic { true -> cas(r, seen, ok) }	/* took effect, answer lost */
#ifdef BLIND_RETRY
		; goto send
#else
		; goto again
#endif
	:: atomic { late[r] = true; late_revision[r] = seen }; goto again
	:: goto notrun	/* the store is out */
	fi;
ask:
	skip;
	/* ask the other router to give its attempt up */
	if
	:: atomic { alive[other] ->
		if
#ifdef NO_BOOK
		:: true ->
#else
		:: !dispatched[other] ->
#endif
			abandoned[other] = true;
			/* write over the claim with compare-and-swap */
			if
			:: revision == seen -> state = RELEASED; revision++
			:: else -> skip
			fi
#ifndef NO_BOOK
		:: dispatched[other] -> goto unknown
#endif
		fi }
	:: atomic { !alive[other] -> goto unknown }
#ifdef TIMEOUT
	:: atomic { state = RELEASED; revision++ }
#endif
	fi;
	goto again;
send:
	skip;
	atomic {
		if
		:: abandoned[r] -> goto notrun
		:: else -> dispatched[r] = true
		fi };
	/* the router may pause here for any time */
	atomic { alive[r] -> runs++ };
	if
	:: atomic { state = DONE; revision++ }
	:: skip	/* the outcome could not be recorded */
	fi;
	goto end;
notrun:
	skip;
	atomic {
		if
		:: !dispatched[r] -> abandoned[r] = true; said_not_run[r] = 1
		:: else -> skip
		fi };
	goto end;
unknown:
	skip;
end:
	skip
}

/* a delayed write arrives */
proctype Network() {
	bool ok;
	end: do
	:: atomic { late[1] -> cas(1, late_revision[1], ok); late[1] = false }
	:: atomic { late[2] -> cas(2, late_revision[2], ok); late[2] = false }
	od
}

proctype Death() {
	if
	:: alive[1] = false
	:: skip
	fi
}

proctype Monitor() {
	end: do
	:: atomic { runs > 1 -> assert(false) }
	:: atomic { said_not_run[1] == 1 && dispatched[1] -> assert(false) }
	:: atomic { said_not_run[2] == 1 && dispatched[2] -> assert(false) }
	od
}

init {
	atomic {
		alive[1] = true; alive[2] = true;
		run Router(1); run Router(2); run Network(); run Death(); run Monitor()
	}
}
