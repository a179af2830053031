/* Generation, attempts and splice.
 *
 * Two hosts hold replicas of one answer: the entry and the keeper. Either may crash,
 * once; the caller then reconnects to a second entry with the event ID that it received
 * last (attempt and position). Both entries may run attempts at the same time, since a
 * paused entry continues later. An attempt continues the prefix that the entry which
 * opened it had accepted. A token is represented by the attempt that generated it. An
 * answer is consistent for the caller if its tokens at all positions are of one lineage:
 * the prefix and the tokens of the attempt that generated the last token.
 *
 * Mutants: NO_LINEAGE lets the second entry serve a position without a check that its
 * replica has the attempt there; LATE_TOKEN lets an entry accept tokens of an attempt
 * that it closed.
 */
#define MAX_POSITIONS 3
#define MAX_ATTEMPTS 3
#define NONE 255

/* attempt[p]: the attempt that generated the token at position p */
typedef Tokens { byte attempt[MAX_POSITIONS] };
Tokens lineage[MAX_ATTEMPTS];	/* by attempt: the prefix that it continues and its own tokens */
byte first_generated[MAX_ATTEMPTS];	/* by attempt: the first position that it generates itself */
byte generated[MAX_ATTEMPTS];	/* by attempt: positions generated so far, prefix included */
byte opened_attempts = 0;

/* replicas: 0 first entry, 1 second entry, 2 keeper */
Tokens replica[3];
byte accepted[3];	/* tokens accepted */
byte current_attempt[3];	/* the open attempt, or NONE */
bool alive[3];

/* the caller */
Tokens received;
byte received_count = 0;
byte last_attempt = NONE;
byte served_by = 0;
bool mixed_lineages = false;

inline open_attempt(h) {
	if
	:: opened_attempts < MAX_ATTEMPTS ->
		i = 0;
		do
		:: i < accepted[h] -> lineage[opened_attempts].attempt[i] = replica[h].attempt[i]; i++
		:: else -> break
		od;
		first_generated[opened_attempts] = accepted[h];
		generated[opened_attempts] = accepted[h];
		current_attempt[h] = opened_attempts;
		opened_attempts++
	:: else -> skip
	fi
}

/* an entry runs attempts; its splice is the only place that accepts tokens */
proctype Entry(byte h) {
	byte i; byte a; byte p;
	do
	:: atomic { alive[h] && current_attempt[h] == NONE && accepted[h] < MAX_POSITIONS && opened_attempts < MAX_ATTEMPTS -> open_attempt(h) }
	/* the engine generates one token of the open attempt */
	:: atomic { alive[h] && current_attempt[h] != NONE && generated[current_attempt[h]] < MAX_POSITIONS ->
		a = current_attempt[h]; lineage[a].attempt[generated[a]] = a; generated[a]++ }
	/* the splice accepts the next position of the open attempt */
	:: atomic { alive[h] && current_attempt[h] != NONE && generated[current_attempt[h]] > accepted[h] ->
		a = current_attempt[h]; p = accepted[h]; replica[h].attempt[p] = lineage[a].attempt[p]; accepted[h]++ }
#ifdef LATE_TOKEN
	/* mutant: a token of attempt 0 is accepted although a later attempt was opened */
	:: atomic { alive[h] && opened_attempts > 1 && accepted[h] < MAX_POSITIONS && generated[0] > accepted[h] ->
		p = accepted[h]; replica[h].attempt[p] = lineage[0].attempt[p]; accepted[h]++ }
#endif
	/* the attempt is lost, or is closed by a false detection of a loss */
	:: atomic { alive[h] && current_attempt[h] != NONE && opened_attempts < MAX_ATTEMPTS -> current_attempt[h] = NONE }
	/* the keeper's replica follows the attempt that it runs */
	:: atomic { alive[h] && alive[2] && accepted[2] < accepted[h] && current_attempt[h] != NONE ->
		i = 0;
		do
		:: i < accepted[h] -> replica[2].attempt[i] = replica[h].attempt[i]; i++
		:: else -> break
		od;
		accepted[2] = accepted[h]; current_attempt[2] = current_attempt[h] }
	:: !alive[h] -> break
	:: accepted[h] == MAX_POSITIONS -> break
	od
}

/* the second entry adopts the keeper's replica in its present state */
proctype Adoption() {
	byte i;
	atomic { alive[2] && accepted[2] > 0 ->
		i = 0;
		do
		:: i < accepted[2] -> replica[1].attempt[i] = replica[2].attempt[i]; i++
		:: else -> break
		od;
		accepted[1] = accepted[2];
		current_attempt[1] = current_attempt[2];
		alive[1] = true };
	run Entry(1)
}

/* the caller reads from one entry at a time and reconnects with its last token */
proctype Caller() {
	byte i;
	do
	:: atomic { alive[served_by] && accepted[served_by] > received_count ->
		received.attempt[received_count] = replica[served_by].attempt[received_count];
		last_attempt = received.attempt[received_count];
		received_count++ }
	/* reconnect to the other entry with (last_attempt, received_count) */
	:: atomic { served_by == 0 && alive[1] && accepted[1] >= received_count ->
		if
#ifdef NO_LINEAGE
		:: true -> served_by = 1
#else
		:: received_count == 0 || replica[1].attempt[received_count - 1] == last_attempt -> served_by = 1
		:: else -> break	/* refused as wrong_generation */
#endif
		fi }
	:: received_count == MAX_POSITIONS -> break
	:: timeout -> break
	od;
	/* all tokens received are of one lineage */
	atomic {
		if
		:: received_count > 0 ->
			i = 0;
			do
			:: i < received_count ->
				if
				:: received.attempt[i] != lineage[last_attempt].attempt[i] -> mixed_lineages = true
				:: else -> skip
				fi;
				i++
			:: else -> break
			od
		:: else -> skip
		fi;
		assert(!mixed_lineages)
	}
}

proctype Crash() {
	if
	:: atomic { alive[0] = false; current_attempt[0] = NONE }
	:: alive[2] = false
	:: atomic { alive[0] = false; current_attempt[0] = NONE }; alive[2] = false
	:: skip
	fi
}

init {
	atomic {
		alive[0] = true; alive[2] = true;
		current_attempt[0] = NONE; current_attempt[1] = NONE; current_attempt[2] = NONE;
		run Entry(0); run Adoption(); run Caller(); run Crash()
	}
}
