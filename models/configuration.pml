/*
 * Versions of the configuration: two editors race by compare-and-swap with answers that may get lost; entries
 * read the store, perhaps from a replica that lags, ask each other, and restart without memory.
 *
 * Versions are bounded by MAX_VERSION. An acknowledged version is one whose editor has been told "accepted".
 *
 * Seeded faults, each of which must be caught:
 *   NO_COMPARE    the store does not compare the head's revision
 *   ASSUME_LOST   a commit without an answer counts as refused
 *   TAKE_LOWER    an entry takes whatever version it reads
 *   STALE_READY   an entry is ready after a read that may be stale
 */
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#define EDITORS 2
#define ENTRIES 2

/* The store: the head, and who wrote each version (0 for none). */
byte head;
byte author[5];

/* Editors. */
bool writing[EDITORS];       /* a commit may still reach the store */
byte expected[EDITORS];
byte wanted[EDITORS];        /* version that the commit would make */
bool told[EDITORS];          /* the editor was told "accepted" */
bool refused[EDITORS];       /* the editor was told "refused" */
byte acknowledged;           /* highest version that some editor was told of */

/* Entries. */
byte version[ENTRIES];
byte highest[ENTRIES];
bool ready[ENTRIES];
byte before[ENTRIES];        /* highest acknowledged version when the entry's process started */
byte restarts;

#define IS_WRITTEN(e) (author[wanted[e]] == e + 1)

inline check () {
#if defined(P_FORWARD)
  skip
#elif defined(P_KEPT)
  assert((!told[0] || IS_WRITTEN(0)) && (!told[1] || IS_WRITTEN(1)));
  assert((!refused[0] || !IS_WRITTEN(0)) && (!refused[1] || !IS_WRITTEN(1)))
#else
  assert((!ready[0] || version[0] >= before[0]) && (!ready[1] || version[1] >= before[1]))
#endif
}

#ifdef NO_COMPARE
#define IS_HEAD(e) true
#else
#define IS_HEAD(e) (head == expected[e])
#endif

proctype editor (byte e) {
  /* Reads the head by a transaction, which no lagging replica answers. */
  atomic { head < MAX_VERSION -> expected[e] = head; wanted[e] = head + 1; writing[e] = true };
  do
  /* The store carries the commit out; it may do so late. */
  :: atomic { writing[e] && IS_HEAD(e) && !IS_WRITTEN(e) ->
       head = wanted[e]; author[wanted[e]] = e + 1;
       if
       :: told[e] = true; acknowledged = (wanted[e] > acknowledged -> wanted[e] : acknowledged); writing[e] = false
       :: skip                         /* the answer is lost */
       fi;
       check() }
  /* Reads back: its operation is there, or the head has moved, so that the commit can't take effect any more. */
  :: atomic { writing[e] && IS_WRITTEN(e) ->
       told[e] = true; acknowledged = (wanted[e] > acknowledged -> wanted[e] : acknowledged);
       writing[e] = false; check() }
  :: atomic { writing[e] && !IS_WRITTEN(e) && head != expected[e] -> refused[e] = true; writing[e] = false; check() }
#ifdef ASSUME_LOST
  :: atomic { writing[e] && !refused[e] -> refused[e] = true; check() }
#endif
  :: atomic { !writing[e] -> break }
  od
end:
  skip
}

inline take (n, received) {
  if
#ifdef TAKE_LOWER
  :: true -> assert(received >= version[n]); version[n] = received
#else
  :: received > version[n] -> assert(received >= version[n]); version[n] = received
#endif
  :: else -> skip
  fi;
  check()
}

proctype entry (byte n) {
  byte seen;
end:
  do
  /* Reads a replica that lags by any number of versions. */
  :: atomic { seen <= head -> take(n, seen);
#ifdef STALE_READY
       ready[n] = true; check();
#endif
       seen = 0 }
  :: atomic { seen < head -> seen++ }
  /* Reads by a transaction. */
  :: atomic { take(n, head); ready[n] = true; check() }
  /* Hears of a version from the other entry, and gets it from there; old messages may arrive late. */
  :: atomic { seen <= version[1 - n] -> take(n, seen); seen = 0 }
  :: atomic { restarts < 2 -> restarts++; version[n] = 0; ready[n] = false; before[n] = acknowledged; seen = 0 }
  od
}

init {
  atomic { run editor(0); run editor(1); run entry(0); run entry(1) }
}
