/* At most one run of a call that may not be repeated.
 *
 * Two sends of one call under one key, through different agents. The table inserts a row only if
 * absent; a write may take effect and its answer be lost, or take effect late. An agent may crash
 * at any point. The second send begins once the first is over: it ended, or its deadline passed.
 *
 * Properties: runs <= 1; a send that is told "not run" is told so while runs is 0, and no send that
 * was over before runs later; a stored result exists only after a run.
 *
 * Mutations: -DRUN_ON_UNKNOWN runs when the insert's answer is lost; -DSAY_WITHOUT_MARK says "not
 * run" without the mark in the table; -DRUN_AFTER_DEADLINE hands over after the deadline;
 * -DCRASH_FORGETS takes over a row of another agent that it believes dead.
 */
#define N 2
mtype = { ABSENT, STARTED, FINISHED, ABANDONED };
mtype = { NONE, NOT_RUN, UNKNOWN, ANSWERED };

mtype row = ABSENT;
byte token = 0;
byte runs = 0;
bool late[N + 1];       /* an insert that takes effect later */
bool over[N + 1];       /* the send ended or its deadline passed */
mtype told[N + 1];

inline store_insert(i) {
    if
    :: row == ABSENT -> row = STARTED; token = i
    :: else -> skip
    fi
}

active proctype LateWrites() {
end:
    do
    :: atomic { late[1] -> late[1] = false; store_insert(1) }
    :: atomic { late[2] -> late[2] = false; store_insert(2) }
    od
}

active proctype Deadline() {
    over[1] = true
}

proctype Send(byte i) {
    bool first = true;
insert:
    if
    :: atomic { row == ABSENT -> row = STARTED; token = i }; goto hand_over
    :: atomic { row != ABSENT -> skip }; goto read
    :: atomic { row == ABSENT -> row = STARTED; token = i };          /* answer lost */
#ifdef RUN_ON_UNKNOWN
       goto hand_over
#else
       goto read
#endif
    :: atomic { late[i] = true };
#ifdef RUN_ON_UNKNOWN
       goto hand_over
#else
       goto read
#endif
    :: goto read                                                      /* lost on its way */
    :: goto crash
    fi;
read:
    if
    :: atomic { row == ABSENT -> skip }; if :: first -> first = false; goto insert :: goto give_up fi
    :: atomic { row == STARTED && token == i -> skip }; goto hand_over
#ifdef CRASH_FORGETS
    :: atomic { row == STARTED && token != i -> token = i }; goto hand_over
#else
    :: atomic { row == STARTED && token != i -> told[i] = UNKNOWN }; goto done
#endif
    :: atomic { row == FINISHED -> assert(runs == 1); told[i] = ANSWERED }; goto done
    :: atomic { row == ABANDONED && token != i -> row = STARTED; token = i }; goto hand_over
    :: atomic { row == ABANDONED && token == i -> told[i] = NOT_RUN; assert(runs == 0) }; goto done
    :: goto give_up                                                   /* no answer */
    :: goto crash
    fi;
hand_over:
    if
#ifdef RUN_AFTER_DEADLINE
    :: atomic { true -> runs++; assert(runs <= 1);
                assert(i != 1 || told[2] != NOT_RUN) }
#else
    :: atomic { !over[i] -> runs++; assert(runs <= 1);
                assert(i != 1 || told[2] != NOT_RUN) }
    :: atomic { over[i] -> skip }; goto give_up
#endif
    :: goto crash
    fi;
    if
    :: atomic { row = FINISHED; token = i; told[i] = ANSWERED }
    :: told[i] = ANSWERED                                             /* result not stored */
    :: goto crash
    fi;
    goto done;
give_up:
#ifdef SAY_WITHOUT_MARK
    atomic { told[i] = NOT_RUN; assert(runs == 0) };
#else
    if
    :: atomic { row == ABSENT -> row = ABANDONED; token = i; told[i] = NOT_RUN; assert(runs == 0) }
    :: atomic { row == STARTED && token == i -> row = ABANDONED; told[i] = NOT_RUN; assert(runs == 0) }
    :: atomic { row == ABANDONED -> told[i] = UNKNOWN }
    :: told[i] = UNKNOWN                                              /* store gave no answer */
    :: goto crash
    fi;
#endif
    goto done;
crash:
    told[i] = UNKNOWN;
done:
    over[i] = true
}

init {
    atomic { told[1] = NONE; told[2] = NONE; run Send(1) };
    over[1] -> run Send(2)
}
