/*
 * The right to decide the charges of one shard: a lease in the store, promises of the successors while the
 * store is away, take-over, lost answers, restarts, pauses.
 *
 * Time is counted by timers that one clock step decreases; every process may pause for any number of steps
 * between any two of its own. A store outage is a pause of all its operations. The members are a holder and its
 * successors; the record names all the others as successors. Terms are bounded by MAX_TERM.
 *
 * Seeded faults, each of which must be caught:
 *   ANY_PROMISE     the promise of one successor is enough
 *   FROM_ANSWER     a promise counts from its answer instead of its request
 *   NO_PROMISE      a successor takes over in spite of its promise
 *   NO_GRACE        a restarted successor does not keep the promises of its earlier process
 *   WHILE_ACQUIRING a successor promises while its own take-over is undecided
 *   ASSUME_REFUSED  a take-over whose answer is lost counts as refused
 *   NO_COMPARE      the store does not compare the record's revision
 *   ANY_BOOT        after a lapse the promise of a restarted successor counts
 *   NO_OUTWAIT      a new holder decides at once, and an entry accepts a grant at any time
 */
#ifndef MEMBERS
#define MEMBERS 3
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LEASE
#define LEASE 1
#endif
#define PROMISE LEASE
#define GRANT 1

#ifdef WHILE_ACQUIRING
#define MAY_PROMISE(o) true
#else
#define MAY_PROMISE(o) (m[o].trying == 0)
#endif

#ifdef NO_PROMISE
#define IS_FREE(k) true
#else
#define IS_FREE(k) (m[k].promised == 0)
#endif

#ifdef ANY_BOOT
#define IS_CONTINUOUS(k, o) true
#else
#define IS_CONTINUOUS(k, o) (right || m[k].bound[o])
#endif

#ifdef NO_COMPARE
#define IS_RECORD(k) true
#else
#define IS_RECORD(k) (term == m[k].trying - 1)
#endif

/* The store. */
byte holder = 0;
byte term = 1;
byte leaseLeft = LEASE;

typedef Member {
  byte own;                 /* term held, 0 for none */
  byte leaseBelief;         /* clock steps that the lease is believed for */
  byte promised;            /* clock steps for which this member has promised not to take over */
  byte wait;                /* clock steps before a new holder decides */
  byte trying;              /* term of a take-over under way, 0 for none */
  byte known;               /* highest term heard of */
  bool writing;             /* the compare-and-swap of the take-over may still reach the store */
  byte writeBelief;         /* clock steps left of the lease that the write would bind */
  byte renewing;            /* clock steps left of a renewal under way */
  byte belief[MEMBERS];     /* clock steps left of each successor's promise */
  byte asking[MEMBERS];     /* clock steps left of a promise under way, counted from its request */
  bool bound[MEMBERS];      /* the successor's present process has promised during this right */
};
Member m[MEMBERS];
byte restarts;

/* A grant of each member on its way to an entry, and the highest term of which a grant was accepted. */
byte grantTerm[MEMBERS];
byte grantLeft[MEMBERS];
byte accepted;

#define DOWN(x) if :: x > 0 -> x-- :: else -> skip fi

inline is_promised (k, result) {
  byte j;
#ifdef ANY_PROMISE
  result = false;
#else
  result = true;
#endif
  j = 0;
  do
  :: j < MEMBERS ->
     if
#ifdef ANY_PROMISE
     :: j != k && m[k].belief[j] > 0 -> result = true
#else
     :: j != k && m[k].belief[j] == 0 -> result = false
#endif
     :: else -> skip
     fi;
     j++
  :: else -> break
  od;
  j = 0
}

inline has_right (k, result) {
  if
  :: m[k].own == 0 -> result = false
  :: m[k].own > 0 && m[k].leaseBelief > 0 -> result = true
  :: else -> is_promised(k, result)
  fi
}

