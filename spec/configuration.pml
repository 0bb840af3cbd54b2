/* An accepted configuration never reverts, and whoever admits work past the bound has it.
 *
 * Three zones with a process each, and a store that may be down. Revisions are committed in the
 * store; a revision is accepted once more than half of the zones hold it. A process admits work when,
 * within the bound, it heard from the store or from more than half of the zones. Processes restart
 * without memory; a zone may be cut off from the others or from the store; the answer to a commit
 * may be lost and is read back.
 *
 * Properties: revisions of the store only rise; accepted <= store; a process whose news is all
 * younger than the acceptance admits nothing by an older revision.
 *
 * Mutations: -DNEW_COUNTS_ITSELF lets a restarted process count its own zone before it caught up;
 * -DACCEPT_EARLY accepts on the commit alone; -DPAUSED_KEEPS_NEWS keeps news past the bound;
 * -DBLIND_COMMIT commits without the condition on the head.
 */
#define N 3
#ifdef BLIND_COMMIT
#define MAXREV 2         /* it takes two commits to overwrite one */
#else
#define MAXREV 1
#endif
byte store = 0;
bool store_down = false;
byte accepted = 0;
byte rev[N];
bool synced[N];
bool heard_store[N];
bool past[N];              /* a whole bound passed since the last acceptance */
bool cut[N];               /* cut off from the other zones */
bool heard[9];             /* heard[n * N + p]: n heard from p within the bound */
byte restarts = 0;
byte outages = 0;
hidden byte count;
hidden byte p;
hidden byte seen;
hidden byte r;

inline holders(r, count) {
    count = 0;
    if :: synced[0] && rev[0] >= r -> count++ :: else fi;
    if :: synced[1] && rev[1] >= r -> count++ :: else fi;
    if :: synced[2] && rev[2] >= r -> count++ :: else fi
}

inline zones_heard(n, count) {
    count = 0;
    if :: heard[n * N] || (n == 0 && synced[n]) -> count++ :: else fi;
    if :: heard[n * N + 1] || (n == 1 && synced[n]) -> count++ :: else fi;
    if :: heard[n * N + 2] || (n == 2 && synced[n]) -> count++ :: else fi
}

inline forget_news(n) {
    heard[n * N] = false; heard[n * N + 1] = false; heard[n * N + 2] = false;
    heard_store[n] = false
}

proctype Process(byte n) {
end:
    do
    /* read the store */
    :: atomic { !store_down ->
        rev[n] = store; heard_store[n] = true; synced[n] = true }
    /* commit the next revision through this process, on what it last saw */
    :: atomic { !store_down && synced[n] && store < MAXREV ->
        seen = rev[n];
        if
#ifdef BLIND_COMMIT
        :: true -> assert(seen + 1 > store || accepted <= seen); store = seen + 1; rev[n] = seen + 1;
           assert(accepted <= store)
#else
        :: seen == store -> store = seen + 1; rev[n] = store
        :: seen == store -> store = seen + 1         /* answer lost: read back later */
        :: seen != store -> skip                     /* conflict */
#endif
        fi }
    /* accept what this process holds */
    :: atomic { rev[n] > accepted && synced[n] ->
        r = rev[n];
#ifdef ACCEPT_EARLY
        count = N;
#else
        holders(r, count);
#endif
        if
        :: count * 2 > N -> accepted = r; past[0] = false; past[1] = false; past[2] = false
        :: else
        fi }
    /* exchange with another zone */
    :: atomic { p = (n + 1) % N; !cut[n] && !cut[p] ->
        if :: rev[p] > rev[n] -> rev[n] = rev[p] :: else fi;
        if :: synced[p] -> heard[n * N + p] = true :: else fi }
    :: atomic { p = (n + 2) % N; !cut[n] && !cut[p] ->
        if :: rev[p] > rev[n] -> rev[n] = rev[p] :: else fi;
        if :: synced[p] -> heard[n * N + p] = true :: else fi }
    /* a restarted process has caught up once it heard from more than half of the zones */
    :: atomic { !synced[n] ->
        zones_heard(n, count);
        if :: count * 2 > N -> synced[n] = true :: else fi }
    /* the bound passes: news grows old */
    :: atomic { !past[n] -> past[n] = true;
#ifndef PAUSED_KEEPS_NEWS
        forget_news(n)
#endif
      }
    /* admit work */
    :: atomic { synced[n] ->
        zones_heard(n, count);
        if
        :: (count * 2 > N || heard_store[n]) && past[n] -> assert(rev[n] >= accepted)
        :: else
        fi }
    /* restart without memory */
    :: atomic { restarts < 1 -> restarts++;
        rev[n] = 0; forget_news(n);
#ifdef NEW_COUNTS_ITSELF
        synced[n] = true
#else
        synced[n] = false
#endif
      }
    od
}

active proctype Faults() {
end:
    do
    :: atomic { outages < 1 && !store_down -> outages++; store_down = true }
    :: atomic { store_down -> store_down = false }
    :: atomic { !cut[0] && !cut[1] && !cut[2] -> cut[0] = true }
    :: atomic { cut[0] -> cut[0] = false }
    od
}

active proctype Monitor() {
end:
    do
    :: atomic { accepted > store -> assert(false) }
    od
}

init {
    atomic {
        synced[0] = true; synced[1] = true; synced[2] = true;
        past[0] = true; past[1] = true; past[2] = true;
        run Process(0); run Process(1); run Process(2)
    }
}
