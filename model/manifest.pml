/* Manifest, dissemination and fencing.
 *
 * Two operators each change the manifest once with compare-and-swap. The answer to a
 * write may be lost; its outcome is then resolved by reading the manifest back. Two
 * routers receive the manifest from the store or from each other, in any order, and an
 * old revision may arrive late. An engine that ignores fencing receives orders from both
 * routers; each order states the desired end state, and is sent again while the engine
 * differs.
 *
 * Mutants: NO_CAS writes without comparing; TAKE_ANY lets a router apply a lower revision
 * from its peer; NO_ASSERT sends an order once and never again.
 */
byte store_revision = 1;
byte store_writer = 0;	/* operator that wrote store_revision */
byte writers[5];	/* by revision: operators whose write of it took effect */
bool confirmed[3];	/* by operator: told that its change took effect */

byte applied[3];	/* by router: the revision in force */
byte engine_order = 0;	/* revision of the last order that the engine carried out */
bool went_back = false;
byte operators_done = 0;

proctype Operator(byte o) {
	byte read_revision; bool answer_lost = false;
	atomic { read_revision = store_revision };
	atomic {
#ifdef NO_CAS
		store_revision = read_revision + 1; store_writer = o;
		confirmed[o] = true; writers[store_revision]++
#else
		if
		:: store_revision == read_revision ->
			store_revision++; store_writer = o; writers[store_revision]++;
			if
			:: confirmed[o] = true
			:: answer_lost = true	/* the answer is lost; the manifest is read back below */
			fi
		:: else -> skip	/* the operator is told which change came first */
		fi
#endif
	};
	if
	:: answer_lost -> confirmed[o] = true	/* the attempt is in the manifest's history */
	:: else -> skip
	fi;
	operators_done++
}

proctype Router(byte r) {
	byte offered; byte other;
	other = 3 - r;
	end: do
	:: atomic { store_revision > applied[r] -> offered = store_revision }
	:: atomic { applied[other] != applied[r] -> offered = applied[other] }
	/* the offered revision may be old by the time it is applied */
	:: atomic { offered != 0 ->
#ifdef TAKE_ANY
		if
		:: offered < applied[r] -> went_back = true
		:: else -> skip
		fi;
		applied[r] = offered;
#else
		if
		:: offered > applied[r] -> applied[r] = offered
		:: else -> skip
		fi;
#endif
		offered = 0; assert(!went_back) }
#ifdef NO_ASSERT
	:: atomic { applied[r] > 0 && engine_order == 0 -> engine_order = applied[r] }
#else
	:: atomic { applied[r] > 0 && engine_order != applied[r] -> engine_order = applied[r] }
#endif
	od
}

/* no revision has two writers */
proctype Monitor() {
	end: do
	:: atomic { writers[2] > 1 || writers[3] > 1 -> assert(false) }
	od
}

init {
	atomic { run Operator(1); run Operator(2); run Router(1); run Router(2); run Monitor() }
}

/* once both operators are done and both routers are at the newest revision, the engine
 * reaches it */
ltl settles { [] ((operators_done == 2 && applied[1] == store_revision && applied[2] == store_revision) -> <> (engine_order == store_revision)) }
