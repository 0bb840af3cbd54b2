/* Each answered request is billed once and only once.
 *
 * An entry answers, a peer in another zone holds the bill, the store inserts a bill only if absent.
 * The caller may send the request again through the peer. Answers of the store may be lost. One of
 * the two hosts may be lost for good.
 *
 * Properties: the store never holds two bills of the request; once the last byte left and all is
 * quiet, the store holds the bill.
 *
 * Mutations: -DANSWER_FIRST lets the last byte go before the bill is held; -DDROP_EARLY drops the
 * held bill before the store answered; -DBLIND_INSERT inserts without the condition.
 */
byte bills = 0;
bool answered = false;
bool owner_has = false;
bool holder_has = false;
bool owner_alive = true;
bool holder_alive = true;
bool owner_done = false;
bool drop_sent = false;
byte lost_answers = 0;
byte resends = 0;

inline store_insert() {
#ifdef BLIND_INSERT
    bills++;
#else
    if :: bills == 0 -> bills++ :: else fi;
#endif
    assert(bills <= 1)
}

active proctype Owner() {
    do
    :: atomic { !owner_alive -> break }
    :: atomic { owner_alive && !owner_has && !owner_done -> owner_has = true }
#ifdef ANSWER_FIRST
    :: atomic { owner_alive && owner_has && !answered -> answered = true }
#endif
    :: atomic { owner_alive && owner_has && !holder_has && holder_alive && !drop_sent ->
        holder_has = true }
    :: atomic { owner_alive && owner_has && (holder_has || bills > 0) && !answered -> answered = true }
    /* writes and hears of it, or does not */
    :: atomic { owner_alive && owner_has -> store_insert(); owner_has = false; owner_done = true }
    :: atomic { owner_alive && owner_has && lost_answers < 2 -> lost_answers++; store_insert() }
    :: atomic { owner_alive && owner_has && lost_answers < 2 -> lost_answers++ }
#ifdef DROP_EARLY
    :: atomic { owner_alive && owner_has && holder_has -> holder_has = false; drop_sent = true }
#else
    :: atomic { owner_alive && owner_done && holder_has -> holder_has = false; drop_sent = true }
#endif
    :: atomic { owner_alive && owner_done && !holder_has -> answered = true; break }
    od
}

active proctype Holder() {
end:
    do
    /* the owner is gone: writes what it holds */
    :: atomic { holder_alive && holder_has && !owner_alive -> store_insert(); holder_has = false }
    :: atomic { holder_alive && holder_has && !owner_alive && lost_answers < 2 ->
        lost_answers++; store_insert() }
    /* the caller sends the request again through this entry, which bills it too */
    :: atomic { holder_alive && resends < 1 -> resends++; store_insert() }
    :: atomic { holder_alive && resends < 1 -> resends++ }            /* or never does */
    od
}

active proctype Loss() {
end:
    if
    :: atomic { owner_alive && holder_alive -> owner_alive = false; owner_has = false }
    :: atomic { owner_alive && holder_alive -> holder_alive = false; holder_has = false }
    fi
}

active proctype Quiet() {
    /* nothing more can happen: no bill may be missing */
    timeout -> assert(!answered || bills == 1)
}