inline tick () {
  byte x;
  byte y;
  DOWN(leaseLeft);
  x = 0;
  do
  :: x < MEMBERS ->
     DOWN(m[x].leaseBelief); DOWN(m[x].promised); DOWN(m[x].wait); DOWN(m[x].writeBelief); DOWN(m[x].renewing);
     y = 0;
     do
     :: y < MEMBERS -> DOWN(m[x].belief[y]); DOWN(m[x].asking[y]); y++
     :: else -> break
     od;
     x++
  :: else -> break
  od;
#ifndef NO_OUTWAIT
  x = 0;
  do
  :: x < MEMBERS ->
     DOWN(grantLeft[x]);
     if
     :: grantLeft[x] == 0 -> grantTerm[x] = 0
     :: else -> skip
     fi;
     x++
  :: else -> break
  od;
#endif
  x = 0; y = 0
}

inline become_holder (k) {
  m[k].own = m[k].trying; m[k].trying = 0;
  m[k].bound[0] = false; m[k].bound[1] = false;
#if MEMBERS > 2
  m[k].bound[2] = false;
#endif
#ifndef NO_OUTWAIT
  m[k].wait = GRANT
#endif
}

/* The store carries out the take-over of k, whose answer may get lost. */
inline take_over (k) {
  if
  :: leaseLeft == 0 && IS_RECORD(k) ->
     term = m[k].trying; holder = k; leaseLeft = LEASE;
     if
     :: m[k].leaseBelief = m[k].writeBelief; become_holder(k); m[k].writing = false
     :: skip                                  /* the answer is lost, or the write is repeated */
     fi
  :: holder == k && term == m[k].trying ->    /* an earlier attempt had succeeded */
     if
     :: become_holder(k); m[k].writing = false
     :: skip
     fi
  :: else ->
     if
     :: m[k].trying = 0; m[k].writing = false; m[k].known = term
     :: skip
     fi
  fi
}

#define CAN_PROMISE(k, o) \
  (k != o && m[k].own > 0 && m[k].asking[o] > 0 && m[o].own == 0 && m[o].known <= m[k].own && MAY_PROMISE(o))

/*
 * A successor promises and its answer arrives. An answer that arrives later is worth less, so that this covers
 * it. With FROM_ANSWER it arrives one step later and counts from there.
 */
inline promise (k, o) {
  m[o].promised = PROMISE; m[o].known = m[k].own;
  has_right(k, right);
  if
  :: IS_CONTINUOUS(k, o) ->
#ifdef FROM_ANSWER
     m[k].belief[o] = PROMISE + 1;
#else
     m[k].belief[o] = m[k].asking[o];
#endif
     m[k].bound[o] = true
  :: else -> skip
  fi;
  m[k].asking[o] = 0;
  right = false
}

