/* One doer at a time changes the configuration of a roll-out.
 *
 * Two entries compete for a lease row in the table. A holder may be paused past its lease; the other
 * takes the row over with the next epoch. Every write of a holder carries the condition that the row
 * still has its epoch. An agent passes on an order to an engine that ignores fencing numbers only if
 * its epoch is not older than the newest the agent saw; an agent that restarts asks the table first.
 *
 * Properties: a write that takes effect carries the epoch of the row; an engine never gets an order
 * older than one it got before.
 *
 * Mutations: -DUNCONDITIONAL writes without the condition; -DTRUSTING_AGENT passes every order on;
 * -DFORGETFUL_AGENT does not ask the table after a restart.
 */
byte epoch = 0;
byte agent_seen = 0;
byte engine_last = 0;
byte restarts = 0;

proctype Entry() {
    byte mine = 0;
    byte turns = 0;
end:
    do
    /* the lease looks lapsed to this entry: takes it over */
    :: atomic { epoch < 4 && turns < 3 -> epoch++; mine = epoch; turns++ }
    /* a write of the holder, which may have been paused since */
    :: atomic { mine > 0 ->
#ifdef UNCONDITIONAL
        assert(mine == epoch)
#else
        if :: mine == epoch -> assert(mine == epoch) :: else fi
#endif
      }
    /* an order to the engine by way of its agent */
    :: atomic { mine > 0 ->
        if
#ifdef TRUSTING_AGENT
        :: true ->
#else
        :: mine >= agent_seen ->
#endif
            agent_seen = mine;
            assert(mine >= engine_last);
            engine_last = mine
        :: else
        fi }
    od
}

active proctype Agent() {
end:
    do
    :: atomic { restarts < 1 -> restarts++;
#ifdef FORGETFUL_AGENT
        agent_seen = 0
#else
        agent_seen = epoch
#endif
      }
    od
}

init { atomic { run Entry(); run Entry() } }
