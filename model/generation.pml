/* Generation, attempts and splice.
 *
 * Two hosts hold copies of one answer: the entry and the keeper. Either may die,
 * once; a caller reconnects to a second entry with the event id that it got
 * last (attempt and position). Both entries may drive attempts at the same time,
 * since a paused one comes back. An attempt continues the prefix that its opener
 * had accepted. Tokens of attempt a at position p are written as a; an answer is
 * whole for the caller if its tokens at each position are those of one lineage:
 * the prefix of the attempt that gave the last token.
 *
 * Mutants: NO_LINEAGE lets the second entry serve a position without checking
 * that its copy holds the attempt there; LATE_TOKEN lets an entry accept tokens
 * of an attempt that it closed.
 */
#define MAXPOS 3
#define ATTEMPTS 3
#define NONE 255

/* prefix[a].t[p]: the attempt that gave position p in the prefix a continues */
typedef Line { byte t[MAXPOS] };
Line line_of[ATTEMPTS];	/* what attempt a will have at each position */
byte start_of[ATTEMPTS];	/* first position that a generates itself */
byte sent_of[ATTEMPTS];	/* positions generated so far, prefix included */
byte opened = 0;	/* attempts opened so far */

/* copies: 0 first entry, 1 second entry, 2 keeper */
Line copy[3];
byte count[3];
byte current[3];	/* open attempt, or NONE */
bool alive[3];

/* the caller */
Line got;
byte ngot = 0;
byte last_attempt = NONE;
byte served_by = 0;
bool mixed = false;

inline open_attempt(h) {
	if
	:: opened < ATTEMPTS ->
		i = 0;
		do
		:: i < count[h] -> line_of[opened].t[i] = copy[h].t[i]; i++
		:: else -> break
		od;
		start_of[opened] = count[h];
		sent_of[opened] = count[h];
		current[h] = opened;
		opened++
	:: else -> skip
	fi
}

/* an entry drives attempts and accepts tokens at one place */
proctype Entry(byte h) {
	byte i; byte a; byte p;
	do
	:: atomic { alive[h] && current[h] == NONE && count[h] < MAXPOS && opened < ATTEMPTS -> open_attempt(h) }
	/* the engine generates one token of the open attempt */
	:: atomic { alive[h] && current[h] != NONE && sent_of[current[h]] < MAXPOS ->
		a = current[h]; line_of[a].t[sent_of[a]] = a; sent_of[a]++ }
	/* the splice accepts position count+1 of the open attempt */
	:: atomic { alive[h] && current[h] != NONE && sent_of[current[h]] > count[h] ->
		a = current[h]; p = count[h]; copy[h].t[p] = line_of[a].t[p]; count[h]++ }
#ifdef LATE_TOKEN
	/* mutant: any opened attempt's token is accepted at its position */
	:: atomic { alive[h] && opened > 1 && count[h] < MAXPOS && sent_of[0] > count[h] ->
		p = count[h]; copy[h].t[p] = line_of[0].t[p]; count[h]++ }
#endif
	/* the attempt is lost, or a false alarm closes it */
	:: atomic { alive[h] && current[h] != NONE && opened < ATTEMPTS -> current[h] = NONE }
	/* the keeper's copy follows the attempt it runs */
	:: atomic { alive[h] && alive[2] && count[2] < count[h] && current[h] != NONE ->
		i = 0;
		do
		:: i < count[h] -> copy[2].t[i] = copy[h].t[i]; i++
		:: else -> break
		od;
		count[2] = count[h]; current[2] = current[h] }
	:: !alive[h] -> break
	:: count[h] == MAXPOS -> break
	od
}

/* the second entry takes the keeper's copy over, as it is then */
proctype Takeover() {
	byte i;
	atomic { alive[2] && count[2] > 0 ->
		i = 0;
		do
		:: i < count[2] -> copy[1].t[i] = copy[2].t[i]; i++
		:: else -> break
		od;
		count[1] = count[2];
		current[1] = current[2];
		alive[1] = true };
	run Entry(1)
}

/* the caller reads from one entry at a time; a switch names its last token */
proctype Caller() {
	byte i;
	do
	:: atomic { alive[served_by] && count[served_by] > ngot ->
		got.t[ngot] = copy[served_by].t[ngot];
		last_attempt = got.t[ngot];
		ngot++ }
	/* reconnect to the other entry with (last_attempt, ngot) */
	:: atomic { served_by == 0 && alive[1] && count[1] >= ngot ->
		if
#ifdef NO_LINEAGE
		:: true -> served_by = 1
#else
		:: ngot == 0 || copy[1].t[ngot - 1] == last_attempt -> served_by = 1
		:: else -> break	/* wrong generation: a clear refusal */
#endif
		fi }
	:: ngot == MAXPOS -> break
	:: timeout -> break
	od;
	/* the answer is one lineage */
	atomic {
		if
		:: ngot > 0 ->
			i = 0;
			do
			:: i < ngot ->
				if
				:: got.t[i] != line_of[last_attempt].t[i] -> mixed = true
				:: else -> skip
				fi;
				i++
			:: else -> break
			od
		:: else -> skip
		fi;
		assert(!mixed)
	}
}

proctype Death() {
	if
	:: atomic { alive[0] = false; current[0] = NONE }
	:: alive[2] = false
	:: atomic { alive[0] = false; current[0] = NONE }; alive[2] = false
	:: skip
	fi
}

init {
	atomic {
		alive[0] = true; alive[2] = true;
		current[0] = NONE; current[1] = NONE; current[2] = NONE;
		run Entry(0); run Takeover(); run Caller(); run Death()
	}
}
