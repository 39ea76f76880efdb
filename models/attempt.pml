/*
 * One request: up to two attempts, each at its own agent; starts and cancels may be delayed, lost, repeated and
 * crossed; an agent may restart once; the entry may die.
 *
 * Seeded faults, each of which must be caught:
 *   NO_TOMBSTONE   a cancel of an unknown attempt leaves no mark
 *   NO_BOOT_CHECK  an agent takes a start that is addressed to its earlier boot
 *   GUESSED        silence of an agent counts as "not run"
 *   NO_REPEAT_CHECK an agent starts a repeated start again
 *   NO_EXPIRY      an agent keeps the work of an entry that died
 *   ANSWER_AGAIN   the entry answers the caller for each result that arrives
 */
#define AGENTS 2
#define BOOTS 2
#define SLOT(a, b) ((a) * BOOTS + (b))

mtype = { UNKNOWN, QUEUED, RUNNING, FINISHED, BURIED, NONE, NOT_RUN, MAY_HAVE_RUN, RAN };

/* Messages under way; a slot keeps its message until it is consumed or lost. */
bool starting[4];
bool cancelling[4];
mtype verdict[4] = NONE;
bool resulting[4];

/* Agents. */
byte boot[AGENTS];
mtype state[AGENTS] = UNKNOWN;
bool held[AGENTS];
bool expired[AGENTS];
bool declared[AGENTS];

/* Totals of the observer. */
byte starts;
byte answers;
byte startsOf[AGENTS];
bool entryGone;
bool confirmed[AGENTS];

#define property_single_start      (starts <= 1 && startsOf[0] <= 1 && startsOf[1] <= 1)
#define property_true_not_run(a)   (!declared[a] || startsOf[a] == 0)
#define property_single_answer     (answers <= 1)
#define property_memory(a)         (!(expired[a] || confirmed[a]) || !held[a])

#if defined(P_STARTS)
#define CHECK assert(property_single_start)
#elif defined(P_NOT_RUN)
#define CHECK assert(property_true_not_run(0) && property_true_not_run(1))
#elif defined(P_ANSWERS)
#define CHECK assert(property_single_answer)
#else
#define CHECK assert(property_memory(0) && property_memory(1))
#endif

inline take_start (a, b) {
  if
  :: starting[SLOT(a, b)] = false
  :: skip                                   /* the message is repeated */
  fi;
  if
#ifndef NO_BOOT_CHECK
  :: b != boot[a] -> skip
#endif
  :: else ->
     if
     :: expired[a] -> skip
#ifdef NO_REPEAT_CHECK
     :: !expired[a] && state[a] != BURIED -> state[a] = QUEUED; held[a] = true
#else
     :: !expired[a] && state[a] == UNKNOWN -> state[a] = QUEUED; held[a] = true
#endif
     :: else -> skip
     fi
  fi
}

inline take_cancel (a, b) {
  if
  :: cancelling[SLOT(a, b)] = false
  :: skip
  fi;
  if
  :: b != boot[a] -> verdict[SLOT(a, b)] = MAY_HAVE_RUN
  :: b == boot[a] && state[a] == UNKNOWN ->
#ifndef NO_TOMBSTONE
     state[a] = BURIED;
#endif
     verdict[SLOT(a, b)] = NOT_RUN; declared[a] = true
  :: b == boot[a] && state[a] == QUEUED ->
     state[a] = BURIED; held[a] = false;
     verdict[SLOT(a, b)] = NOT_RUN; declared[a] = true
  :: b == boot[a] && state[a] == RUNNING ->
     state[a] = FINISHED; held[a] = false; verdict[SLOT(a, b)] = RAN
  :: b == boot[a] && state[a] == FINISHED -> verdict[SLOT(a, b)] = RAN
  :: b == boot[a] && state[a] == BURIED -> verdict[SLOT(a, b)] = NOT_RUN
  fi
}

proctype agent (byte a) {
  byte b;
end:
  do
  :: atomic { starting[SLOT(a, 0)] -> take_start(a, 0); CHECK }
  :: atomic { starting[SLOT(a, 1)] -> take_start(a, 1); CHECK }
  :: atomic { cancelling[SLOT(a, 0)] -> take_cancel(a, 0); CHECK }
  :: atomic { cancelling[SLOT(a, 1)] -> take_cancel(a, 1); CHECK }
  :: atomic { state[a] == QUEUED && startsOf[a] < 3 ->
       state[a] = RUNNING; starts++; startsOf[a]++; CHECK }
  :: atomic { state[a] == RUNNING ->
       state[a] = FINISHED; held[a] = false; resulting[SLOT(a, boot[a])] = true; CHECK }
  :: atomic { boot[a] == 0 -> boot[a] = 1; state[a] = UNKNOWN; held[a] = false; expired[a] = entryGone; CHECK }
  :: atomic { entryGone && !expired[a] ->
       expired[a] = true;
#ifndef NO_EXPIRY
       if
       :: state[a] == QUEUED || state[a] == RUNNING -> state[a] = BURIED; held[a] = false
       :: else -> skip
       fi;
#endif
       CHECK }
  od
}

/* Loses any message under way. */
proctype network () {
  byte s;
end:
  do
  :: atomic { starting[s] -> starting[s] = false }
  :: atomic { cancelling[s] -> cancelling[s] = false }
  :: atomic { verdict[s] != NONE -> verdict[s] = NONE }
  :: atomic { resulting[s] -> resulting[s] = false }
  :: atomic { s < 3 -> s++ }
  :: atomic { s == 3 -> s = 0 }
  od
}

inline answer_caller () {
#ifdef ANSWER_AGAIN
  answers++;
#else
  if
  :: !answered -> answered = true; answers++
  :: else -> skip
  fi;
#endif
  CHECK
}

proctype entry () {
  byte a;
  byte b;
  bool answered;
  bool given_up;

attempt:
  atomic { b = boot[a]; given_up = false; starting[SLOT(a, b)] = true };
  do
  :: atomic { resulting[SLOT(a, b)] -> resulting[SLOT(a, b)] = false; answer_caller() }
  :: atomic { !answered -> given_up = true; cancelling[SLOT(a, b)] = true }
  :: atomic { given_up && !cancelling[SLOT(a, b)] && verdict[SLOT(a, b)] == NONE -> cancelling[SLOT(a, b)] = true }
  :: atomic { verdict[SLOT(a, b)] == NOT_RUN ->
       verdict[SLOT(a, b)] = NONE; confirmed[a] = true; CHECK;
       if
       :: a == 0 && !answered -> a = 1; goto attempt
       :: else -> answer_caller(); goto finished
       fi }
  :: atomic { verdict[SLOT(a, b)] == MAY_HAVE_RUN || verdict[SLOT(a, b)] == RAN ->
       if
       :: verdict[SLOT(a, b)] == RAN -> confirmed[a] = true
       :: else -> skip
       fi;
       verdict[SLOT(a, b)] = NONE; answer_caller(); goto finished }
#ifdef GUESSED
  :: atomic { given_up && a == 0 && !answered -> a = 1; goto attempt }
#endif
  :: atomic { entryGone = true; goto finished }
  :: atomic { answered -> goto finished }
  od;
finished:
  /* Results that arrive late find the request answered. */
end:
  do
  :: atomic { resulting[SLOT(a, b)] && !entryGone -> resulting[SLOT(a, b)] = false; answer_caller() }
  od
}

init {
  atomic { run agent(0); run agent(1); run network(); run entry() }
}
