/* Manifest, spread and fencing.
 *
 * Two operators each change the manifest once with compare-and-swap; the answer
 * of a write may be lost, and is settled by reading back. Two routers take the
 * manifest from the store or from each other, in any order, and one may hold an
 * old copy that arrives late. An engine that ignores fencing gets orders from
 * both routers; each order states the wanted end state, and is asserted again.
 *
 * Mutants: NO_CAS writes without comparing; TAKE_ANY lets a router take a lower
 * revision from its peer; NO_ASSERT sends an order once and never again.
 */
byte store_rev = 1;
byte store_by = 0;
byte claimed[5];	/* claimed[rev]: operators told that they wrote it */
bool told[3];	/* operator was told that its change took effect */

byte force[3];	/* revision in force on a router */
byte order = 0;	/* revision of the last order that the engine took */
bool fell = false;
byte operators_done = 0;

proctype Operator(byte o) {
	byte seen; bool lost = false;
	atomic { seen = store_rev };
	atomic {
#ifdef NO_CAS
		store_rev = seen + 1; store_by = o;
		told[o] = true; claimed[store_rev]++
#else
		if
		:: store_rev == seen ->
			store_rev++; store_by = o; claimed[store_rev]++;
			if
			:: told[o] = true
			:: lost = true	/* the answer is lost; read back below */
			fi
		:: else -> skip	/* the loser is told who won */
		fi
#endif
	};
	if
	:: lost -> told[o] = true	/* the attempt is in the manifest's history */
	:: else -> skip
	fi;
	operators_done++
}

proctype Router(byte r) {
	byte offer; byte other;
	other = 3 - r;
	end: do
	:: atomic { store_rev > force[r] -> offer = store_rev }
	:: atomic { force[other] != force[r] -> offer = force[other] }
	/* the offer may be old by the time it is taken */
	:: atomic { offer != 0 ->
#ifdef TAKE_ANY
		if
		:: offer < force[r] -> fell = true
		:: else -> skip
		fi;
		force[r] = offer;
#else
		if
		:: offer > force[r] -> force[r] = offer
		:: else -> skip
		fi;
#endif
		offer = 0; assert(!fell) }
#ifdef NO_ASSERT
	:: atomic { force[r] > 0 && order == 0 -> order = force[r] }
#else
	:: atomic { force[r] > 0 && order != force[r] -> order = force[r] }
#endif
	od
}

/* a revision has one writer */
proctype Monitor() {
	end: do
	:: atomic { claimed[2] > 1 || claimed[3] > 1 -> assert(false) }
	od
}

init {
	atomic { run Operator(1); run Operator(2); run Router(1); run Router(2); run Monitor() }
}

/* with both operators done and both routers at the newest revision, the engine
 * is brought to it */
ltl settles { [] ((operators_done == 2 && force[1] == store_rev && force[2] == store_rev) -> <> (order == store_rev)) }
