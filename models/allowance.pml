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
 *
 * With P_SHARES each member has a share, which at most one member may use at any time: the holder while it has the
 * full right or has been lent the share, else the member itself. Seeded faults of the shares:
 *   NO_RESERVE      a new holder does not keep clear of the shares of the others
 *   NO_BASE         the time of a share counts without the promises of the successors
 *   WHILE_PROMISED  a successor uses its share in spite of its promise
 *   STILL_LENT      a holder goes on with a share after the promise has ended
 *   ALWAYS_FREE     a successor lends its share while an earlier holder may still use it
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
#ifndef SHARE
#define SHARE 2
#endif

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

#ifdef ALWAYS_FREE
#define IS_UNLENT(o) true
#else
#define IS_UNLENT(o) (m[o].earlier == 0)
#endif

#ifdef WHILE_PROMISED
#define MAY_USE_OWN(k) true
#else
#define MAY_USE_OWN(k) (m[k].promised == 0)
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
#ifdef P_SHARES
  byte told;                /* clock steps for which a successor has been told that it may use its share */
  byte contact;             /* clock steps for which a holder may use its own share after its contact with the store */
  byte earlier;             /* clock steps for which a holder of an earlier term may use this member's share */
  byte lent[MEMBERS];       /* clock steps for which each share is lent to this holder */
  byte base[MEMBERS];       /* clock steps left of the shares' time, counted from each successor's promise */
  byte reserve[MEMBERS];    /* clock steps after which the share of another has ended by itself, 0 for none such */
  bool armed[MEMBERS];      /* another may use its share unless it has lent it */
#endif
};
Member m[MEMBERS];
byte restarts;

/* A grant of each member on its way to an entry, and the highest term of which a grant was accepted. */
byte grantTerm[MEMBERS];
byte grantLeft[MEMBERS];
byte accepted;

/* A contact with the store counts from the sending of its request, of which `left` steps of the lease remain. */
#ifdef P_SHARES
#define NOTE_CONTACT(k, left) \
  if \
  :: m[k].contact < SHARE - (LEASE - left) -> m[k].contact = SHARE - (LEASE - left) \
  :: else -> skip \
  fi
#else
#define NOTE_CONTACT(k, left) skip
#endif

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

#ifdef P_SHARES
/* Returns how long the shares of a holder's term may be used: the least time of all successors. */
inline get_base (k, result) {
  byte z;
  result = SHARE;
#ifndef NO_BASE
  z = 0;
  do
  :: z < MEMBERS ->
     if
     :: z != k && m[k].base[z] < result -> result = m[k].base[z]
     :: else -> skip
     fi;
     z++
  :: else -> break
  od;
#endif
  z = 0
}

/* A successor tells whether its share is free, and is told for how long it may use it. */
inline lend (k, o) {
  if
  :: m[o].known < m[k].own ->
     m[o].told = 0;
     if
     :: m[o].promised > m[o].earlier -> m[o].earlier = m[o].promised
     :: else -> skip
     fi
  :: else -> skip
  fi;
  if
  :: m[k].lent[o] > 0 ->
     get_base(k, left);
     if
     :: left > 0 -> m[o].told = left; m[k].armed[o] = true; m[k].reserve[o] = 0
     :: else -> skip
     fi;
     left = 0
  :: else -> skip
  fi
}

inline note_lent (k, o) {
  if
  :: IS_UNLENT(o) ->
     m[k].lent[o] = m[k].asking[o];
     m[k].base[o] = SHARE - (PROMISE - m[k].asking[o])
  :: else -> skip
  fi
}

/* A new holder keeps clear of all shares until they are lent to it, or have ended. */
inline reserve_shares (k) {
  byte r;
  r = 0;
  do
  :: r < MEMBERS ->
     m[k].lent[r] = 0; m[k].base[r] = 0;
#ifndef NO_RESERVE
     m[k].armed[r] = true; m[k].reserve[r] = SHARE;
#endif
     r++
  :: else -> break
  od;
  m[k].told = 0; r = 0
}

inline forget_shares (k) {
  byte f;
  f = 0;
  do
  :: f < MEMBERS -> m[k].lent[f] = 0; m[k].base[f] = 0; m[k].reserve[f] = 0; m[k].armed[f] = false; f++
  :: else -> break
  od;
  m[k].told = 0; m[k].contact = 0; f = 0
}

inline tick_shares (k) {
  byte t;
  DOWN(m[k].told); DOWN(m[k].earlier); DOWN(m[k].contact);
  t = 0;
  do
  :: t < MEMBERS ->
#ifndef STILL_LENT
     DOWN(m[k].lent[t]);
#endif
     DOWN(m[k].base[t]);
     if
     :: m[k].reserve[t] == 1 -> m[k].armed[t] = false
     :: else -> skip
     fi;
     DOWN(m[k].reserve[t]);
     t++
  :: else -> break
  od;
  t = 0
}

/* At most one member may use the share of each. */
inline check_shares () {
  byte c;
  byte s;
  byte users;
  byte time;
  bool holds;
  s = 0;
  do
  :: s < MEMBERS ->
     c = 0; users = 0;
     do
     :: c < MEMBERS ->
        holds = false; time = 0;
        if
        :: m[c].own > 0 ->
           has_right(c, holds);
           get_base(c, time);
           if
           :: c == s && (holds || time > 0 || m[c].contact > 0) -> users++
           :: c != s && holds && !(m[c].armed[s] && m[c].lent[s] == 0) -> users++
           :: c != s && !holds && time > 0 && m[c].lent[s] > 0 -> users++
           :: else -> skip
           fi
        :: m[c].own == 0 && c == s && MAY_USE_OWN(c) && m[c].told > 0 -> users++
        :: else -> skip
        fi;
        c++
     :: else -> break
     od;
     assert(users <= 1);
     s++
  :: else -> break
  od;
  c = 0; s = 0; users = 0; holds = false; time = 0
}
#endif

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
#ifdef P_SHARES
     tick_shares(x);
#endif
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
  m[k].own = m[k].trying; m[k].trying = 0; NOTE_CONTACT(k, m[k].writeBelief);
  m[k].bound[0] = false; m[k].bound[1] = false;
#if MEMBERS > 2
  m[k].bound[2] = false;
#endif
#ifdef P_SHARES
  reserve_shares(k);
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
     :: m[k].trying = 0; m[k].writing = false;
#ifdef P_SHARES
        if
        :: m[k].known < term -> m[k].told = 0
        :: else -> skip
        fi;
#endif
        m[k].known = term
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
#ifdef P_SHARES
  lend(k, o);
#endif
  m[o].promised = PROMISE; m[o].known = m[k].own;
  has_right(k, right);
  if
  :: IS_CONTINUOUS(k, o) ->
#ifdef P_SHARES
     note_lent(k, o);
#endif
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
#ifdef P_SHARES
  byte left;
#endif
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
       NOTE_CONTACT(k, m[k].renewing);
       m[k].renewing = 0 }
  /* It binds its key again after the lease has expired, if nobody has taken over. */
  :: atomic { m[k].own > 0 && m[k].renewing > 0 && holder == k && term == m[k].own && leaseLeft == 0 ->
       leaseLeft = LEASE; m[k].leaseBelief = m[k].renewing; NOTE_CONTACT(k, m[k].renewing); m[k].renewing = 0 }
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
#ifdef P_SHARES
       forget_shares(k); m[k].earlier = PROMISE;
#endif
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
#ifdef P_SHARES
       check_shares();
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