proctype member (byte k) {
  bool right;
end:
  do
  /* The holder renews its lease; answers may be lost. */
  :: atomic { m[k].own > 0 && m[k].renewing == 0 -> m[k].renewing = LEASE }
  :: atomic { m[k].own > 0 && m[k].renewing > 0 && holder == k && term == m[k].own && leaseLeft > 0 ->
       leaseLeft = LEASE;
       if
       :: m[k].leaseBelief < m[k].renewing -> m[k].leaseBelief = m[k].renewing
       :: else -> skip
       fi;
       m[k].renewing = 0 }
  /* It binds its key again after the lease has expired, if nobody has taken over. */
  :: atomic { m[k].own > 0 && m[k].renewing > 0 && holder == k && term == m[k].own && leaseLeft == 0 ->
       leaseLeft = LEASE; m[k].leaseBelief = m[k].renewing; m[k].renewing = 0 }
  /* It learns that another has taken over. */
  :: atomic { m[k].own > 0 && term > m[k].own -> m[k].own = 0; m[k].known = term; m[k].leaseBelief = 0; m[k].renewing = 0 }

  /* It asks each successor for a promise. */
  :: atomic { m[k].own > 0 && k != 0 && m[k].asking[0] == 0 -> m[k].asking[0] = PROMISE }
  :: atomic { m[k].own > 0 && k != 1 && m[k].asking[1] == 0 -> m[k].asking[1] = PROMISE }
  :: atomic { CAN_PROMISE(k, 0) -> promise(k, 0) }
  :: atomic { CAN_PROMISE(k, 1) -> promise(k, 1) }
#if MEMBERS > 2
  :: atomic { m[k].own > 0 && k != 2 && m[k].asking[2] == 0 -> m[k].asking[2] = PROMISE }
  :: atomic { CAN_PROMISE(k, 2) -> promise(k, 2) }
#endif

  /* A successor takes over once the key has gone and its promise has ended. */
  :: atomic { m[k].own == 0 && m[k].trying == 0 && leaseLeft == 0 && term < MAX_TERM && holder != k && IS_FREE(k) ->
       m[k].trying = term + 1; m[k].writing = true; m[k].writeBelief = LEASE }
  :: atomic { m[k].writing && m[k].trying > 0 -> take_over(k) }
  /* A retry is sent under the lease as it is by then. */
  :: atomic { m[k].writing && m[k].trying > 0 && m[k].writeBelief == 0 -> m[k].writeBelief = LEASE }
#ifdef ASSUME_REFUSED
  :: atomic { m[k].writing && m[k].trying > 0 -> m[k].trying = 0; m[k].writing = false }
  :: atomic { m[k].own == 0 && m[k].trying == 0 && holder == k && leaseLeft > 0 ->
       m[k].own = term; m[k].wait = GRANT }
#endif

  /* A process ends, and another starts on its VM. */
  :: atomic { restarts < RESTARTS ->
       restarts++;
       m[0].bound[k] = false; m[1].bound[k] = false;
#if MEMBERS > 2
       m[2].bound[k] = false;
#endif
       m[k].own = 0; m[k].leaseBelief = 0; m[k].renewing = 0;
       m[k].trying = 0; m[k].writing = false; m[k].known = 0;
#ifdef NO_GRACE
       m[k].promised = 0
#else
       m[k].promised = PROMISE
#endif
     }

  /* The holder decides a charge; the grant is valid for a bounded time from the sending of the charge. */
  :: atomic { m[k].own > 0 && m[k].wait == 0 && grantTerm[k] == 0 ->
       has_right(k, right);
       if
       :: right -> grantTerm[k] = m[k].own; grantLeft[k] = GRANT
       :: else -> skip
       fi;
       right = false }
  od
}

#define ACCEPT(k) \
  grantTerm[k] > 0 -> assert(grantTerm[k] >= accepted); accepted = grantTerm[k]; grantTerm[k] = 0; grantLeft[k] = 0
#define LOSE(k) grantTerm[k] > 0 -> grantTerm[k] = 0; grantLeft[k] = 0

proctype entry () {
end:
  do
  :: atomic { ACCEPT(0) }
  :: atomic { LOSE(0) }
  :: atomic { ACCEPT(1) }
  :: atomic { LOSE(1) }
#if MEMBERS > 2
  :: atomic { ACCEPT(2) }
  :: atomic { LOSE(2) }
#endif
  od
}

/* Two members never have the right at the same time. */
inline check_rights () {
  byte c;
  byte count;
  bool holds;
  c = 0; count = 0;
  do
  :: c < MEMBERS ->
     holds = false;
     has_right(c, holds);
     if
     :: holds -> count++
     :: else -> skip
     fi;
     c++
  :: else -> break
  od;
  assert(count <= 1);
  c = 0; count = 0; holds = false
}

proctype clock () {
end:
  do
  :: atomic {
#ifdef P_RIGHTS
       check_rights();
#endif
       tick() }
  od
}

init {
  byte i;
  atomic {
    m[0].own = 1; m[0].leaseBelief = LEASE;
    i = 0;
    do
    :: i < MEMBERS -> m[i].known = 1; run member(i); i++
    :: else -> break
    od;
    i = 0;
    run entry();
    run clock()
  }
}
